/** @file
 * Users' requests, connections, threads and memory. Included through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_REQUESTS_H
#define PEPPERPULLEY_CONSTANTS_REQUESTS_H

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

#endif
