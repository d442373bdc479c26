/** @file
 * Commits the changes of a placement round as one transaction.
 *
 * A transaction requires that view/number and every key that it writes have not changed. If its
 * result is unknown, the caller must advance the fencing token, so that the transaction can no
 * longer be applied, and then read all records again; no decision is based on an assumed result.
 */
#ifndef PEPPERPULLEY_RECORD_COMMIT_H
#define PEPPERPULLEY_RECORD_COMMIT_H

#include "controller/controller_type.h"
#include "core/leader/leader.h"
#include "core/partition/partition.h"
#include "io/http_client.h"

/** The contents of one transaction. */
typedef struct record_batch {
    GArray *progress;            /**< Array of progress_t, owned: the progress of jobs. NULL if this
                                    controller is not the leader. */
    partition_batch_t *machines; /**< The partition's records, owned. */
    kv_txn_usage_t usage;        /**< How much of the transaction both use. */
} record_batch_t;

/** Frees what the batch owns. */
void record_batch_clear(record_batch_t *batch);

/** The result of a commit. */
typedef enum {
    COMMIT_APPLIED,          /**< Executed; the changes are marked as durable. */
    COMMIT_UNDONE,           /**< Certainly not executed; the changes are due again. */
    COMMIT_VIEW_CHANGED,     /**< Not executed because there is a newer view; the changes are due
                                again. */
    COMMIT_CONDITION_FAILED, /**< Not executed because the loaded data differ from the store's; they
                                must be read again. */
    COMMIT_NO_ANSWER,        /**< May have been executed; the data must be read again. */
    COMMIT_INVALID           /**< Can't be executed; the data must be read again. */
} commit_result_t;

/** Returns the result's name for log events, a constant string. */
const char *commit_result_name(commit_result_t result);

/** Commits the batch (transfer none) and records the result in the loaded data. Acknowledges the
 * attempt results that became durable. After KV_NOT_EXECUTED it sleeps for PLACEMENT_TICK_MS.
 * @p view_revision: the revision of view/number when the batch was taken. Called by the placement
 * loop, without the lock. */
commit_result_t record_batch_commit(controller_t *controller, http_client_t *client,
                                    record_batch_t *batch, uint64_t view_revision);

#endif
