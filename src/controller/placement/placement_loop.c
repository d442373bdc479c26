/* The placement loop. Each round handles attempt results, sends placement requests, commits the
 * changes and acknowledges them. */
#include "controller/placement/placement_loop.h"

#include "controller/controller.h"
#include "controller/membership/view_store.h"
#include "controller/placement/partition_items.h"
#include "controller/placement/record_commit.h"
#include "controller/placement/record_loader.h"
#include "io/clock.h"
#include "io/log.h"

/* Data that only the loop's thread uses. */
typedef struct placement_loop {
    controller_t *controller;
    http_client_t *client;   /* owned; to the key-value store */
    msec_t view_advanced_at; /* when this loop last advanced the view's number; 0: never */
} placement_loop_t;

/* What a round prepares under the lock and carries out without it. */
typedef struct placement_round {
    record_batch_t batch;
    bool has_changes;       /* whether there is anything to commit */
    bool needs_new_view;    /* whether the view's fencing tokens or attempt numbers are used
                               up */
    uint64_t view_revision; /* revision of view/number when the batch was taken */
} placement_round_t;

/* Passes the partition's attempt results on to the leader. */
static void forward_results_locked(controller_t *controller, msec_t now)
{
    partition_t *partition = controller->placement.partition;
    const GArray *results = partition_results(partition); /* of attempt_result_t */
    for (guint i = 0; i < results->len; i++) {
        const attempt_result_t *result = &g_array_index(results, attempt_result_t, i);
        if (controller->membership.is_leader)
            partition_items_handle_result(controller, controller->membership.own_index, result,
                                          now);
        else
            channel_push(controller->peers.leader_channel,
                         (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT, .result = *result});
    }
    partition_clear_results(partition);
}

static void send_placement_request_locked(controller_t *controller, const leader_request_t *routed)
{
    const placement_request_t *request = &routed->request;
    task_ref_t ref = task_ref(request->job, request->task, request->attempt);
    /* The request is no longer outstanding if its gang was withdrawn meanwhile. */
    if (!leader_is_outstanding(controller->placement.leader, &ref))
        return;
    channel_item_t item = {.kind = CHANNEL_PLACEMENT_REQUEST, .request = *request};
    item.request.types = g_strdupv(request->types);
    partition_items_send(controller, routed->partition, item);
}

/* Lets the leader choose a partition for each task that is due, and sends the requests. */
static void send_placement_requests_locked(controller_t *controller, msec_t now)
{
    leader_t *leader = controller->placement.leader;
    guint own_index = controller->membership.own_index;
    guint max_requests =
        (guint)tunable_value(controller->policy, TUNABLE_PLACEMENT_REQUESTS_PER_ROUND);
    leader_set_summaries(leader, own_index, partition_items_summaries(controller, now));
    leader_set_cpus_being_preempted(leader, own_index,
                                    partition_items_cpus_being_preempted(controller));
    /* Array of leader_request_t. */
    g_autoptr(GArray) requests = leader_schedule(leader, now, clock_realtime(), max_requests);
    for (guint i = 0; i < requests->len; i++)
        send_placement_request_locked(controller, &g_array_index(requests, leader_request_t, i));
}

/* Returns the limits for the leader's progress in the transaction: the writes that the rate limit
 * permits now, and half of the bytes. */
static kv_txn_usage_t progress_limits(controller_t *controller, msec_t now)
{
    guint txn_ops = controller->settings->txn_ops;
    double left = rate_limiter_available(&controller->loop_write_limiter, now);
    return (kv_txn_usage_t){.max_ops = left < 1 ? 0 : MIN((guint)left, txn_ops),
                            .burst_ops = MIN((guint)controller->loop_write_limiter.rate, txn_ops),
                            .max_bytes = KV_TXN_VALUES_BYTES / 2};
}

/* Returns how much of the transaction is left for the partition's records. max_ops: the writes that
 * the rate limit permits in this round. */
static partition_limits_t record_limits(const settings_t *settings, const kv_txn_usage_t *usage,
                                        guint max_ops)
{
    guint max_conditions = 4 * settings->txn_ops;
    /* One condition for the view, and two for each key written. */
    guint reserved_conditions = 1 + 2 * MAX(max_ops, usage->ops);
    gsize settings_value_max = (gsize)(settings->value_kb * BYTES_PER_KIB);
    return (partition_limits_t){
        /* If the records used every write as soon as the rate limit permits it, the writes would
         * never suffice for the end of a job, which needs several at once. */
        .ops = usage->has_blocked_completion ? 0 : max_ops - MIN(max_ops, usage->ops),
        .jobs = max_conditions - MIN(max_conditions, reserved_conditions),
        .value_max = MIN(settings_value_max, (gsize)KV_TXN_VALUES_BYTES / 3),
        .bytes = KV_TXN_VALUES_BYTES - usage->bytes};
}

/* Adds the leader's progress that has waited for at least min_age_ms to the batch. */
static void take_progress_locked(controller_t *controller, record_batch_t *batch, msec_t now,
                                 msec_t min_age_ms)
{
    leader_progress_take(controller->placement.leader, now, min_age_ms, batch->progress,
                         &batch->usage);
}

/* Adds the partition's changed records to the batch. */
static void take_records_locked(controller_t *controller, record_batch_t *batch, msec_t now,
                                guint max_ops)
{
    partition_limits_t limits = record_limits(controller->settings, &batch->usage, max_ops);
    batch->machines = partition_batch_take(controller->placement.partition, &limits, now);
    batch->usage.ops += batch->machines->records->len;
    batch->usage.bytes += batch->machines->bytes;
}

/* Fills the batch: first with progress that is overdue, then with the partition's records, then
 * with other progress if there is space left. */
static void take_batch_locked(controller_t *controller, record_batch_t *batch, msec_t now)
{
    bool is_leader = controller->membership.is_leader;
    batch->usage = progress_limits(controller, now);
    guint max_ops = batch->usage.max_ops;
    if (is_leader) {
        send_placement_requests_locked(controller, now);
        batch->progress = leader_progress_new();
        take_progress_locked(controller, batch, now, PROGRESS_OVERDUE_MS);
    }
    take_records_locked(controller, batch, now, max_ops);
    batch->usage.max_bytes = KV_TXN_VALUES_BYTES;
    if (is_leader)
        take_progress_locked(controller, batch, now, PROGRESS_BATCH_DELAY_MS);
}

static bool needs_new_view_locked(const controller_t *controller)
{
    return partition_needs_new_view(controller->placement.partition) ||
           (controller->membership.is_leader &&
            leader_needs_new_view(controller->placement.leader));
}

static void prepare_round_locked(placement_loop_t *loop, placement_round_t *round)
{
    controller_t *controller = loop->controller;
    msec_t now = clock_steady();
    stall_detector_observe(controller, now);
    partition_tick(controller->placement.partition, now);
    forward_results_locked(controller, now);
    take_batch_locked(controller, &round->batch, now);
    forward_results_locked(controller, now);
    round->has_changes = round->batch.usage.ops > 0;
    round->needs_new_view =
        needs_new_view_locked(controller) && now - loop->view_advanced_at > VIEW_ADVANCE_GAP_MS;
    round->view_revision = controller->membership.view.revision;
}

/* Discards the loaded data after a commit whose result is unknown or that contradicts them.
 * Advances the view's number, so that a transaction in transit can no longer be applied; the next
 * round then reads all records again. */
static void discard_loaded_data(placement_loop_t *loop, commit_result_t commit_result)
{
    controller_t *controller = loop->controller;
    metrics_count(controller->metrics, COUNT_RELOADS, 1);
    log_info("event=records_reload why=%s", commit_result_name(commit_result));
    pthread_mutex_lock(&controller->lock);
    controller->placement.is_loaded = false;
    controller->placement.generation++;
    pthread_mutex_unlock(&controller->lock);
    while (!view_advance_number(controller, loop->client))
        controller_sleep(KV_RETRY_DELAY_MS);
    loop->view_advanced_at = clock_steady();
}

static void commit_round(placement_loop_t *loop, placement_round_t *round)
{
    commit_result_t commit_result =
        record_batch_commit(loop->controller, loop->client, &round->batch, round->view_revision);
    switch (commit_result) {
    case COMMIT_APPLIED:
    case COMMIT_UNDONE:
        break;
    case COMMIT_VIEW_CHANGED:
        view_refresh(loop->controller, loop->client);
        break;
    case COMMIT_CONDITION_FAILED:
    case COMMIT_NO_ANSWER:
    case COMMIT_INVALID:
        discard_loaded_data(loop, commit_result);
        break;
    }
}

/* Commits what the round prepared and advances the view's number if necessary, then pauses. */
static void finish_round(placement_loop_t *loop, placement_round_t *round)
{
    controller_t *controller = loop->controller;
    if (round->has_changes)
        commit_round(loop, round);
    record_batch_clear(&round->batch);
    if (round->needs_new_view && view_advance_number(controller, loop->client))
        loop->view_advanced_at = clock_steady();
    controller_sleep(controller_scale_pause(controller, COMMIT_GAP_MS));
}

/* Waits until there may be something to do, then runs a round. If the records are not loaded, loads
 * them instead. */
static void run_round(placement_loop_t *loop)
{
    controller_t *controller = loop->controller;
    placement_round_t round = {0};
    pthread_mutex_lock(&controller->lock);
    controller_wait(controller, &controller->placement.ready,
                    controller_scale_pause(controller, PLACEMENT_TICK_MS));
    bool is_loaded = controller->placement.is_loaded;
    bool is_member = controller->membership.own_index != G_MAXUINT;
    if (is_loaded)
        prepare_round_locked(loop, &round);
    pthread_mutex_unlock(&controller->lock);
    if (is_loaded)
        finish_round(loop, &round);
    else if (is_member)
        record_loader_load(controller, loop->client);
}

void *placement_loop_run(void *data)
{
    placement_loop_t loop = {.controller = data, .client = http_client_new(2)};
    for (;;)
        run_round(&loop);
    return NULL;
}
