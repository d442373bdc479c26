/* Every constant of the service: value, unit, reason. Owned by nobody, read by all. */
#ifndef PEPPERPULLEY_CONSTANTS_H
#define PEPPERPULLEY_CONSTANTS_H

#define PEPPERPULLEY_VERSION "0.1.0"

/* Sizes of identifiers, bytes with the final zero; longer ones are refused at the codec. */
enum {
    ID_SIZE = 40,     /* job, machine and host names; the protocol's are under 20 */
    LABEL_SIZE = 64,  /* team, class, zone, machine type, image */
    ADDRESS_SIZE = 64 /* IPv4 address with port */
};

enum {
    TASKS_MAX = 100000,     /* tasks of a job, from the protocol */
    CHUNK_BITS = 16384,     /* done bits in one key: 2 KiB, 2.7 KiB as base64, under value_kb */
    BODY_MAX = 64 * 1024,   /* bytes of a request body, from the protocol */
    JSON_DEPTH_MAX = 32,    /* of a request body: the parser calls itself, on THREAD_STACK */
    TYPES_MAX = 64,         /* machine types that a job may name: a placement message has as many */
    RENT_MAX = 50,          /* machines in one rental, from the protocol */
    RELEASE_MAX = 100,      /* names in one release, from the protocol */
    LIST_PAGE = 500,        /* machines in a page of the cloud's list, from the protocol */
    KEYS_PAGE = 500,        /* keys in a page of the state service: half its limit, small memory */
    ATTEMPT_SHIFT = 24,     /* attempts in one view: 16 million; view and count stay below 2^53 */
    SHARDS_PER_ZONE = 12,   /* what moves between owners together; larger ones have several pages */
    RECORD_RESERVE = 512,   /* bytes kept free below value_kb in a page's record */
    RECORD_ATTEMPT = 32,    /* bytes that one attempt takes at most there */
    RECORD_MACHINE = 110,   /* bytes that a machine takes at most there, names and attempts aside */
    RECORD_JOB = 100,       /* bytes that one job's header takes at most there, names aside */
    PROGRESS_BYTES = 64,    /* that a job's progress or end takes at most, its bits aside */
    TXN_VALUES = 48 * 1024, /* bytes of values in a transaction; the rest of 64 KiB: conditions */
    THREAD_STACK = 128 * 1024, /* bytes; the deepest path is a JSON parse inside an HTTP handler */
    CONNECTION_MEMORY = 16 * 1024, /* bytes of HTTP buffers per connection: 300 of them are 5 MB */
    CONNECTION_IDLE_S = 30,        /* s; workers and users that are there speak every few seconds */
    CONNECTIONS_SPARE = 100,       /* sockets kept for our own calls out of fd_limit */
    API_CLIENTS = 10,         /* state connections of the API: one blocked each, 10 ms a call */
    PEER_FRAME_MAX = 1 << 20, /* bytes of a message between controllers; usual ones have 10 KB */
    PEER_BATCH = 128, /* items in one message: a second's starts and ends of 200 machines, when an
                         exchange by relay takes one */
    RELAY_RESERVE = 512,     /* bytes kept free below value_kb in a page of a relayed message */
    RELAY_PAGES = 10,        /* of a message; a transaction takes about four of 16 KiB */
    CONNECTION_COST_KB = 32, /* of memory a connection takes at most: buffers, a request */
    HTTP_THREADS = 4, /* have all connections; reports take them a fraction of a millisecond */
    ANSWERERS = 48,   /* users' requests under way at once: half a second each when things are
                         slow, a hundred a second on one node */
    REQUESTS_WAITING = 256, /* for an answerer; more get a 503 */
    REQUEST_PATH = 128,     /* bytes of a path that needs an answerer: a job's id has under 40 */
    CONNECTIONS_FOR_WORKERS = 4, /* a fourth of the connections is kept for workers */
    SENDERS = 16,         /* threads that send direct commands: of 60 machines that hang at once, a
                             controller has up to 20, and each blocks one for a moment */
    ENDED_CACHE = 4096,   /* final answers kept in memory, about 60 bytes each */
    GONE_JOBS_MAX = 8192, /* ids of jobs that are over: an older list of jobs must not bring them
                         back; a list is seconds old at most, in which a hundred may end */
    CANCELLATION_LOG_MAX = 2048, /* cancellations told, kept for siblings that have not fetched
                              them: a minute or more of what the rate limits let through */
    CANCELLATION_UPDATE_JOBS =
        256,                /* of them in one message: 6 KB; what is left is fetched in the next */
    JOB_COUNTS_BATCH = 256, /* jobs whose counts go in one answer to a heartbeat: 8 KB */
    CLOCK_DRIFT = 1000,     /* one part in so many: steady clocks drift apart by up to 0.05% */
    JOB_ERRORS_ALARM = 4,   /* failures of one job on as many machines: the job is bad */
    STARVING_TASKS_DIVISOR =
        16, /* of a job's tasks, one in so many at a time goes first once it is starving */
    CLAIMED_MACHINES_DIVISOR =
        8, /* of the machines, one in so many at most is claimed for work too large to fit */
    CLAIMED_MACHINES_PER_JOB = 16, /* machines claimed for one job */
    DRAINS_PER_ROUND = 8,          /* a fleet of hundreds goes back in seconds, not in minutes */
    MACHINE_ERRORS_ALARM = 3       /* failures of distinct sound jobs: the machine is bad */
};

/* Durations in milliseconds. */
enum {
    LEASE_LIFE_MS = 4000, /* leader's lease in the state service: replaced well inside the shortest
                             lease of 10 s */
    LEASE_EXTEND_MS = 1000,  /* three tries before the lease ends */
    ELECT_POLL_MS = 500,     /* between tries to read the view while it cannot be read */
    ELECT_YIELD_MS = 400,    /* more for one that others had better go before */
    ELECT_SPREAD_MS = 150,   /* random wait before a candidacy, so that few collide */
    STATE_TIMEOUT_MS = 2000, /* a slow answer takes a few hundred ms; past this it is unknown */
    FOLLOW_BLOCK_MS =
        2000, /* an answer also proves what aborts are known; half a request a second */
    API_TIMEOUT_MS = 1500,    /* of a call to the state service for a user */
    API_WAIT_MS = 1000,       /* a request waits so long for a thread and a connection to the state
                                   service: half of what users wait for a status */
    API_STATUS_MS = 1600,     /* from its arrival a status is worked on so long; users wait 2 s */
    API_SUBMIT_MS = 4500,     /* the same of a submission or an abort; users wait 5 s */
    DIRECT_TIMEOUT_MS = 2000, /* a worker answers in milliseconds; then the report is the path */
    DIRECT_CONNECT_MS =
        1000,               /* to connect takes milliseconds; a machine that hangs never answers */
    DIRECT_FRESH_MS = 4000, /* a machine not reached for so long gets no starts and no commands;
                               longer where workers report seldom */
    REPORT_FOLLOWS_MS = 4800, /* a worker waits 4 s for an answer and a second more before it turns
                                 elsewhere, from the protocol: a report sooner than that follows an
                                 answer that arrived */
    REPORT_LATE_MS = 1000,    /* a report is under way or waits for its turn so long at most */
    CLOUD_TIMEOUT_MS = 10000, /* rentals may be slow; a lost answer costs a repeat only */
    TICK_MS = 250,            /* leader's longest sleep when nothing happens */
    COMMIT_GAP_MS = 60,       /* between commits: batches starts, spares the write limit */
    CLOUD_LIST_MS = 2500,     /* between lists; the list lags by seconds anyway */
    CLOUD_ROUND_MS = 1500, /* over cloud.rps: three calls of a round take turns within the limit */
    CLOUD_GAP_MS = 300,    /* between other calls: under 5 a second with the lists */
    MACHINE_TYPES_MS = 60000,    /* prices move slowly */
    CAPACITY_MEMORY_MS = 12000,  /* a refused type, zone and kind is not asked again before that */
    UNREACHABLE_ZONE_MS = 60000, /* nothing is rented for so long in a zone that went silent, after
                             its machines were given up */
    UNREACHABLE_WAIT_MS =
        60000, /* so long those machines are waited for: three times what a boot takes */
    JOB_BACKOFF_MS = 5000,      /* after a failure, doubling, per job */
    JOB_BACKOFF_MAX_MS = 60000, /* a bad job costs at most one start a minute then */
    TASK_BACKOFF_MS = 500,      /* after a refused start: the resources were not there */
    SILENT_MARGIN_MS = 5000,    /* beyond lease_s before a silent machine is released for proof */
    CANCEL_MARGIN_MS = 3000,    /* kept below cancel_s - lease_s for a report under way */
    LEADER_GRACE_MS = 4000,  /* a new leader waits for reports before it judges silence or rents */
    RENUMBER_GAP_MS = 15000, /* least time between token moves made only to allow a forget */
    PEER_TIMEOUT_MS = 1500,  /* an exchange between controllers; the answer is held back for less */
    PEER_ANSWER_DELAY_MS = 200, /* the leader holds an answer so long for something to say */
    PEER_IDLE_MS = 15000,       /* a connection without a call for so long is closed */
    PEER_SUMMARIES_MS = 400, /* between the summaries of a partition that no new batch asks for */
    HEARTBEAT_GAP_MS = 500,  /* between heartbeats to a sibling: in an outage a cancellation told by
                            it is known here, and stopped, within that */
    RUN_KNOWN_MS = 6000,     /* no start is sent while cancellations are unknown for longer: answers
                                to a follow come every 2 s, or after a slow one or two */
    STALL_MS = 1000,         /* a process that took no notice of the time for so long stood still */
    PULSE_MS = 250,          /* between its notices */
    PEER_GAP_MS = 50,        /* between exchanges; batches what comes in a burst */
    RELAY_AFTER_MS = 2500,   /* without an exchange by socket for so long, the relay is used */
    RELAY_SOCKET_MS = 6000,  /* between tries by socket meanwhile */
    RELAY_GAP_MS = 400,      /* between looks at the relay: few of the state service's requests */
    PEER_RETRY_MS = 300,     /* after a failed one */
    CLAIM_MAX_MS = 60000,    /* a machine is claimed for large work so long; nothing may wait 90 s
                                where it fits */
    CLAIM_REST_MS = 10000,   /* and then, or once it was not claimed for so long, is open to all */
    STARVING_MS = 120000, /* a job none of whose tasks has begun by then goes first: the largest are
                         to begin within four minutes */
    STARVING_LONG_MS = 240000, /* and from then on it gets on steadily */
    PROGRESS_GAP_MS =
        2000, /* progress of a job waits so long for more, if the rate limit allows it */
    PROGRESS_LATE_MS = 8000, /* older than that it goes before starts: a machine that ends takes the
                                results with it that are not durable */
    RECORD_LAZY_MS = 3000,   /* a record waits so long for a start that rewrites it anyway, if only
                                acknowledged results leave it */
    MEMBERSHIP_BATCH_MS = 300, /* changes of membership within it make one view */
    VIEW_FRESH_MS =
        5000, /* a leader whose view is not confirmed for so long leaves the cloud alone */
    MEMBER_RECHECK_MS = 2500, /* a written key is followed within that, usually at once */
    MEMBER_TICK_MS = 250,     /* between looks at the membership */
    LOST_SILENT_MS = 5000,    /* silence after which a worker may have lost its owner */
    LOST_LEAST = 3,           /* machines: fewer say little about their owner */
    EXCLUDED_MS = 90000,      /* so long a controller without workers owns none before a new try */
    RETAIN_MS =
        20000, /* so long a worker that can't reach its owner is retained before a new try */
    RETAIN_TURNED_AWAY_MS =
        3000,              /* one that its owner turned away is retained so long: a
                              controller that has just begun is ready within a second or two */
    OWNER_FRESH_MS = 3000, /* a controller is in reach of workers if one reported to it so lately:
                              less than the 5 s after which workers turn elsewhere */
    RETAINED_WRITE_MS =
        3000, /* between writes of the list of retained workers: a third of a write a second */
    RETAINED_GROWN_MS = 1000, /* the same when a worker joined them: the leader may be about to give
                                 its machine up */
    REDIRECTION_FORGET_MS = 60000, /* a worker that long gone from here is forgotten */
    RETAINED_FRESH_MS = 8000,      /* a list of retained workers older than that says nothing */
    REDIRECTION_GRACE_MS = 10000,  /* after a view, workers are on their way to their new owners */
    REDIRECT_TIMEOUT_MS = 4000,    /* a worker waits so long for an answer, from the protocol */
    REDIRECT_PROBE_MS = 12000, /* a worker sent to its owner and back within it can't reach it: two
                            controllers that don't answer cost it 5 s each */
    PREEMPT_PROTECT_MS = 2000, /* a start is not preempted in its first moments */
    BOOT_PATIENCE_MS = 30000,  /* added to three times BootS before a boot is given up */
    RETURN_AFTER_MS = 40000,   /* a new leader waits so long before it returns machines: what goes
                                  back in the trough after a trouble is missed in the next wave */
    STATUS_GATHER_MS = 200,    /* status reads of so long are asked together; users wait 2 s */
    UNHEARD_MS = 5000,         /* without a sibling's word: heartbeats go out every half second */
    SERVE_ALONE_MS = 8000, /* so long workers are answered without state service and siblings: their
                             new owner, there after 5 s, waits 15 s before it gives them up */
    SHUT_OUT_MS = 3000     /* /ready turns 503 after so long without the state service */
};

#define LARGEST_NUMBER 1e308 /* stands for numbers that a double does not hold */
#define SETTING_MAX 1e9      /* of any number in the platform's file; more is a slip */

/* Shares of the outside services' limits (1 = all of it). Peaks of the three nodes seldom meet,
 * and what is refused above the limit is repeated: together they may exceed 1. */
#define CONNECTIONS_MEMORY 0.6     /* of memory for connections; the rest for records and our own */
#define SHARE_LEADER_WRITE 0.45    /* its partition's commits and every job's progress */
#define SHARE_PARTITION_WRITE 0.35 /* another partition's commits, at most */
#define SHARE_PARTITIONS_WRITE 1.05 /* of all partitions together */
#define SHARE_CORE_RPS 0.15         /* a node's own loops, at most */
#define SHARE_CORES_RPS 0.50        /* of all nodes together */
#define SHARE_API_RPS 0.18          /* one API, at most */
#define SHARE_APIS_RPS 0.60         /* of all APIs together */
#define SHARE_API_WRITE                                                                            \
    0.25                      /* an API's submissions and aborts, at most: they come in bursts     \
                               */
#define SHARE_APIS_WRITE 0.75 /* of all APIs together */

#define REPORT_SPREAD                                                                              \
    1.5 /* of report_s: a quarter more, and some machines slower than they should */

/* Preemption. */
#define PREEMPT_COST_S                                                                             \
    5.0 /* a stopped task waits and fetches again; larger ones find room later                     \
         */

#define PREEMPT_COLD_S                                                                             \
    30.0 /* counts against stopping work where the image is still to be fetched */

/* Renting. */
#define RENT_PATIENCE_LEAST_S                                                                      \
    15.0                 /* work near its deadline shares a machine's resources only within that */
#define RENT_LARGEST 0.6 /* a machine may be this share of all that is wanted */
#define RENT_ROUND 0.25  /* of a machine: so little lacking is not worth another */
#define UNGUARANTEED_TEAM_SHARE 0.1 /* of all guarantees: the weight of a team that has none */
#define ORDINARY_EASED 2.0          /* of their patience: at half the waiting work they go back */
#define RENT_SPREAD 0.02            /* price added per machine of the same type, zone and kind */

#define DRAIN_EMPTY                                                                                \
    0.5 /* of a drained machine's cpus: with so much free, what can save is moved                  \
         */

#define EPSILON 1e-6 /* in cpus and GB: below any amount in use */

#endif
