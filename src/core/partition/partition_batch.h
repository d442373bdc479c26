/** @file
 * Batches: the changed page records that one transaction writes.
 *
 * The caller follows partition_batch_take() with partition_batch_commit() or
 * partition_batch_undo(), and then with partition_batch_free(). The partition may change in
 * between. There is at most one batch at a time. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PARTITION_BATCH_H
#define PEPPERPULLEY_PARTITION_BATCH_H

#include "core/partition/page_record.h"
#include "core/partition/partition_type.h"
#include "core/types.h"

/** The records to write, and the jobs whose keys the transaction requires unchanged. */
typedef struct partition_batch {
    GArray *records;  /**< page_record_t; owned. A record without machines deletes its key. */
    GHashTable *jobs; /**< Id (owned) to revision (GSIZE_TO_POINTER) of each job of which the batch
                         records a start. The transaction requires these revisions, so that no start
                         is recorded after the end of its job. */
    gsize bytes;      /**< Estimated size of all records. */
} partition_batch_t;

/** The upper limits of one batch. */
typedef struct partition_limits {
    guint ops;       /**< Number of records. */
    guint jobs;      /**< Number of conditions on jobs. */
    gsize value_max; /**< Bytes of one record. */
    gsize bytes;     /**< Bytes of all records together; the first page may exceed it. */
} partition_limits_t;

/** Takes the records that are due at @p now, up to @p limits (transfer full). The batch may be
 * empty. */
partition_batch_t *partition_batch_take(partition_t *partition, const partition_limits_t *limits,
                                        msec_t now);

/** Records that the batch was committed with @p revision. Its starts may now be sent, and the
 * results of attempts that left the record are added to partition_results(). */
void partition_batch_commit(partition_t *partition, partition_batch_t *batch, uint64_t revision,
                            msec_t now);

/** Records that the batch was definitely not committed. Its pages are due again. */
void partition_batch_undo(partition_t *partition, partition_batch_t *batch);

/** Frees the batch. */
void partition_batch_free(partition_batch_t *batch);

#endif
