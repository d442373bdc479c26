/* Commits the changes of a placement round and handles the result. */
#include "controller/placement/record_commit.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/placement/command_dispatcher.h"
#include "controller/placement/partition_items.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/records.h"

void record_batch_clear(record_batch_t *batch)
{
    g_clear_pointer(&batch->progress, g_array_unref);
    g_clear_pointer(&batch->machines, partition_batch_free);
}

const char *commit_result_name(commit_result_t result)
{
    static const char *const names[] = {
        [COMMIT_APPLIED] = "applied",           [COMMIT_UNDONE] = "undone",
        [COMMIT_VIEW_CHANGED] = "view_changed", [COMMIT_CONDITION_FAILED] = "condition_failed",
        [COMMIT_NO_ANSWER] = "no_answer",       [COMMIT_INVALID] = "invalid",
    };
    return names[result];
}

/* Acknowledges durable attempt results to the partitions. acknowledged: array of
 * partition_attempt_t. */
static void send_acknowledgements_locked(controller_t *controller, const GArray *acknowledged)
{
    for (guint i = 0; i < acknowledged->len; i++) {
        const partition_attempt_t *attempt = &g_array_index(acknowledged, partition_attempt_t, i);
        partition_items_send(controller, attempt->partition,
                             (channel_item_t){.kind = CHANNEL_ACKNOWLEDGE, .ref = attempt->ref});
    }
}

/* progress: array of progress_t. */
static void remove_done_jobs_locked(controller_t *controller, const GArray *progress)
{
    for (guint i = 0; i < progress->len; i++) {
        const progress_t *entry = &g_array_index(progress, progress_t, i);
        if (!entry->is_job_completion)
            continue;
        log_info("event=job_done job=%s tasks=%u", entry->job, entry->done);
        job_directory_remove(controller, entry->job);
    }
}

static void record_progress_locked(controller_t *controller, const GArray *progress,
                                   uint64_t revision)
{
    g_autoptr(GArray) acknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    leader_progress_commit(controller->placement.leader, progress, revision, acknowledged);
    send_acknowledgements_locked(controller, acknowledged);
    remove_done_jobs_locked(controller, progress);
}

static void record_applied_locked(controller_t *controller, record_batch_t *batch,
                                  uint64_t revision)
{
    partition_batch_commit(controller->placement.partition, batch->machines, revision,
                           clock_steady());
    if (batch->progress)
        record_progress_locked(controller, batch->progress, revision);
    command_dispatcher_notify(controller);
}

static void undo_batch_locked(controller_t *controller, record_batch_t *batch)
{
    partition_batch_undo(controller->placement.partition, batch->machines);
    if (batch->progress)
        leader_progress_undo(controller->placement.leader, batch->progress);
}

/* Returns the commit result that follows from the failed conditions. failed_keys: array of char *,
 * in the order of the conditions. */
static commit_result_t classify_conflict_locked(controller_t *controller,
                                                const GPtrArray *failed_keys)
{
    for (guint i = 0; i < failed_keys->len; i++) {
        const char *key = g_ptr_array_index(failed_keys, i);
        if (strcmp(key, "view/number") == 0)
            return COMMIT_VIEW_CHANGED;
        if (!g_str_has_prefix(key, "jobs/"))
            return COMMIT_CONDITION_FAILED;
    }
    if (failed_keys->len == 0)
        return COMMIT_CONDITION_FAILED;
    /* Only conditions on jobs failed: these jobs were cancelled. */
    for (guint i = 0; i < failed_keys->len; i++) {
        const char *key = g_ptr_array_index(failed_keys, i);
        job_directory_remove(controller, key + strlen("jobs/"));
    }
    return COMMIT_UNDONE;
}

static commit_result_t handle_kv_result_locked(controller_t *controller, record_batch_t *batch,
                                               kv_result_t result, uint64_t revision,
                                               const GPtrArray *failed_keys)
{
    switch (result) {
    case KV_OK:
        record_applied_locked(controller, batch, revision);
        return COMMIT_APPLIED;
    case KV_CONFLICT:
        undo_batch_locked(controller, batch);
        return classify_conflict_locked(controller, failed_keys);
    case KV_NOT_EXECUTED:
        undo_batch_locked(controller, batch);
        return COMMIT_UNDONE;
    case KV_INDETERMINATE:
        return COMMIT_NO_ANSWER;
    case KV_NOT_FOUND:
    case KV_COMPACTED:
    case KV_INVALID:
        break;
    }
    return COMMIT_INVALID;
}

static kv_result_t send_transaction(controller_t *controller, http_client_t *client,
                                    const record_batch_t *batch, uint64_t view_revision,
                                    uint64_t *revision, GPtrArray *failed_keys)
{
    kv_txn_t txn = records_build_commit(batch->progress, batch->machines, view_revision);
    msec_t started_at = clock_steady();
    rate_limiter_charge(&controller->loop_request_limiter, 1, started_at);
    rate_limiter_charge(&controller->loop_write_limiter, batch->usage.ops, started_at);
    kv_result_t result =
        kv_commit(&controller->kv_store, client, &txn, KV_TIMEOUT_MS, revision, failed_keys);
    kv_txn_free(&txn);
    metrics_time(controller->metrics, TIME_COMMIT, clock_steady() - started_at);
    metrics_count(controller->metrics, result == KV_OK ? COUNT_COMMITS : COUNT_COMMITS_FAILED, 1);
    return result;
}

commit_result_t record_batch_commit(controller_t *controller, http_client_t *client,
                                    record_batch_t *batch, uint64_t view_revision)
{
    g_autoptr(GPtrArray) failed_keys = g_ptr_array_new_with_free_func(g_free); /* char *, owned */
    uint64_t revision = 0;
    kv_result_t result =
        send_transaction(controller, client, batch, view_revision, &revision, failed_keys);
    pthread_mutex_lock(&controller->lock);
    commit_result_t commit_result =
        handle_kv_result_locked(controller, batch, result, revision, failed_keys);
    pthread_mutex_unlock(&controller->lock);
    log_debug("event=commit_answered result=%s ops=%u view_revision=%" G_GUINT64_FORMAT
              " revision=%" G_GUINT64_FORMAT,
              commit_result_name(commit_result), batch->usage.ops, view_revision, revision);
    if (result == KV_NOT_EXECUTED)
        controller_sleep(PLACEMENT_TICK_MS);
    if (result == KV_INVALID)
        log_error("event=invalid_transaction ops=%u", batch->usage.ops);
    return commit_result;
}
