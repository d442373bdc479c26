/** @file
 * Job progress: the durable record of which tasks are done, and the batches that write it.
 *
 * The caller takes a batch, commits it to the key-value store without holding the lock, and then
 * records the batch as committed or undoes it. A job is part of at most one batch in flight at a
 * time. All functions are called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_JOB_PROGRESS_H
#define PEPPERPULLEY_JOB_PROGRESS_H

#include "core/leader/leader_type.h"

/** One entry of a progress batch: the completion of a job, or one chunk of its done_bits. */
typedef struct progress {
    char job[ID_BYTES];      /**< The job's id. */
    bool is_job_completion;  /**< Whether the entry is a job completion: all tasks are done, and the
                                transaction deletes jobs/ID and the chunks and writes ended/ID. */
    uint32_t done;           /**< Number of tasks done. */
    uint64_t job_revision;   /**< Revision of jobs/ID; the transaction requires it unchanged. */
    guint chunk;             /**< Index of the chunk; unused for a job completion. */
    uint64_t revision;       /**< Revision of the chunk's key, which the transaction requires
                                unchanged; 0: the key does not exist. */
    uint8_t *bits;           /**< The chunk's bits, owned; NULL for a job completion. */
    gsize bytes;             /**< Size of bits in bytes. */
    GArray *chunk_revisions; /**< For a job completion: array of uint64_t, owned, the revisions of
                              the chunks' keys, which the transaction deletes (0: the key does not
                              exist). Otherwise NULL. */
} progress_t;

/** The current contents of a transaction and its limits. */
typedef struct kv_txn_usage {
    guint ops;       /**< Number of operations so far. */
    guint max_ops;   /**< Maximum number of operations that the rate limit permits now. */
    guint burst_ops; /**< Value that max_ops reaches if nothing is written for a while. */
    gsize bytes;     /**< Total size in bytes of the values so far. */
    gsize max_bytes; /**< Maximum total size in bytes of the values. */
    bool has_blocked_completion; /**< Whether a job completion needs more operations than the rate
                             limit permits now. Nothing else may then be written, so that the
                             permitted number grows until the completion fits. */
} kv_txn_usage_t;

/** Marks tasks of a job as done according to a chunk that was read from the key-value store.
 * @p chunk: index of the chunk; @p bits: a bit for each task of the chunk, @p bytes long, copied;
 * @p revision: revision of the chunk's key. Does nothing if the job is not live. */
void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t revision);

/** Returns an empty batch: an array of progress_t that frees what its elements own. Transfer full.
 */
GArray *leader_progress_new(void);

/** Appends progress to @p batch within the limits of @p usage. Job completions come first. Unless a
 * completion has to wait for the rate limit, they are followed by the progress of unfinished jobs
 * that is at least @p min_age ms old at @p now, oldest first. Adds what was appended to @p usage
 * and sets its has_blocked_completion. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          kv_txn_usage_t *usage);

/** Records that the batch was committed under @p revision. Appends to @p acknowledged, an array of
 * partition_attempt_t, the attempts that the partitions may now remove from their records. */
void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *acknowledged);

/** Records that the transaction of the batch is known not to have been executed. Later batches take
 * its progress again. */
void leader_progress_undo(leader_t *leader, const GArray *batch);

#endif
