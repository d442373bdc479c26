/** @file
 * Batches: the changed records that one transaction writes.
 *
 * partition_batch_take() is followed by partition_batch_commit() or partition_batch_undo(), and
 * then by partition_batch_free(). Between them the partition may change; there is one batch at a
 * time. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PARTITION_BATCH_H
#define PEPPERPULLEY_PARTITION_BATCH_H

#include "core/partition/page_record.h"
#include "core/partition/partition_type.h"
#include "core/types.h"

/** Records to write, and the jobs that must still exist. */
typedef struct partition_batch {
    GArray *records;  /**< page_record_t; owned. One without machines is a deletion. */
    GHashTable *jobs; /**< Id (owned) to revision (GSIZE_TO_POINTER) of each job of which a start is
                         recorded. The transaction requires the revisions, so that no start is
                         recorded after its job's end. */
    gsize bytes;      /**< Estimated size of all records. */
} partition_batch_t;

/** How much a batch may hold. */
typedef struct partition_limits {
    guint ops;       /**< Records. */
    guint jobs;      /**< Conditions on jobs. */
    gsize value_max; /**< Bytes of one record. */
    gsize bytes;     /**< Bytes of all records, if there is more than one. */
} partition_limits_t;

/** Takes the records that are due at @p now, as far as @p limits go (transfer full; may be empty).
 */
partition_batch_t *partition_batch_take(partition_t *partition, const partition_limits_t *limits,
                                        msec_t now);

/** Records that the batch was committed, under @p revision. Its starts may then be sent; results of
 * attempts that left the record are added to partition_results(). */
void partition_batch_commit(partition_t *partition, partition_batch_t *batch, uint64_t revision,
                            msec_t now);

/** Records that the batch was certainly not committed: its pages are due again. */
void partition_batch_undo(partition_t *partition, partition_batch_t *batch);

/** Frees the batch. */
void partition_batch_free(partition_batch_t *batch);

#endif
