/* Every constant of the service, once: its value, its unit and the reason for it.
 *
 * The unit ends the name: _MS (milliseconds), _S (seconds), _BYTES, _BITS, _COUNT, _FRACTION (of a
 * whole that the comment names), _FACTOR (times something) and _DIVISOR (one in so many). What the
 * operators may change is not here but in src/policy/policy.c. */
#ifndef PEPPERPULLEY_CONSTANTS_H
#define PEPPERPULLEY_CONSTANTS_H

#define PEPPERPULLEY_VERSION "0.1.0"

/* ---- Units ---- */

enum {
    MS_PER_S = 1000,
    US_PER_MS = 1000,
    NS_PER_MS = 1000000,
    BYTES_PER_KIB = 1024,
    KIB_PER_MIB = 1024,
    BITS_PER_BYTE = 8,
    DECIMAL = 10,    /* base of the numbers in keys and addresses */
    PORT_MAX = 65535 /* of TCP */
};

/* Joins two hashes. Odd and large (2^32 by the golden ratio): tasks of jobs with near ids don't
 * meet.
 */
#define HASH_FACTOR 2654435761U

/* Amounts of cpus and GB that differ by less are equal. It is below any amount in use. */
static const double EPSILON = 1e-6;

/* ---- Sizes of names ---- */

/* With the final zero. Longer names are refused by the codec. */
enum {
    ID_BYTES = 40,                      /* job, machine and host; the protocol's have under 20 */
    LABEL_BYTES = 64,                   /* team, class, zone, machine type, image */
    ADDRESS_BYTES = 64,                 /* IPv4 address with port */
    KV_KEY_BYTES = 128,                 /* key of the key-value store; ours have under 80 */
    URL_BYTES = 512,                    /* address, path and query of a call */
    BASE_URL_BYTES = ADDRESS_BYTES + 8, /* scheme and address */
    METHOD_BYTES = 8,                   /* HTTP method */
    NUMBER_BYTES = 24,                  /* an integer of 64 bits in decimal */
    REASON_BYTES = 160,                 /* why a message was refused */
    LOG_LINE_BYTES = 1024               /* a longer line is cut */
};

/* ---- Limits that the protocol states ---- */

enum {
    TASKS_MAX_COUNT = 100000,   /* tasks of a job */
    BODY_MAX_BYTES = 64 * 1024, /* body of a request */
    JSON_DEPTH_MAX_COUNT =
        32,               /* levels of a body: the parser calls itself, on THREAD_STACK_BYTES */
    TYPES_MAX_COUNT = 64, /* machine types that a job may name; a placement request has as many */
    SCALE_OUT_MAX_COUNT = 50, /* machines in one autoscaler */
    SCALE_IN_MAX_COUNT = 100, /* names in one release */
    LIST_PAGE_COUNT = 500,    /* machines in a page of the cloud's list */
    JOB_DIGITS_MIN_COUNT = 6, /* of a job's id after "j-" */
    JOB_DIGITS_MAX_COUNT = 18
};

/* Any amount in a message. */
static const double AMOUNT_MAX = 1e12;

/* ---- Limits of the platform's settings ---- */

enum {
    FD_LIMIT_MIN_COUNT = 150, /* sockets: CONNECTIONS_SPARE_COUNT and some workers */
    RAM_MIN_MIB = 16,
    KV_TXN_OPS_MIN_COUNT = 10
};

static const double HEARTBEAT_INTERVAL_MIN_S = 0.01;
static const double CLOUD_RPS_MIN = 0.1;
/* Any number there; a larger one is a slip. */
static const double SETTING_MAX = 1e9;
/* Stands for numbers that a double does not hold. */
static const double LARGEST_NUMBER = 1e308;

/* ---- Records in the key-value store ---- */

enum {
    KEYS_PAGE_COUNT = 500,   /* keys read at once: half of what the service allows, small memory */
    CHUNK_BITS = 16384,      /* finished tasks in one key: 2 KiB, 2.7 KiB as base64 */
    ATTEMPT_SHIFT_BITS = 24, /* attempts of one view: 16 million; an attempt number, which is view
                                and count, stays below 2^53 */
    SHARDS_PER_ZONE_COUNT = 12, /* what moves between owners together; a large shard has several
                                   pages */
    RECORD_RESERVE_BYTES = 512, /* kept free below value_kb in the record of a page */
    RECORD_ATTEMPT_BYTES = 32,  /* one attempt takes at most this much of it */
    RECORD_MACHINE_BYTES = 110, /* a machine, names and attempts aside */
    RECORD_JOB_BYTES = 100,     /* the header of a job, names aside */
    PROGRESS_BYTES = 64,        /* a job's progress or end, its bits aside */
    KV_TXN_VALUES_BYTES = 48 * 1024, /* values in a transaction; the rest of 64 KiB is conditions */
    KV_TIMEOUT_MS = 2000,        /* a slow answer takes a few hundred ms; past this it is unknown */
    KV_WATCH_BLOCK_MS = 2000,    /* a follow: its answer also proves which aborts are known; half a
                                  request a second */
    COMMIT_GAP_MS = 60,          /* between commits: batches starts, spares the write limit */
    PLACEMENT_TICK_MS = 250,     /* longest sleep of the placement loop when nothing happens */
    PROGRESS_GAP_MS = 2000,      /* progress of a job waits for more, if the rate limit allows it */
    PROGRESS_LATE_MS = 8000,     /* older progress goes before starts: a machine that ends takes its
                                    results with it that are not durable */
    RECORD_FLUSH_DELAY_MS = 3000 /* a record from which only acknowledged results are to go waits
                             for a start that rewrites it anyway */
};

/* ---- Views, election and membership ---- */

enum {
    LEASE_LIFE_MS = 4000, /* the leader's lease in the key-value store: a leader is replaced well
                             inside the shortest lease of a worker, 10 s */
    LEASE_EXTEND_GAP_MS = 1000, /* three tries before the lease ends */
    ELECT_POLL_MS = 500,        /* between tries to read the view while it cannot be read */
    ELECT_YIELD_MS = 400,       /* more for a controller that others had better go before */
    ELECT_SPREAD_MS = 150,      /* random wait before a candidacy, so that few collide */
    MEMBER_TICK_MS = 250,       /* between looks at the membership */
    MEMBER_RECHECK_MS = 2500, /* a written key is seen by the follow within this, usually at once */
    MEMBERSHIP_BATCH_MS = 300, /* changes of the membership within this make one view */
    VIEW_FRESH_MS = 5000,      /* a leader whose view is unconfirmed for longer leaves the cloud
                                  alone */
    LEADER_GRACE_MS = 4000, /* a new leader waits for reports before it judges silence or rents */
    SCALE_IN_AFTER_MS = 40000, /* a new leader waits so long before it returns machines: what goes
                                back in the trough after a trouble is missed in the next wave */
    FENCING_TOKEN_GAP_MS =
        15000,          /* between moves of the fencing token made only to allow a forget */
    EXCLUDED_MS = 90000 /* a controller without workers owns no machines for so long */
};

/* ---- Users' requests ---- */

enum {
    API_TIMEOUT_MS = 1500, /* a call to the key-value store */
    API_WAIT_MS = 1000,    /* a request waits so long for a thread and a connection to the state
                              service: half of what users wait for a status */
    API_STATUS_MS = 1600,  /* from its arrival a status is worked on so long; users wait 2 s */
    API_SUBMIT_MS = 4500,  /* a submission or an abort; users wait 5 s */
    STATUS_BATCH_DELAY_MS = 200,  /* status reads of so long are asked together; users wait 2 s */
    API_KV_CLIENTS_COUNT = 10,    /* connections to the key-value store; a call takes some 10 ms */
    REQUEST_WORKERS_COUNT = 48,   /* requests handled at once: half a second each when things are
                                 slow, a hundred a second at one controller */
    REQUESTS_WAITING_COUNT = 256, /* requests in the queue; further ones get a 503 */
    REQUEST_PATH_BYTES = 128,     /* path of a request that is queued: a job's id has under 40 */
    TERMINAL_STATE_CACHE_COUNT = 4096, /* final states in memory, about 60 bytes each */
    TERMINAL_JOBS_COUNT = 8192, /* ids of ended jobs, which an older list of jobs must not bring
                               back; a list is seconds old at most, and a hundred may end in
                               that time */
    ISOLATED_AFTER_MS = 3000    /* /ready is 503 after so long without the key-value store */
};

/* ---- Connections, threads and memory ---- */

enum {
    HTTP_THREADS_COUNT = 4,              /* serve all connections; a heartbeat takes them a fraction
                                            of a millisecond */
    THREAD_STACK_BYTES = 128 * 1024,     /* the deepest path: a JSON parse in an HTTP handler */
    CONNECTION_BUFFER_BYTES = 16 * 1024, /* HTTP buffers of a connection */
    CONNECTION_COST_BYTES = 32 * 1024,   /* a connection takes at most: buffers and a request */
    ANSWER_BUFFER_BYTES = 1 << 18, /* buffer of a call's answer that is kept for the next call */
    LISTEN_BACKLOG_COUNT = 16,     /* connections of siblings that wait to be accepted */
    CONNECTION_IDLE_S = 30,        /* workers and users that are there speak every few s */
    CONNECTIONS_SPARE_COUNT = 100, /* sockets of fd_limit kept for calls of our own: 33 clients of
                                      HTTP with two each, their connections, the siblings; those
                                      of the dispatchers are beside it */
    DISPATCHER_CONNECTIONS_MIN_COUNT = 2,  /* kept open by a dispatcher to its workers ... */
    DISPATCHER_CONNECTIONS_MAX_COUNT = 16, /* ... and at most: 256 for all of them */
    DISPATCHER_CONNECTIONS_DIVISOR = 96,   /* between these: one in so many of fd_limit */
    WORKER_CONNECTIONS_DIVISOR = 4,        /* of the connections: one in so many is for workers */
    HEAP_TRIM_BYTES = 256 * 1024           /* free memory at the end of the heap above which it goes
                                              back to the system */
};

/* Of the memory granted, for connections; the rest is for records and the program. */
static const double CONNECTIONS_MEMORY_FRACTION = 0.6;

/* ---- Rate limits ----
 *
 * Fractions of the limits of the key-value store. The controllers' peaks seldom meet, and what is
 * refused above the limit is repeated: together they may exceed 1. */

static const double LEADER_WRITE_FRACTION = 0.45;     /* its partition, every job's progress */
static const double PARTITION_WRITE_FRACTION = 0.35;  /* any other partition, at most */
static const double PARTITIONS_WRITE_FRACTION = 1.05; /* all partitions together */
static const double CORE_RPS_FRACTION = 0.15;         /* a controller's own loops, at most */
static const double CORES_RPS_FRACTION = 0.50;        /* those of all controllers together */
static const double API_RPS_FRACTION = 0.18;          /* users' requests at a controller, at most */
static const double APIS_RPS_FRACTION = 0.60;         /* at all controllers together */
static const double API_WRITE_FRACTION = 0.25;  /* submissions and aborts at a controller, at most:
                                                   they come in bursts */
static const double APIS_WRITE_FRACTION = 0.75; /* at all controllers together */

/* ---- Workers' heartbeats and pushed commands ---- */

enum {
    HEARTBEAT_ANSWERED_WITHIN_MS = 4800, /* a worker waits 4 s for an answer and a second more
                                 before it turns elsewhere (protocol): a heartbeat that comes sooner
                                 follows an answer that arrived */
    HEARTBEAT_LATE_MS =
        1000,               /* a heartbeat is on its way, or waits for its turn, so long at most */
    PUSH_TIMEOUT_MS = 2000, /* a worker answers in milliseconds; later the heartbeat is the path */
    PUSH_CONNECT_TIMEOUT_MS =
        1000, /* a connection takes milliseconds; a machine that hangs takes none */
    ACKNOWLEDGEMENT_TIMEOUT_MS = 4000, /* a machine not reached for longer gets no starts and no
                               commands; more where workers report seldom */
    DISPATCHERS_COUNT = 16,    /* threads that send pushed commands: of 60 machines that hang at
                              once a controller has up to 20, and each blocks one briefly */
    DISPATCHER_IDLE_MS = 2500, /* longest sleep of a dispatcher */
    SILENT_MARGIN_MS = 5000    /* beyond lease_s before a silent machine is released, for proof */
};

/* Of report_s: a quarter more, and some machines are slower than they should be. */
static const double HEARTBEAT_SPREAD_FACTOR = 1.5;

/* ---- Redirection of workers ---- */

enum {
    REDIRECT_TIMEOUT_MS = 4000, /* a worker waits so long for an answer (protocol) */
    REDIRECT_PROBE_MS = 12000,  /* a worker sent to its owner and back within this can't reach it:
                                   two controllers that don't answer cost it 5 s each */
    RETAIN_MS = 20000,          /* such a worker is retained so long before it is sent again */
    RETAIN_REFUSED_MS = 3000,   /* one that its owner turned away is retained so long: a
                                       controller that has just begun is ready within 1 or 2 s */
    OWNER_FRESH_MS = 3000, /* workers reach a controller if one reported to it so lately: less than
                              the 5 s after which workers turn elsewhere */
    RETAINED_WRITE_GAP_MS = 3000,  /* between writes of the list of retained workers */
    RETAINED_GROWN_GAP_MS = 1000,  /* the same when a worker joined them: the leader may be about to
                                      give its machine up */
    RETAINED_FRESH_MS = 8000,      /* an older list says nothing */
    REDIRECTION_FORGET_MS = 60000, /* a worker that is gone from here for longer is forgotten */
    REDIRECTION_GRACE_MS = 10000,  /* after a view, workers are on their way to their new owners */
    LOST_SILENT_MS = 5000,         /* after so long a silence a worker may have lost its owner */
    LOST_MACHINES_MIN_COUNT = 3    /* fewer silent machines say little about their owner */
};

/* ---- Connectivity and known cancellations ---- */

enum {
    SIBLING_TIMEOUT_MS =
        5000, /* without a message of any sibling; heartbeats come each half second */
    SERVE_ALONE_MS =
        8000, /* without key-value store and siblings, workers are answered so long: their
                 new owner, there after 5 s, waits 15 s before it gives them up */
    CANCEL_MARGIN_MS = 3000,   /* kept below cancel_s - lease_s for a heartbeat on its way */
    START_WATERMARK_MS = 6000, /* no start is sent while cancellations are unknown for longer:
                              answers to a follow come every 2 s, slow ones later */
    STALL_MS = 1000,      /* a process that took no notice of the time for so long stood still */
    STALL_CHECK_MS = 500, /* between its notices, where no other thread takes notice */
    CANCELLATION_LOG_COUNT = 2048,   /* entries kept for siblings that have not fetched them: a
                                        minute or more of what the rate limits let through */
    CANCELLATION_UPDATE_COUNT = 256, /* entries in one message, 6 KB; the rest goes in the next */
    JOB_COUNTS_BATCH_COUNT = 256,    /* jobs whose counts go in one answer to a heartbeat: 8 KB */
    CLOCK_DRIFT_DIVISOR = 1000       /* steady clocks drift apart by up to 0.05% (protocol) */
};

/* ---- Peer exchange and relay ---- */

enum {
    PEER_TIMEOUT_MS = 1500,         /* an exchange; the answer is held back for less */
    PEER_ANSWER_DELAY_MS = 200,     /* the leader waits so long for something to say */
    PEER_IDLE_MS = 15000,           /* a connection without an exchange for longer is closed */
    PEER_GAP_MS = 50,               /* between exchanges: batches what comes in a burst */
    PEER_RETRY_MS = 300,            /* after one that failed */
    SUMMARY_SILENT_MS = 3500,       /* a machine silent for less counts as heard: nobody who reads
                                       summaries asks for less than ACKNOWLEDGEMENT_TIMEOUT_MS */
    SUMMARY_IDLE_ERROR_MS = 500,    /* idle times are judged in seconds */
    PEER_SUMMARIES_GAP_MS = 400,    /* between machine summaries that no new batch asks for */
    PEER_READ_BYTES = 4096,         /* read at once: most messages, with one call */
    PEER_FRAME_MAX_BYTES = 1 << 20, /* a message; usual ones have 10 KB */
    PEER_BATCH_COUNT = 128,         /* items in a message: a second's starts and ends of 200
                                       machines, when an exchange by relay takes one */
    PEER_HEARTBEAT_HOLD_MS = 1000,  /* a heartbeat is answered once there is news of cancellations:
                                  they are known at once; without any, after this */
    PEER_HEARTBEAT_TIMEOUT_MS = 2500, /* an answer: the hold, and a sibling that lags */
    PEER_HEARTBEAT_GAP_MS = 500,      /* after a heartbeat that failed */
    PEER_HEARTBEAT_NEWS_GAP_MS =
        250,                    /* after one that brought news: more of a burst come together */
    RELAY_AFTER_MS = 2500,      /* without an exchange by socket for longer, the relay is used */
    RELAY_SOCKET_GAP_MS = 6000, /* between tries by socket meanwhile */
    RELAY_GAP_MS = 400, /* between looks at the relay: few of the key-value store's requests */
    RELAY_RESERVE_BYTES = 512, /* kept free below value_kb in a page of a relayed message */
    RELAY_PAGES_COUNT = 10     /* of a message; a transaction takes about four of 16 KiB */
};

/* ---- Pace ----
 *
 * On a small share of a processor, rounds that serve quality alone are made less often. What keeps
 * a rule (leases, known cancellations, proof, deadlines after a stall) is not paced. */

/* Of a core: from this on nothing is paced. */
static const double USUAL_CORE_SHARE = 0.09;
/* Twice the pause: starts still leave within a quarter of a second. */
static const double PACE_MAX = 2;

/* ---- Placement ---- */

enum {
    JOB_ERRORS_ALARM_COUNT = 4, /* failures of a job in a row: the job is at fault */
    MACHINE_ERRORS_ALARM_COUNT =
        3,                        /* failures of jobs that run elsewhere: the machine is at fault */
    JOB_BACKOFF_MS = 5000,        /* after a failure of a job; doubles with each further one */
    JOB_BACKOFF_MAX_MS = 60000,   /* a job at fault costs at most one start a minute */
    TASK_BACKOFF_MS = 500,        /* after a refused start: the resources were not there */
    STARVING_MS = 120000,         /* a job none of whose tasks has begun by then goes first: the
                                     largest are to begin within four minutes */
    STARVING_LONG_MS = 240000,    /* from then on a part of its tasks goes first */
    STARVING_TASKS_DIVISOR = 16,  /* that part: one task in so many at a time */
    CLAIM_MAX_MS = 60000,         /* a machine is claimed for large work so long at most; nothing
                                     may wait 90 s where it fits */
    CLAIM_REST_MS = 10000,        /* then, or once unclaimed for so long, it is open to all */
    CLAIMED_MACHINES_DIVISOR = 8, /* one machine in so many is claimed at most */
    CLAIMED_MACHINES_PER_JOB_COUNT = 16,
    TEAMS_MASK_BITS = 64,     /* teams whose work a placement request may let stop, a bit each */
    PREEMPT_PROTECT_MS = 2000 /* a start is not preempted in its first moments */
};

/* Of all guarantees: the weight of a team that has none. */
static const double UNGUARANTEED_TEAM_FRACTION = 0.1;
/* Of its weight, for work of a class without an aim: a quarter of it served half of such a class by
 * the end of a day, half of it nearly all. */
static const double IDLE_WORK_FRACTION = 0.5;
/* The cost of a stopped task: it waits and fetches its image again. */
static const double PREEMPT_COST_S = 5.0;
/* Added where the image is still to be fetched. */
static const double PREEMPT_COLD_S = 30.0;

/* ---- Renting and returning machines ---- */

enum {
    CLOUD_TIMEOUT_MS =
        10000, /* scale-out requests may be slow; a lost answer costs a repeat only */
    CLOUD_LIST_GAP_MS = 2500,    /* between lists; the list lags by seconds anyway */
    CLOUD_ROUND_MS = 1500,       /* over cloud.rps: three calls of a round share the limit */
    CLOUD_IDLE_GAP_MS = 1000,    /* between looks at what is to be published, where another leads */
    CLOUD_GAP_MS = 300,          /* between other calls: under 5 a second with the lists */
    MACHINE_TYPES_MS = 60000,    /* between reads of the types; prices move slowly */
    CAPACITY_RETRY_MS = 12000,   /* a refused type, zone and kind is not asked for again sooner */
    UNREACHABLE_ZONE_MS = 60000, /* nothing is scaled out for so long in a zone that went silent,
                                    after its machines were given up */
    UNREACHABLE_WAIT_MS = 60000, /* those machines are waited for: three times what a boot takes */
    BOOT_TIMEOUT_MS = 30000,     /* added to three times BootS before a boot is given up */
    DRAINS_PER_ROUND_COUNT = 8   /* a fleet of hundreds goes back in seconds, not in minutes */
};

/* The least patience of work near its deadline: it takes turns on a machine only within that. */
static const double SCALE_OUT_PATIENCE_MIN_S = 15.0;
/* Of all that is wanted: the largest machine to rent. */
static const double SCALE_OUT_LARGEST_FRACTION = 0.6;
/* Of a machine: if no more than this is lacking, none is scaled out. */
static const double SCALE_OUT_ROUNDING_FRACTION = 0.25;
/* Of the price, added for each machine of the same type, zone and kind. */
static const double SCALE_OUT_SPREAD_FRACTION = 0.02;
/* Of their patience: on-demand machines go back once the queue is below it divided by this. */
static const double ON_DEMAND_EASED_FACTOR = 2.0;
/* Of a drained machine's cpus: with so much free, work that can save is moved elsewhere. */
static const double DRAIN_EMPTY_FRACTION = 0.5;

#endif
