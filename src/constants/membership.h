/** @file
 * Views, election, membership, connectivity and known cancellations. Included through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_MEMBERSHIP_H
#define PEPPERPULLEY_CONSTANTS_MEMBERSHIP_H

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
    /** Shortest interval between views that only provide new fencing tokens or attempt numbers. */
    VIEW_ADVANCE_GAP_MS = 15000,
    /** How long a member that its workers do not reach is excluded and owns no machines. */
    EXCLUSION_MS = 90000
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

#endif
