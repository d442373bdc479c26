/** @file
 * Commits what a placement round changed, as one transaction.
 *
 * A transaction requires view/number unchanged, and each key that it writes as it was. One whose
 * result is unknown must be followed by a new fencing token, under which it can no longer be
 * applied, and by reading all records again; so nothing is decided on a guess.
 */
#ifndef PEPPERPULLEY_RECORD_COMMIT_H
#define PEPPERPULLEY_RECORD_COMMIT_H

#include "controller/controller_type.h"
#include "core/leader/leader.h"
#include "core/partition/partition.h"
#include "io/http_client.h"

/** What one transaction writes. */
typedef struct record_batch {
    GArray *progress;            /**< Of progress_t, owned: the leader's progress of jobs; NULL at
                                    others. */
    partition_batch_t *machines; /**< Owned: the partition's records. */
    kv_txn_usage_t usage;        /**< What both take of the transaction. */
} record_batch_t;

/** Frees what the batch holds. */
void record_batch_clear(record_batch_t *batch);

/** What became of a commit. */
typedef enum {
    COMMIT_APPLIED,          /**< Committed; the data are marked as durable. */
    COMMIT_UNDONE,           /**< Certainly not executed; what it took is due again. */
    COMMIT_VIEW_CHANGED,     /**< Not executed and undone: there is a newer view. */
    COMMIT_CONDITION_FAILED, /**< Not executed: the data differ from the store's, so they have to be
                                read again. */
    COMMIT_NO_ANSWER,        /**< May have been executed: the data have to be read again. */
    COMMIT_INVALID           /**< Can't be executed: the data have to be read again. */
} commit_result_t;

/** Returns the result's name in log events: a constant string. */
const char *commit_result_name(commit_result_t result);

/** Commits the batch, transfer none, and records the result in the loaded data; acknowledges what
 * became durable. After KV_NOT_EXECUTED it sleeps a moment. @p view_revision: the revision of
 * view/number under which the batch was taken. Called without the lock, by the placement loop. */
commit_result_t record_batch_commit(controller_t *controller, http_client_t *client,
                                    record_batch_t *batch, uint64_t view_revision);

#endif
