/** @file
 * Every constant of the service, defined once: value, unit and reason.
 *
 * The unit ends the name: _MS (milliseconds), _S (seconds), _BYTES, _BITS, _COUNT, _FRACTION (of a
 * whole that the comment names), _FACTOR (times something) and _DIVISOR (one in so many). Settings
 * that operators may change are in src/policy/policy.h instead.
 */
#ifndef PEPPERPULLEY_CONSTANTS_H
#define PEPPERPULLEY_CONSTANTS_H

/** The program's version, as --version and the log report it. */
#define PEPPERPULLEY_VERSION "0.1.0"

/** Units and number bases. */
enum {
    MS_PER_S = 1000,      /**< Milliseconds per second. */
    US_PER_MS = 1000,     /**< Microseconds per millisecond. */
    NS_PER_MS = 1000000,  /**< Nanoseconds per millisecond. */
    BYTES_PER_KIB = 1024, /**< Bytes per KiB. */
    KIB_PER_MIB = 1024,   /**< KiB per MiB. */
    BITS_PER_BYTE = 8,    /**< Bits per byte. */
    DECIMAL = 10,         /**< Base of the numbers in keys and addresses. */
    PORT_MAX = 65535      /**< Highest TCP port. */
};

/** Combines two hashes. Odd and large (2^32 divided by the golden ratio), so that tasks of jobs
 * with adjacent ids do not collide. */
#define HASH_FACTOR 2654435761U

/** Amounts of cpus and GB that differ by less are equal; smaller than any amount in use. */
static const double EPSILON = 1e-6;

/** Sizes of names, terminating zero included. The codec refuses longer names. */
enum {
    ID_BYTES = 40,      /**< Job, machine and host; the protocol's have fewer than 20. */
    LABEL_BYTES = 64,   /**< Team, class, zone, machine type, image. */
    ADDRESS_BYTES = 64, /**< IPv4 address with port. */
    KV_KEY_BYTES = 128, /**< Key in the key-value store; the keys in use have fewer than 80. */
    URL_BYTES = 512,    /**< Address, path and query of an HTTP call. */
    BASE_URL_BYTES = ADDRESS_BYTES + 8, /**< Scheme and address. */
    METHOD_BYTES = 8,                   /**< HTTP method. */
    NUMBER_BYTES = 24,                  /**< A 64-bit integer in decimal. */
    LOG_LINE_BYTES = 1024               /**< A log line; a longer one is truncated. */
};

/** Limits that the protocol defines. */
enum {
    TASKS_MAX_COUNT = 100000,   /**< Tasks of a job. */
    BODY_MAX_BYTES = 64 * 1024, /**< Body of a request. */
    JSON_DEPTH_MAX_COUNT = 32,  /**< Nesting levels of a body; bounds the stack of later passes. */
    TYPES_MAX_COUNT = 64, /**< Machine types that a job may name; also of a placement request. */
    SCALE_OUT_MAX_COUNT = 50, /**< Machines in one scale-out request. */
    SCALE_IN_MAX_COUNT = 100, /**< Machines in one scale-in request. */
    LIST_PAGE_COUNT = 500,    /**< Machines in one page of the cloud's list. */
    JOB_DIGITS_MIN_COUNT = 6, /**< Fewest digits of a job's id after "j-". */
    JOB_DIGITS_MAX_COUNT = 18 /**< Most digits of a job's id after "j-". */
};

/** Highest amount accepted in a message. */
static const double AMOUNT_MAX = 1e12;

/** Lowest values accepted in the platform's settings. */
enum {
    FD_LIMIT_MIN_COUNT = 150, /**< Sockets: CONNECTIONS_SPARE_COUNT and some for workers. */
    RAM_MIN_MIB = 16,         /**< Memory. */
    KV_TXN_OPS_MIN_COUNT = 10 /**< Changes in a transaction. */
};

/** Shortest accepted interval between worker heartbeats. */
static const double HEARTBEAT_INTERVAL_MIN_S = 0.01;
/** Lowest accepted request rate at the cloud. */
static const double CLOUD_RPS_MIN = 0.1;
/** Highest accepted number in the settings; a larger one is taken for a mistake. */
static const double SETTING_MAX = 1e9;
/** Replaces a number in a message that a double can't represent. */
static const double LARGEST_NUMBER = 1e308;

/** Records in the key-value store. */
enum {
    KEYS_PAGE_COUNT = 500,   /**< Keys per list request: half the store's limit, to save memory. */
    CHUNK_BITS = 16384,      /**< Tasks in one progress key: 2 KiB, 2.7 KiB as base64. */
    ATTEMPT_SHIFT_BITS = 24, /**< Bits of the counter of attempts of one view: 16 million. An
                                attempt number (view and counter) stays below 2^53. */
    SHARDS_PER_ZONE_COUNT = 12, /**< Units of ownership of a zone; a large shard has several pages.
                                 */
    RECORD_RESERVE_BYTES = 512, /**< Kept free below value_kb in the record of a page. */
    RECORD_ATTEMPT_BYTES = 32,  /**< Upper bound of an attempt's size in a record. */
    RECORD_MACHINE_BYTES = 110, /**< Size of a machine without names and attempts. */
    RECORD_JOB_BYTES = 100,     /**< Size of a job's header without names. */
    PROGRESS_BYTES = 64,        /**< Size of a job's progress or end without its bits. */
    KV_TXN_VALUES_BYTES = 48 * 1024, /**< Values in a transaction; conditions take the rest of the
                                        64 KiB. */
    KV_TIMEOUT_MS = 2000, /**< A call: slow answers take some hundred ms; later, the outcome counts
                             as indeterminate. */
    KV_WATCH_BLOCK_MS = 2000, /**< How long a watch blocks: half a request a second. Its answer also
                                 extends the time up to which cancellations are known. */
    COMMIT_GAP_MS = 60,       /**< Between commits: batches starts, saves write rate. */
    PLACEMENT_TICK_MS = 250,  /**< Longest sleep of the placement loop without events. */
    PROGRESS_GAP_MS = 2000,   /**< Progress of a job is collected this long, rate permitting. */
    PROGRESS_LATE_MS = 8000,  /**< Older progress is written before starts: results that are not
                                 durable are lost with their machine. */
    RECORD_FLUSH_DELAY_MS = 3000 /**< Removal of acknowledged results from a record waits this long
                                    for a start that rewrites the record anyway. */
};

/** Views, election and membership. */
enum {
    LEASE_LIFE_MS = 4000, /**< The leader's lease in the key-value store: failover completes well
                             within the shortest worker lease, 10 s. */
    LEASE_EXTEND_GAP_MS = 1000, /**< Between extensions: three tries before the lease ends. */
    ELECT_POLL_MS = 500,        /**< Between tries to read the view while that fails. */
    ELECT_YIELD_MS = 400,       /**< Extra wait of a less suitable candidate before a candidacy. */
    ELECT_SPREAD_MS = 150, /**< Upper bound of the random wait before a candidacy: fewer conflicts.
                            */
    MEMBER_TICK_MS = 250,  /**< Between checks of the membership. */
    MEMBER_RECHECK_MS = 2500,  /**< A written key is seen by the watch within this time. */
    MEMBERSHIP_BATCH_MS = 300, /**< Changes of the membership within this time make one view. */
    VIEW_FRESH_MS = 5000,      /**< A leader whose view is unconfirmed for longer sends the cloud no
                                  requests. */
    LEADER_GRACE_MS = 4000,    /**< A new leader collects heartbeats this long before it judges
                                  machines unresponsive or scales out. */
    SCALE_IN_AFTER_MS = 40000, /**< A new leader scales in no sooner: capacity given up in the lull
                                  after an outage is missing in the next peak. */
    FENCING_TOKEN_GAP_MS = 15000, /**< Between increases of the fencing token whose only purpose is
                                     to permit a forget command. */
    EXCLUDED_MS = 90000 /**< A controller without workers is an excluded member, which owns no
                           machines, this long. */
};

/** Users' requests. */
enum {
    API_TIMEOUT_MS = 1500, /**< A call to the key-value store. */
    API_WAIT_MS = 1000,    /**< Longest wait of a request for a worker thread and a connection to
                              the key-value store: half of what users wait for a status. */
    API_STATUS_MS = 1600,  /**< Deadline of a status request from its arrival; users wait 2 s. */
    API_SUBMIT_MS = 4500,  /**< Deadline of a submission or cancellation; users wait 5 s. */
    STATUS_BATCH_DELAY_MS = 200,  /**< Status reads within this time form one status batch. */
    API_KV_CLIENTS_COUNT = 10,    /**< Connections to the key-value store; a call takes 10 ms. */
    REQUEST_WORKERS_COUNT = 48,   /**< Requests handled at once: when slow, half a second each; a
                                     hundred a second arrive at one controller. */
    REQUESTS_WAITING_COUNT = 256, /**< Capacity of the request queue; beyond it, load is shed. */
    REQUEST_PATH_BYTES = 128,     /**< Path of a queued request; a job's id has fewer than 40. */
    TERMINAL_STATE_CACHE_COUNT = 4096, /**< Terminal states in memory, about 60 bytes each. */
    TERMINAL_JOBS_COUNT = 8192, /**< Ids of terminal jobs, which an older list of jobs must not
                                   restore. Lists are seconds old; a hundred jobs may end in that
                                   time. */
    ISOLATED_AFTER_MS = 3000    /**< Without the key-value store for longer, /ready answers 503. */
};

/** Connections, threads and memory. */
enum {
    HTTP_THREADS_COUNT = 4, /**< Serve all connections; a heartbeat takes a fraction of a ms. */
    THREAD_STACK_BYTES = 128 * 1024,     /**< Deepest path: a JSON parse in an HTTP handler. */
    CONNECTION_BUFFER_BYTES = 16 * 1024, /**< HTTP buffers of a connection. */
    CONNECTION_COST_BYTES = 32 * 1024,   /**< Upper bound of a connection: buffers and a request. */
    ANSWER_BUFFER_BYTES = 1 << 18,       /**< Largest response buffer kept for the next call. */
    HTTP_READ_BYTES = 16384,             /**< Read from an HTTP connection at once. */
    REAL_DIGITS_COUNT = 9,               /**< Significant digits of a real number in a request. */
    LISTEN_BACKLOG_COUNT = 16,           /**< Connections of siblings waiting to be accepted. */
    CONNECTION_IDLE_S = 30, /**< Idle connections are closed; active clients send every few s. */
    CONNECTIONS_SPARE_COUNT = 100, /**< Sockets of fd_limit reserved for the controller's calls: 33
                                      HTTP clients with two each and siblings; not the
                                      dispatchers'. */
    DISPATCHER_CONNECTIONS_MIN_COUNT = 2,  /**< Fewest connections kept by a dispatcher. */
    DISPATCHER_CONNECTIONS_MAX_COUNT = 16, /**< Most; 256 for all dispatchers. */
    DISPATCHER_CONNECTIONS_DIVISOR = 96,   /**< Between these: one in so many of fd_limit. */
    WORKER_CONNECTIONS_DIVISOR = 4, /**< One in so many of the connections is kept for workers. */
    HEAP_TRIM_BYTES = 256 * 1024    /**< Free memory at the heap's end above this is returned to
                                       the system. */
};

/** Share of the memory limit for connections; records and program take the rest. */
static const double CONNECTIONS_MEMORY_FRACTION = 0.6;

/* Rate limits: fractions of the key-value store's limits. The controllers' peaks seldom coincide
 * and a request refused above the limit is repeated, so the sums may exceed 1. */

/** Writes of the leader: its partition and every job's progress. */
static const double LEADER_WRITE_FRACTION = 0.45;
/** Writes of any other partition, at most. */
static const double PARTITION_WRITE_FRACTION = 0.35;
/** Writes of all partitions together. */
static const double PARTITIONS_WRITE_FRACTION = 1.05;
/** Requests of one controller's own loops, at most. */
static const double CORE_RPS_FRACTION = 0.15;
/** Requests of all controllers' own loops together. */
static const double CORES_RPS_FRACTION = 0.50;
/** Requests for users at one controller, at most. */
static const double API_RPS_FRACTION = 0.18;
/** Requests for users at all controllers together. */
static const double APIS_RPS_FRACTION = 0.60;
/** Submissions and cancellations at one controller, at most: they come in bursts. */
static const double API_WRITE_FRACTION = 0.25;
/** Submissions and cancellations at all controllers together. */
static const double APIS_WRITE_FRACTION = 0.75;

/** Worker heartbeats and pushed commands. */
enum {
    HEARTBEAT_ANSWERED_WITHIN_MS = 4800, /**< A heartbeat that comes sooner after the last one shows
                                            that the answer arrived: without it a worker waits 4 s
                                            and 1 s more before it sends elsewhere (protocol). */
    HEARTBEAT_LATE_MS = 1000, /**< Longest delay of a heartbeat on the network or in a queue. */
    PUSH_TIMEOUT_MS = 2000,   /**< A worker answers in ms; later, heartbeats carry the commands. */
    PUSH_CONNECT_TIMEOUT_MS = 1000,    /**< Connecting takes ms; a frozen machine never accepts. */
    ACKNOWLEDGEMENT_TIMEOUT_MS = 4000, /**< A machine without acknowledgement for longer gets no
                                          starts or commands; longer if heartbeats are rare. */
    DISPATCHERS_COUNT = 16, /**< Dispatcher threads: of 60 machines frozen at once a controller has
                               up to 20, and each blocks a thread briefly. */
    DISPATCHER_IDLE_MS = 2500, /**< Longest sleep of a dispatcher. */
    SILENT_MARGIN_MS = 5000    /**< Beyond lease_s before an unresponsive machine is released, so
                                  that its lease has ended for certain. */
};

/** Of the heartbeat interval: up to a quarter more is normal, and some machines are slower. */
static const double HEARTBEAT_SPREAD_FACTOR = 1.5;

/** Redirection of workers. */
enum {
    REDIRECT_TIMEOUT_MS = 4000, /**< A worker's wait for an answer (protocol). */
    REDIRECT_PROBE_MS = 12000,  /**< A worker that is back within this time can't reach its owner:
                                   two controllers that don't answer cost it 5 s each. */
    RETAIN_MS = 20000,        /**< Such a worker is retained this long before the next redirect. */
    RETAIN_REFUSED_MS = 3000, /**< The same if the owner refused it: a controller that has just
                                 started is ready within 2 s. */
    OWNER_FRESH_MS = 3000, /**< Workers reach a controller if one sent it a heartbeat so recently;
                              below the 5 s after which workers try another. */
    RETAINED_WRITE_GAP_MS = 3000,  /**< Between writes of the list of retained workers. */
    RETAINED_GROWN_GAP_MS = 1000,  /**< The same if a worker was added: the leader may be about to
                                      release its machine. */
    RETAINED_FRESH_MS = 8000,      /**< An older list is ignored. */
    REDIRECTION_FORGET_MS = 60000, /**< The state of a worker not seen for longer is dropped. */
    REDIRECTION_GRACE_MS = 10000,  /**< After a new view, workers move to their owners this long. */
    LOST_SILENT_MS = 5000,      /**< A worker without a heartbeat for longer may have no owner. */
    LOST_MACHINES_MIN_COUNT = 3 /**< Fewer unresponsive machines give no verdict on their owner. */
};

/** Connectivity, stalls and known cancellations. */
enum {
    SIBLING_TIMEOUT_MS = 5000, /**< Without a message of any sibling for longer, there is no contact
                                  with siblings; peer heartbeats come every half second. */
    SERVE_ALONE_MS = 8000,     /**< Without key-value store and siblings, workers are answered this
                                  long: their new owner, elected after 5 s, waits 15 s before it
                                  releases them. */
    CANCEL_MARGIN_MS = 3000,   /**< Kept below cancel_s - lease_s for a heartbeat under way. */
    START_WATERMARK_MS = 6000, /**< No start is sent if the cancellations are known only up to a
                                  time longer ago; a watch answers every 2 s, slow answers later. */
    STALL_MS = 1000,           /**< A longer gap between clock readings is a stall. */
    STALL_CHECK_MS = 500,      /**< Between clock readings when no other thread takes one. */
    CANCELLATION_LOG_COUNT = 2048,   /**< Entries kept for siblings that have not fetched them: a
                                        minute or more at the rate limits. */
    CANCELLATION_UPDATE_COUNT = 256, /**< Entries in one message, 6 KB; the next has the rest. */
    JOB_COUNTS_BATCH_COUNT = 256,    /**< Jobs with counts in one heartbeat answer: 8 KB. */
    CLOCK_DRIFT_DIVISOR = 1000       /**< Monotonic clocks drift apart by up to 0.05% (protocol). */
};

/** Peer exchange and relay. */
enum {
    PEER_TIMEOUT_MS = 1500,      /**< An exchange; an answer is delayed by less. */
    PEER_ANSWER_DELAY_MS = 200,  /**< The leader delays an empty answer this long for content. */
    PEER_IDLE_MS = 15000,        /**< A connection without an exchange for longer is closed. */
    PEER_GAP_MS = 50,            /**< Between exchanges: batches bursts. */
    PEER_RETRY_MS = 300,         /**< After a failed exchange. */
    SUMMARY_SILENT_MS = 3500,    /**< Below this, the age of a machine's last heartbeat makes no
                                    difference: readers check ACKNOWLEDGEMENT_TIMEOUT_MS or more. */
    SUMMARY_IDLE_ERROR_MS = 500, /**< Tolerated error of idle times, which are used in seconds. */
    PEER_SUMMARIES_GAP_MS = 400, /**< Between machine summaries that no new batch requests. */
    PEER_READ_BYTES = 4096,      /**< Read at once: most messages in one call. */
    PEER_FRAME_MAX_BYTES = 1 << 20, /**< Largest message; typical ones have 10 KB. */
    PEER_BATCH_COUNT = 128, /**< Items in a message: a second's starts and ends of 200 machines,
                               the time of an exchange by relay. */
    PEER_HEARTBEAT_HOLD_MS = 1000,    /**< A peer heartbeat is answered when there are new
                                         cancellations, at the latest after this. */
    PEER_HEARTBEAT_TIMEOUT_MS = 2500, /**< Wait for an answer: the hold and a slow sibling. */
    PEER_HEARTBEAT_GAP_MS = 500,      /**< After a failed peer heartbeat. */
    PEER_HEARTBEAT_NEWS_GAP_MS = 250, /**< After an answer with cancellations: batches bursts. */
    RELAY_AFTER_MS = 2500,      /**< Without an exchange by socket for longer, the relay is used. */
    RELAY_SOCKET_GAP_MS = 6000, /**< Between tries by socket meanwhile. */
    RELAY_GAP_MS = 400,         /**< Between reads of the relay: saves request rate. */
    RELAY_RESERVE_BYTES = 512,  /**< Kept free below value_kb in a page of a relayed message. */
    RELAY_PAGES_COUNT = 10      /**< Of a message; a transaction holds about four of 16 KiB. */
};

/* Pace: on a small share of a processor, rounds that only serve quality run less often. What safety
 * depends on (leases, known cancellations, proof, deadlines after a stall) is not slowed down. */

/** Share of a core from which on nothing is slowed down. */
static const double USUAL_CORE_SHARE = 0.09;
/** Highest factor of the pauses: starts still leave within a quarter of a second. */
static const double PACE_MAX = 2;

/** Placement. */
enum {
    JOB_ERRORS_ALARM_COUNT = 4,     /**< Consecutive failures after which a job is quarantined. */
    MACHINE_ERRORS_ALARM_COUNT = 3, /**< Failures of jobs that run elsewhere after which a machine
                                       is quarantined. */
    JOB_BACKOFF_MS = 5000,          /**< After a failure of a job; doubles with each further one. */
    JOB_BACKOFF_MAX_MS = 60000,     /**< Longest backoff of a job: one start a minute. */
    TASK_BACKOFF_MS = 500,          /**< After a refused start: the resources were not free. */
    STARVING_MS = 120000,      /**< A job without any started task goes first from this age on (the
                                  starvation minimum): the largest must start within four minutes. */
    STARVING_LONG_MS = 240000, /**< From this age on, some of its remaining tasks go first. */
    STARVING_TASKS_DIVISOR = 16,  /**< One task in so many at a time. */
    CLAIM_MAX_MS = 60000,         /**< Longest claim of a machine for large work; no work that fits
                                     may wait 90 s. */
    CLAIM_REST_MS = 10000,        /**< After a claim a machine is open to all work this long. */
    CLAIMED_MACHINES_DIVISOR = 8, /**< At most one machine in so many is claimed. */
    CLAIMED_MACHINES_PER_JOB_COUNT = 16, /**< At most, for one job. */
    TEAMS_MASK_BITS = 64,     /**< Teams that a placement request may preempt, a bit each. */
    PREEMPT_PROTECT_MS = 2000 /**< A start is not preempted within this time. */
};

/** Of all guarantees: the fair-share weight of a team without one. */
static const double UNGUARANTEED_TEAM_FRACTION = 0.1;
/** Of its team's weight, for work of a class without an SLO. With 0.25, half of such a class was
 * served by the end of a day; with this value, nearly all of it. */
static const double IDLE_WORK_FRACTION = 0.5;
/** Cost of a preempted task: it waits and fetches its image again. */
static const double PREEMPT_COST_S = 5.0;
/** Additional cost if its image is not cached. */
static const double PREEMPT_COLD_S = 30.0;

/** Scale out and scale in. */
enum {
    CLOUD_TIMEOUT_MS = 10000,  /**< Scale-out may be slow; a lost answer only costs a repeat. */
    CLOUD_LIST_GAP_MS = 2500,  /**< Between lists, which lag by seconds anyway. */
    CLOUD_ROUND_MS = 1500,     /**< Divided by cloud.rps: three calls of a round share the limit. */
    CLOUD_IDLE_GAP_MS = 1000,  /**< Between publications at a controller that does not lead. */
    CLOUD_GAP_MS = 300,        /**< Between other calls: with the lists, below 5 a second. */
    MACHINE_TYPES_MS = 60000,  /**< Between reads of the types; prices change slowly. */
    CAPACITY_RETRY_MS = 12000, /**< A refused type, zone and kind is not requested again sooner. */
    UNREACHABLE_ZONE_MS = 60000, /**< No scale-out in a zone for this long after its machines were
                                    released as unresponsive. */
    UNREACHABLE_WAIT_MS = 60000, /**< These machines are awaited this long: three boot times. */
    BOOT_TIMEOUT_MS = 30000,     /**< Added to three times the type's boot time before a booting
                                    instance is given up. */
    DRAINS_PER_ROUND_COUNT = 8   /**< Hundreds of machines are drained in seconds, not minutes. */
};

/** Shortest scale-out patience of work near its deadline: it shares a machine within that only. */
static const double SCALE_OUT_PATIENCE_MIN_S = 15.0;
/** Of the total demand: the largest machine to add. */
static const double SCALE_OUT_LARGEST_FRACTION = 0.6;
/** Of a machine: for a smaller remainder of the demand none is added. */
static const double SCALE_OUT_ROUNDING_FRACTION = 0.25;
/** Of the price, added for each machine of the same type, zone and kind: spreads the risk. */
static const double SCALE_OUT_SPREAD_FRACTION = 0.02;
/** On-demand machines are drained once the queue is below their patience divided by this. */
static const double ON_DEMAND_EASED_FACTOR = 2.0;
/** Of a draining machine's cpus: with so much free, work that can checkpoint is moved. */
static const double DRAIN_EMPTY_FRACTION = 0.5;

#endif
