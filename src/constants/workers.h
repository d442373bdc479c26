/** @file
 * Worker heartbeats, pushed commands and redirection. Included through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_WORKERS_H
#define PEPPERPULLEY_CONSTANTS_WORKERS_H

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
    /** A machine whose worker lists this many exited attempts that are no longer recorded gets no
     * starts, since a heartbeat of 64 KiB also has to list the recorded ones. */
    EXITED_ATTEMPTS_MAX_COUNT = 128,
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

#endif
