/** @file
 * The constants of the service, each with its unit and the reason for its value.
 *
 * A name ends in its unit: _MS (milliseconds), _S (seconds), _BYTES, _BITS, _COUNT, _FRACTION (of
 * the quantity that the comment names), _FACTOR (a multiplier) and _DIVISOR (divides the quantity
 * that the comment names). The parameters that operators may change are in src/policy/policy.h.
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

/** Multiplier that combines two hashes. It is odd and large (2^32 divided by the golden ratio), so
 * that tasks of jobs with adjacent ids do not collide. */
#define HASH_FACTOR 2654435761U

/** Amounts of cpus or GB that differ by less are equal. Smaller than any amount in use. */
static const double RESOURCE_EPSILON = 1e-6;

/** Sizes of strings, including the terminating zero. The codec refuses longer names. */
enum {
    ID_BYTES = 40,      /**< Job, machine and host id; the protocol's ids are shorter than 20. */
    LABEL_BYTES = 64,   /**< Team, class, zone, machine type or image. */
    ADDRESS_BYTES = 64, /**< IPv4 address with port. */
    KV_KEY_BYTES = 128, /**< Key in the key-value store; the keys in use are shorter than 80. */
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
    /** Nesting levels of a body; bounds the recursion of later passes. */
    JSON_DEPTH_MAX_COUNT = 32,
    TYPES_MAX_COUNT = 64,     /**< Machine types named by one job or one placement request. */
    SCALE_OUT_MAX_COUNT = 50, /**< Machines in one scale-out request. */
    SCALE_IN_MAX_COUNT = 100, /**< Machines in one scale-in request. */
    LIST_PAGE_COUNT = 500,    /**< Machines in one page of the cloud's machine list. */
    JOB_DIGITS_MIN_COUNT = 6, /**< Fewest digits after "j-" in a job's id. */
    JOB_DIGITS_MAX_COUNT = 18 /**< Most digits after "j-" in a job's id. */
};

/** Highest amount accepted in a message. */
static const double AMOUNT_MAX = 1e12;

/** Lowest values accepted in the platform's settings. */
enum {
    FD_LIMIT_MIN_COUNT = 150, /**< fd_limit: CONNECTIONS_SPARE_COUNT and some for workers. */
    RAM_MIN_MIB = 16,         /**< ram_mb. */
    KV_TXN_OPS_MIN_COUNT = 10 /**< Changes in one transaction of the key-value store. */
};

/** Shortest accepted interval between worker heartbeats. */
static const double HEARTBEAT_INTERVAL_MIN_S = 0.01;
/** Lowest accepted request rate at the cloud. */
static const double CLOUD_RPS_MIN = 0.1;
/** Highest accepted number in the settings. A larger one is treated as a mistake. */
static const double SETTING_MAX = 1e9;
/** Replaces a number in a message that is too large for a double. */
static const double JSON_NUMBER_MAX = 1e308;

/** Records in the key-value store. */
enum {
    KEYS_PAGE_COUNT = 500, /**< Keys per list request: half of the store's limit, to save memory. */
    CHUNK_BITS = 16384,    /**< Tasks in one progress key: 2 KiB, or 2.7 KiB as base64. */
    /** An attempt number is the view number shifted left by this many bits, plus a counter of the
     * view's attempts, of which there may be 16 million. The number stays below 2^53. */
    ATTEMPT_SHIFT_BITS = 24,
    SHARDS_PER_ZONE_COUNT = 12, /**< Members own whole shards. A large one has several pages. */
    RECORD_RESERVE_BYTES = 512, /**< Space kept free below value_kb in the record of a page. */
    RECORD_ATTEMPT_BYTES = 32,  /**< Upper bound of the size of an attempt in a record. */
    RECORD_MACHINE_BYTES = 110, /**< Size of a machine in a record, without names and attempts. */
    RECORD_JOB_BYTES = 100,     /**< Size of a job's header in a record, without names. */
    PROGRESS_BYTES = 64, /**< Record of a job's progress or terminal state, without task bits. */
    KV_TXN_VALUES_BYTES = 48 * 1024, /**< Size of all values; conditions take the rest of 64 KiB. */
    /** Timeout of a call. Slow answers take a few hundred ms; after the timeout the outcome counts
     * as indeterminate. */
    KV_TIMEOUT_MS = 2000,
    /** How long a watch request blocks if nothing changes, which makes half a request per second.
     * Its answer also advances the time until which cancellations are known. */
    KV_WATCH_BLOCK_MS = 2000,
    COMMIT_GAP_MS = 60,      /**< Pause between commits; batches starts, which saves writes. */
    PLACEMENT_TICK_MS = 250, /**< Longest wait of the placement loop for an event. */
    /** Progress of a job is collected for this long before it is written, or longer if the write
     * rate requires it. */
    PROGRESS_BATCH_DELAY_MS = 2000,
    /** Progress older than this is written before starts, because results that are not durable are
     * lost if their machine fails. */
    PROGRESS_OVERDUE_MS = 8000,
    /** Acknowledged results are removed from a record after this delay, or sooner if a start
     * rewrites the record. */
    RECORD_FLUSH_DELAY_MS = 3000
};

/** Views, election and membership. */
enum {
    /** Duration of a controller's lease in the key-value store, including the leader's. Failover
     * completes well within the shortest worker lease, 10 s. */
    LEASE_TTL_MS = 4000,
    LEASE_EXTEND_GAP_MS = 1000, /**< Between extensions; permits three attempts per lease. */
    KV_RETRY_DELAY_MS = 500,    /**< Pause after a failed read of the view or of other keys. */
    CANDIDACY_YIELD_MS = 400, /**< Additional delay before a less suitable candidate's candidacy. */
    CANDIDACY_JITTER_MS = 150, /**< Highest random delay before a candidacy; avoids conflicts. */
    MEMBER_TICK_MS = 250,      /**< Interval between membership checks. */
    MEMBER_RECHECK_MS = 2500, /**< A newly written key is reported by the watch within this time. */
    MEMBERSHIP_BATCH_MS = 300, /**< Changes within this time are combined into one view. */
    /** A leader whose view is unconfirmed for longer than this sends no requests to the cloud. */
    VIEW_CONFIRMED_WITHIN_MS = 5000,
    /** A new leader collects heartbeats for this long before it treats machines as unresponsive
     * or scales out. */
    LEADER_GRACE_MS = 4000,
    /** A new leader does not scale in before this time has passed. Machines terminated while the
     * load is low after an outage would be missing in the next peak. */
    NEW_LEADER_SCALE_IN_DELAY_MS = 40000,
    /** Shortest interval between increases of the fencing token that only serve to forget attempts
     * or to prove them to be over. */
    FENCING_TOKEN_GAP_MS = 15000,
    /** How long a member that its workers do not reach is excluded and owns no machines. */
    EXCLUSION_MS = 90000
};

/** Users' requests. */
enum {
    API_TIMEOUT_MS = 1500, /**< Timeout of a call to the key-value store. */
    /** Longest time that a request waits for a worker thread and for a connection to the key-value
     * store: half of what users wait for a status. */
    API_QUEUE_TIMEOUT_MS = 1000,
    API_STATUS_DEADLINE_MS =
        1600, /**< Deadline of a status request after its arrival; users wait 2 s. */
    API_WRITE_DEADLINE_MS = 4500, /**< Deadline of a submission or cancellation; users wait 5 s. */
    STATUS_BATCH_DELAY_MS = 200,  /**< Status reads within this time are combined into one batch. */
    API_KV_CLIENTS_COUNT = 10,    /**< Connections to the key-value store. A call takes 10 ms. */
    /** Requests that are handled concurrently. A slow request takes half a second, and a hundred
     * requests per second arrive at one controller. */
    REQUEST_WORKERS_COUNT = 48,
    REQUEST_QUEUE_MAX_COUNT = 256, /**< Capacity of the request queue; more are refused. */
    REQUEST_PATH_BYTES = 128,      /**< Path of a queued request. A job's id is shorter than 40. */
    TERMINAL_STATE_CACHE_COUNT = 4096, /**< Cached terminal states, about 60 bytes each. */
    /** Ids of terminal jobs that are kept, so that an older list of jobs does not restore these
     * jobs. Lists are seconds old, and a hundred jobs may end in that time. */
    TERMINAL_JOBS_COUNT = 8192,
    ISOLATED_AFTER_MS = 3000 /**< /ready answers 503 after this time without the key-value store. */
};

/** Connections, threads and memory. */
enum {
    HTTP_THREADS_COUNT = 4, /**< Serve all connections. A heartbeat takes a fraction of a ms. */
    THREAD_STACK_BYTES = 128 * 1024,     /**< Deepest path: a JSON parse in an HTTP handler. */
    CONNECTION_BUFFER_BYTES = 16 * 1024, /**< Size of a connection's HTTP buffers. */
    CONNECTION_COST_BYTES = 32 * 1024,   /**< Most memory of a connection: buffers and a request. */
    RESPONSE_BUFFER_MAX_BYTES = 1 << 18, /**< Largest response buffer kept for the next call. */
    HTTP_READ_BYTES = 16384,             /**< Bytes read from an HTTP connection at once. */
    REAL_DIGITS_COUNT = 9,               /**< Significant digits of a real number in a request. */
    LISTEN_BACKLOG_COUNT = 16,           /**< Connections of siblings that wait to be accepted. */
    CONNECTION_IDLE_S = 30, /**< Idle connections are closed; clients send every few seconds. */
    /** Sockets reserved from fd_limit for the controller's own calls: 33 HTTP clients with two
     * connections each, and siblings. The dispatchers' connections are not included. */
    CONNECTIONS_SPARE_COUNT = 100,
    DISPATCHER_CONNECTIONS_MIN_COUNT = 2,  /**< Fewest connections of one dispatcher. */
    DISPATCHER_CONNECTIONS_MAX_COUNT = 16, /**< Most connections; 256 for all dispatchers. */
    DISPATCHER_CONNECTIONS_DIVISOR = 96,   /**< Divides fd_limit; the bounds above apply. */
    WORKER_CONNECTIONS_DIVISOR = 4, /**< Divides the connections; the result is for workers only. */
    HEAP_TRIM_BYTES = 256 * 1024    /**< Free memory above this at the heap's end is released. */
};

/** Fraction of the memory limit that connections may use. Records and the program use the rest. */
static const double CONNECTIONS_MEMORY_FRACTION = 0.6;

/* Rate limits, as fractions of the key-value store's limits. The sums may exceed 1, because the
 * controllers' peaks seldom coincide and a request that the store refuses is repeated. */

/** Writes of the leader's loops: its partition's records and the progress of all jobs. */
static const double LEADER_WRITE_FRACTION = 0.45;
/** Writes for any other partition, at most. */
static const double PARTITION_WRITE_MAX_FRACTION = 0.35;
/** Writes for all partitions together. */
static const double PARTITION_WRITE_TOTAL_FRACTION = 1.05;
/** Requests by the loops of one controller, at most. */
static const double LOOPS_RPS_MAX_FRACTION = 0.15;
/** Requests by the loops of all controllers together. */
static const double LOOPS_RPS_TOTAL_FRACTION = 0.50;
/** Requests on behalf of users by one controller, at most. */
static const double API_RPS_MAX_FRACTION = 0.18;
/** Requests on behalf of users by all controllers together. */
static const double API_RPS_TOTAL_FRACTION = 0.60;
/** Writes for submissions and cancellations by one controller, at most. They come in bursts. */
static const double API_WRITE_MAX_FRACTION = 0.25;
/** Writes for submissions and cancellations by all controllers together. */
static const double API_WRITE_TOTAL_FRACTION = 0.75;

/** Worker heartbeats and pushed commands. */
enum {
    /** A heartbeat that arrives sooner than this after the previous one shows that the worker
     * received the answer. Without an answer it waits 4 s, and 1 s more before it tries another
     * controller (protocol). */
    HEARTBEAT_ANSWERED_WITHIN_MS = 4800,
    HEARTBEAT_DELAY_MAX_MS =
        1000, /**< Longest delay of a heartbeat on the network or in a queue. */
    /** Timeout of a push. Workers answer within ms; after the timeout the commands are sent in
     * heartbeat answers. */
    PUSH_TIMEOUT_MS = 2000,
    PUSH_CONNECT_TIMEOUT_MS = 1000, /**< Connecting takes ms; a frozen machine never accepts. */
    /** A machine that has acknowledged nothing for longer than this gets no starts or commands. The
     * timeout is longer if heartbeats are rare. */
    ACKNOWLEDGEMENT_TIMEOUT_MS = 4000,
    /** Dispatcher threads. If 60 machines freeze at once, a controller owns up to 20 of them, and
     * each blocks a thread briefly. */
    DISPATCHERS_COUNT = 16,
    DISPATCHER_IDLE_MS = 2500, /**< Longest wait of the idle dispatcher that polls. */
    /** A machine is terminated after a silence of lease_s plus this: its lease has then expired. */
    SILENT_MARGIN_MS = 5000
};

/** Longest expected time between two heartbeats, as a multiple of the heartbeat interval. Up to a
 * quarter more than the interval is normal, and some machines are slower. */
static const double HEARTBEAT_GAP_MAX_FACTOR = 1.5;

/** Redirection of workers. */
enum {
    REDIRECT_TIMEOUT_MS = 4000, /**< How long a worker waits for an answer (protocol). */
    /** A worker that returns within this time after its redirect could not reach its owner. Two
     * controllers that don't answer cost it 5 s each. */
    REDIRECT_PROBE_MS = 12000,
    RETAIN_MS = 20000, /**< Such a worker is retained for this long before the next redirect. */
    /** Replaces RETAIN_MS if the owner refused the worker. New controllers are ready within 2 s. */
    RETAIN_REFUSED_MS = 3000,
    /** An owner counts as reachable for workers if it received a worker's heartbeat within this
     * time. Less than the 5 s after which workers try another controller. */
    OWNER_REACHABLE_WITHIN_MS = 3000,
    RETAINED_WRITE_GAP_MS = 3000, /**< Interval between writes of the list of retained workers. */
    /** The interval after a worker is added, because the leader may soon terminate its machine. */
    RETAINED_GROWN_GAP_MS = 1000,
    RETAINED_FRESH_MS = 8000,      /**< A list of retained workers older than this is ignored. */
    REDIRECTION_FORGET_MS = 60000, /**< A worker not seen for longer is forgotten. */
    REDIRECTION_GRACE_MS = 10000,  /**< Time for workers to move to the owners of a new view. */
    LOST_OWNER_SILENCE_MIN_MS =
        5000, /**< A worker silent for longer may be cut off from its owner. */
    /** Fewer unresponsive machines are no evidence that their owner or zone is unreachable. */
    SILENT_MACHINES_MIN_COUNT = 3
};

/** Connectivity, stalls and known cancellations. */
enum {
    /** After this time without a message from any sibling, the siblings count as unreachable. A
     * reachable sibling answers a peer heartbeat within about PEER_HEARTBEAT_HOLD_MS, and the next
     * one is sent PEER_HEARTBEAT_UPDATE_GAP_MS later at most. */
    SIBLING_TIMEOUT_MS = 5000,
    /** A controller that reaches neither the key-value store nor a sibling answers workers for this
     * long. It is replaced after 5 s, and its machines are not terminated for another 15 s. */
    ISOLATED_SERVE_MS = 8000,
    CANCEL_MARGIN_MS = 3000, /**< Subtracted from cancel_s - lease_s for a heartbeat in transit. */
    /** No start is sent if the last time until which all cancellations are known is longer ago than
     * this. A watch answers every 2 s; slow answers take longer. */
    START_WATERMARK_MAX_AGE_MS = 6000,
    STALL_MIN_MS = 1000, /**< A gap between clock readings that is longer than this is a stall. */
    /** Interval between clock readings if no other thread reads the clock. */
    STALL_CHECK_MS = 500,
    /** Entries kept for siblings to fetch. At the rate limits, they cover a minute or more. */
    CANCELLATION_LOG_COUNT = 2048,
    CANCELLATION_UPDATE_COUNT = 256, /**< Entries per message, 6 KB; the next has the rest. */
    JOB_COUNTS_BATCH_COUNT = 256,    /**< Jobs with task counts in one heartbeat answer, 8 KB. */
    /** Allowance for clock drift: steady clocks drift apart by up to 0.05% (protocol). */
    CLOCK_DRIFT_DIVISOR = 1000
};

/** Peer exchange and relay. */
enum {
    PEER_TIMEOUT_MS = 1500, /**< Timeout of an exchange; an answer is delayed by less than this. */
    /** The leader delays an answer without items for up to this long, in case one arrives. */
    PEER_ANSWER_DELAY_MS = 200,
    PEER_IDLE_MS = 15000,      /**< A connection without an exchange for this time is closed. */
    PEER_EXCHANGE_GAP_MS = 50, /**< Pause between exchanges; batches bursts. */
    PEER_RETRY_MS = 300,       /**< Pause after a failed exchange. */
    /** Changes of the time for which a machine has been silent are not sent while it is below this,
     * because readers compare it with ACKNOWLEDGEMENT_TIMEOUT_MS or more. */
    SUMMARY_SILENT_MS = 3500,
    SUMMARY_IDLE_ERROR_MS = 500, /**< Tolerated error of idle times, which are used in seconds. */
    PEER_SUMMARIES_GAP_MS = 400, /**< Interval between machine summaries without a new batch. */
    PEER_READ_BYTES = 4096,      /**< Bytes read at once: most messages in one call. */
    PEER_FRAME_MAX_BYTES = 1 << 20, /**< Largest message. Typical ones have 10 KB. */
    /** Most items in a message. An exchange by relay takes a second, and in that time 200 machines
     * have about this many starts and ends. */
    PEER_BATCH_COUNT = 128,
    /** Longest time that the answer to a peer heartbeat waits for new cancellations. */
    PEER_HEARTBEAT_HOLD_MS = 1000,
    PEER_HEARTBEAT_TIMEOUT_MS = 2500,   /**< Covers the hold time and a slow sibling's delay. */
    PEER_HEARTBEAT_GAP_MS = 500,        /**< Pause after a failed peer heartbeat. */
    PEER_HEARTBEAT_UPDATE_GAP_MS = 250, /**< Pause after a quick answer; batches cancellations. */
    RELAY_AFTER_MS = 2500, /**< The relay is used after this time without an exchange by socket. */
    RELAY_SOCKET_GAP_MS = 6000, /**< Interval between socket attempts while the relay is used. */
    RELAY_GAP_MS = 400,         /**< Interval between reads of the relay, to save requests. */
    RELAY_RESERVE_BYTES = 512,  /**< Kept free below value_kb in a page of a relayed message. */
    RELAY_PAGES_COUNT = 10      /**< Most pages of a message; four of 16 KiB fill a transaction. */
};

/* On a small share of a processor, the pauses between rounds are lengthened where that affects only
 * the quality of the result. What safety depends on is not slowed down: leases, known
 * cancellations, proof that attempts have ended, and deadlines after a stall. */

/** Share of a core at or above which no pause is lengthened. */
static const double FULL_SPEED_CORE_FRACTION = 0.09;
/** Highest factor of the pauses. With it, starts are still sent within a quarter of a second. */
static const double PAUSE_FACTOR_MAX = 2;

/** Placement. */
enum {
    JOB_ERRORS_BACKOFF_COUNT = 4, /**< Consecutive failures after which a job backs off. */
    /** Failures without a success in between after which a machine is quarantined, unless they
     * all concern one job that has finished no task. */
    MACHINE_ERRORS_QUARANTINE_COUNT = 3,
    JOB_BACKOFF_MS = 5000,      /**< First back-off of a job; doubles with each further failure. */
    JOB_BACKOFF_MAX_MS = 60000, /**< Longest back-off of a job: one start per minute. */
    JOB_REFUSED_BACKOFF_MS = 500, /**< Back-off after a start refused for lack of resources. */
    /** A job of this age that has finished no task has one task placed first (the starvation
     * minimum), because the largest job must start within four minutes. */
    STARVATION_AGE_MS = 120000,
    /** From this age on, some of the job's remaining tasks at a time are placed first. */
    LONG_STARVATION_AGE_MS = 240000,
    STARVING_TASKS_DIVISOR = 16, /**< Divides the job's tasks; the result plus 1 is placed first. */
    /** Longest claim of a machine for large work. Other work that fits on it must not wait 90 s. */
    CLAIM_MAX_MS = 60000,
    CLAIM_COOLDOWN_MS = 10000,    /**< After a claim, a machine accepts all work for this long. */
    CLAIMED_MACHINES_DIVISOR = 8, /**< Divides the machines; the result limits the claims. */
    CLAIMED_MACHINES_PER_JOB_COUNT = 16, /**< Most machines claimed for one job. */
    TEAMS_MASK_BITS = 64,     /**< Teams that a placement request may preempt, one bit each. */
    PREEMPT_MIN_RUN_MS = 2000 /**< A task is not preempted within this time after its start. */
};

/** Lowest fair-share weight of any team, as a fraction of the sum of all guarantees. */
static const double UNGUARANTEED_TEAM_FRACTION = 0.1;
/** Factor on the weight of a team without a guarantee while its next job has neither a deadline nor
 * an SLO. With 0.25, only half of a class of such jobs was served by the end of a day; with 0.5,
 * nearly all of it was. */
static const double BEST_EFFORT_WEIGHT_FRACTION = 0.5;
/** Cost of preempting a task, added to its lost run time: it waits and fetches its image again. */
static const double PREEMPT_RESTART_COST_S = 5.0;
/** Additional cost if the machine has not cached the image of the task to be placed. */
static const double PREEMPT_IMAGE_FETCH_COST_S = 30.0;

/** Scale out and scale in. */
enum {
    /** Timeout of a call. Scale-out may be slow, but a lost answer costs only a repeated call. */
    CLOUD_TIMEOUT_MS = 10000,
    CLOUD_LIST_GAP_MS = 2500, /**< Between reads of the machine list, which lags by seconds. */
    /** The interval between rounds is this divided by cloud.rps, a limit that the three calls of a
     * round share. */
    CLOUD_ROUND_MS = 1500,
    /** Interval between rounds of a controller that is not the leader and only publishes. */
    CLOUD_IDLE_GAP_MS = 1000,
    /** Shortest interval between rounds; with the lists, fewer than 5 calls per second. */
    CLOUD_GAP_MS = 300,
    MACHINE_TYPES_GAP_MS = 60000, /**< Between reads of the machine types; prices change slowly. */
    /** A type, zone and kind that the cloud refused is not requested again within this time. */
    CAPACITY_RETRY_MS = 12000,
    /** No scale-out in a zone for this long after all its machines were last found unresponsive. */
    UNREACHABLE_ZONE_MS = 60000,
    /** The machines of such a zone are not terminated for this long, three boot times. */
    UNREACHABLE_ZONE_WAIT_MS = 60000,
    /** A booting instance is terminated after this time plus three times its type's boot time. */
    BOOT_TIMEOUT_MS = 30000,
    DRAINS_PER_ROUND_COUNT = 8 /**< Most drains per round. Hundreds take seconds, not minutes. */
};

/** TUNABLE_SCALE_OUT_MAX_WAIT is not shortened below this for work that is near its deadline. Only
 * tasks that can run one after the other within the maximum wait share a machine. */
static const double SCALE_OUT_MAX_WAIT_MIN_S = 15.0;
/** Fraction of the cpus of the total demand. A machine with more cpus than this is added only if
 * the missing resources fill it. */
static const double SCALE_OUT_OVERSIZE_FRACTION = 0.6;
/** Fraction of a machine. No further machine is added for a smaller remainder of the demand. */
static const double SCALE_OUT_ROUNDING_FRACTION = 0.25;
/** Fraction of the price that is added for each existing machine of the same type, zone and kind,
 * to spread the risk. */
static const double SCALE_OUT_SPREAD_FRACTION = 0.02;
/** On-demand machines are drained if the pending work needs less time than
 * TUNABLE_ON_DEMAND_MAX_WAIT divided by this. That is less work than the amount at which scale-out
 * stops, so that machines are not added and removed repeatedly. */
static const double ON_DEMAND_SCALE_IN_DIVISOR = 2.0;
/** Fraction of a draining machine's cpus: if at least this much is free, its work that can
 * checkpoint is moved to other machines. */
static const double DRAIN_MIN_FREE_FRACTION = 0.5;

#endif
