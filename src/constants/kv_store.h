/** @file
 * Records in the key-value store, and the rate limits of requests to it. Included through
 * constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_KV_STORE_H
#define PEPPERPULLEY_CONSTANTS_KV_STORE_H

/** Records in the key-value store. */
enum {
    KEYS_PAGE_COUNT = 500, /**< Keys per list request: half of the store's limit, to save memory. */
    CHUNK_BITS = 16384,    /**< Tasks in one progress key: 2 KiB, or 2.7 KiB as base64. */
    /** An attempt number is the view number shifted left by this many bits, plus a counter of the
     * view's attempts, of which there may be 16 million. The number stays below 2^53. After half
     * of them, the leader advances the view number. */
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

#endif
