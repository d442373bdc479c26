/** @file
 * Job progress: the durable record of which tasks are done, and the batches that write it.
 *
 * A batch is taken, committed to the key-value store by the caller without the lock, and then
 * recorded as committed or undone. A job has one batch in flight at a time. All functions are
 * called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_JOB_PROGRESS_H
#define PEPPERPULLEY_JOB_PROGRESS_H

#include "core/leader/leader_type.h"

/** One entry of a progress batch: the end of a job, or a chunk of its done bits. */
typedef struct progress {
    char job[ID_BYTES];    /**< The job's id. */
    bool is_job_end;       /**< All tasks are done: jobs/{id} and the chunks are deleted, ended/{id}
                              is written. */
    uint32_t done;         /**< Tasks done. */
    uint64_t job_revision; /**< Revision of jobs/{id}, required unchanged. */
    guint chunk;           /**< Index of the chunk; unused for an end. */
    uint64_t revision;     /**< Revision of the chunk's key, required unchanged; 0: no key. */
    uint8_t *bits;         /**< The chunk's bits, owned; NULL for an end. */
    gsize bytes;           /**< Size of bits in bytes. */
    GArray *old_revisions; /**< For an end: array of uint64_t, owned, the revisions of the chunks'
                              keys, which are deleted; else NULL. */
} progress_t;

/** What a transaction holds so far, and how much it may hold. */
typedef struct kv_txn_usage {
    guint ops;            /**< Operations taken. */
    guint max_ops;        /**< Most operations that the rate limit leaves now. */
    guint full_ops;       /**< What max_ops grows to while nothing is written. */
    gsize bytes;          /**< Bytes of the values taken. */
    gsize max_bytes;      /**< Most bytes of values. */
    bool has_waiting_end; /**< The end of a job needs more operations than there are yet: nothing
                             else is to use them. */
} kv_txn_usage_t;

/** Loads a chunk of a job's done bits from the key-value store. @p chunk: its index; @p bits: one
 * for each of its tasks, @p bytes long, copied; @p revision: of its key. Ignored for a job that is
 * not live. */
void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t revision);

/** Returns an empty batch: an array of progress_t that frees what its elements own. Transfer full.
 */
GArray *leader_progress_new(void);

/** Appends to @p batch, within the limits of @p usage, the ends of jobs; then, unless an end waits
 * for operations, the progress of jobs that has waited for at least @p min_age ms, oldest first.
 * Adds what was taken to @p usage. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          kv_txn_usage_t *usage);

/** Records that the batch was committed under @p revision. Appends to @p acknowledged, an array of
 * partition_attempt_t, the attempts that the partitions may now drop from their records. */
void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *acknowledged);

/** Records that the batch was certainly not executed: its progress is taken again. */
void leader_progress_undo(leader_t *leader, const GArray *batch);

#endif
