/* The loop of our partition, and of the leader: handles results, sends placement requests, commits,
 * acknowledges.
 *
 * Every transaction requires view/number unchanged and each key it writes as it was. One whose
 * outcome is unknown is followed by a new view number, under which it can no longer be applied, and
 * by reading everything again; so nothing is decided on a guess. */
#include <stdlib.h>
#include <string.h>

#include "controller/controller.h"
#include "controller/membership/view_store.h"
#include "controller/placement/command_dispatcher.h"
#include "controller/placement/partition_items.h"
#include "controller/placement/placement_loop.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"
#include "io/records.h"

typedef struct loop {
    controller_t *controller;
    http_client_t *client;
    msec_t fencing_token_advanced_at;
} placement_loop_t;

typedef struct listing {
    GArray *machines;
    GArray *done;
    GArray *jobs;
} listing_t;

static bool read_listing(placement_loop_t *loop, listing_t *listing, bool is_leader)
{
    kv_store_t *kv_store = &loop->controller->kv_store;
    rate_limiter_charge(&loop->controller->core_request_limiter, is_leader ? 3 : 2, clock_steady());
    /* Jobs last: a job listed then has its finished bits at hand, and one that is not, is over. */
    return kv_list(kv_store, loop->client, "machines/", listing->machines, NULL) == KV_OK &&
           (!is_leader || kv_list(kv_store, loop->client, "done/", listing->done, NULL) == KV_OK) &&
           kv_list(kv_store, loop->client, "jobs/", listing->jobs, NULL) == KV_OK;
}

static void load_jobs(controller_t *controller, const GArray *entries)
{
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        job_spec_t spec;
        if (!codec_parse_job(entry->value, true, &spec, NULL))
            continue;
        if (!g_hash_table_contains(controller->jobs.terminal, spec.id))
            leader_add_job(controller->placement.leader, &spec, entry->revision);
        job_spec_clear(&spec);
    }
}

static void load_done(controller_t *controller, const GArray *entries)
{
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        char **key_fields = g_strsplit(entry->key, "/", 3);
        gsize bytes = 0;
        uint8_t *bits = codec_parse_bits(entry->value, &bytes);
        if (g_strv_length(key_fields) == 3 && bits)
            leader_load_chunk(controller->placement.leader, key_fields[1],
                              (guint)g_ascii_strtoull(key_fields[2], NULL, DECIMAL), bits, bytes,
                              entry->revision);
        g_free(bits);
        g_strfreev(key_fields);
    }
}

static void load_machine(controller_t *controller, const machine_record_t *record, guint owner,
                         GHashTable *live_jobs)
{
    for (guint k = 0; k < record->entries->len; k++) {
        const record_entry_t *attempt = &g_array_index(record->entries, record_entry_t, k);
        if (controller->membership.is_leader)
            leader_load_attempt(controller->placement.leader, attempt, record->zone, owner);
        if (owner == controller->membership.own_index &&
            !g_hash_table_contains(live_jobs, attempt->job))
            partition_end_job(controller->placement.partition, attempt->job);
    }
}

static void load_record(controller_t *controller, const page_record_t *record,
                        GHashTable *live_jobs, msec_t now)
{
    if (record->machines->len == 0)
        return;
    const machine_record_t *first = &g_array_index(record->machines, machine_record_t, 0);
    guint owner = membership_owner_index(controller, first->machine, first->zone);
    if (owner == controller->membership.own_index)
        partition_load(controller->placement.partition, record, now);
    for (guint i = 0; i < record->machines->len; i++)
        load_machine(controller, &g_array_index(record->machines, machine_record_t, i), owner,
                     live_jobs);
}

/* False: a record can't be read. Taken for empty, its tasks would run twice: then nothing is
 * loaded. */
static bool load_machines(controller_t *controller, const listing_t *listing, msec_t now)
{
    bool valid = true;
    GHashTable *machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTable *live_jobs = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < listing->jobs->len; i++) {
        char *id = g_array_index(listing->jobs, kv_entry_t, i).key + strlen("jobs/");
        /* It may have been cancelled since it was listed, and its tasks must stop: that was told to
         * the data of the view before, and nobody tells it again. */
        if (!g_hash_table_contains(controller->jobs.terminal, id))
            g_hash_table_add(live_jobs, id);
    }
    for (guint i = 0; i < listing->machines->len; i++) {
        const kv_entry_t *entry = &g_array_index(listing->machines, kv_entry_t, i);
        page_record_t record;
        if (!codec_parse_record(entry->key + strlen("machines/"), entry->value, entry->revision,
                                &record)) {
            log_error("event=bad_record key=%s", entry->key);
            valid = false;
            continue;
        }
        /* Under two keys, its attempts would be taken off one only. */
        for (guint k = 0; k < record.machines->len; k++) {
            const char *id = g_array_index(record.machines, machine_record_t, k).machine;
            if (!g_hash_table_add(machines, g_strdup(id))) {
                log_error("event=bad_record key=%s machine=%s", entry->key, id);
                valid = false;
            }
        }
        if (valid)
            load_record(controller, &record, live_jobs, now);
        g_array_unref(record.machines);
    }
    g_hash_table_unref(live_jobs);
    g_hash_table_unref(machines);
    return valid;
}

static void load_all(controller_t *controller, const listing_t *listing, msec_t now)
{
    partition_t *earlier = controller->placement.partition;
    g_clear_pointer(&controller->placement.leader, leader_free);
    if (!controller->autoscaler)
        controller->autoscaler = autoscaler_new();
    controller->placement.partition = partition_new(
        controller->placement.machine_types, controller->settings->teams,
        (msec_t)(tunable_value(controller->policy, TUNABLE_RESERVATION_TTL) * MS_PER_S));
    if (earlier) {
        partition_inherit_drains(controller->placement.partition, earlier);
        partition_free(earlier);
    }
    partition_set_view(controller->placement.partition, controller->membership.view.number);
    partition_set_heartbeat_interval(controller->placement.partition,
                                     controller->settings->heartbeat_interval_s);
    if (controller->settings->pace > 1)
        partition_delay_probes(controller->placement.partition,
                               controller->settings->heartbeat_interval_s);
    if (controller->membership.is_leader) {
        controller->placement.leader =
            leader_new(controller->settings->teams, controller->settings->slos, controller->policy,
                       controller->membership.view.count);
        leader_set_view(controller->placement.leader, controller->membership.view.number);
        arc4random_buf(&controller->placement.leader->counts_epoch,
                       sizeof controller->placement.leader->counts_epoch);
        load_jobs(controller, listing->jobs);
        load_done(controller, listing->done);
    }
    controller->placement.is_loaded = load_machines(controller, listing, now);
    controller->placement.generation++;
    controller->placement.loaded_at = now;
    pthread_cond_broadcast(&controller->peers.item_available);
    pthread_cond_signal(&controller->peers.relay_ready);
    pthread_cond_signal(&controller->autoscaler_ready);
    command_dispatcher_notify(controller);
}

static void load(placement_loop_t *loop)
{
    controller_t *controller = loop->controller;
    pthread_mutex_lock(&controller->lock);
    uint64_t number = controller->membership.view.number;
    bool is_leader = controller->membership.is_leader;
    pthread_mutex_unlock(&controller->lock);
    listing_t listing = {kv_entries_new(), kv_entries_new(), kv_entries_new()};
    bool read = read_listing(loop, &listing, is_leader);
    pthread_mutex_lock(&controller->lock);
    if (read && controller->membership.view.number == number) {
        load_all(controller, &listing, clock_steady());
        log_info("event=records_loaded view=%" G_GUINT64_FORMAT
                 " is_leader=%d jobs=%u machines=%u attempts=%u",
                 number, is_leader, listing.jobs->len,
                 partition_machine_count(controller->placement.partition),
                 partition_attempt_count(controller->placement.partition));
    }
    pthread_mutex_unlock(&controller->lock);
    g_array_unref(listing.machines);
    g_array_unref(listing.done);
    g_array_unref(listing.jobs);
    if (!read)
        controller_sleep(ELECT_POLL_MS);
}

/* The data can't be trusted any more: a new number voids what is under way, then all read again. */
static void reload(placement_loop_t *loop, const char *why)
{
    controller_t *controller = loop->controller;
    metrics_count(controller->metrics, COUNT_RELOADS, 1);
    log_info("event=records_reload why=%s", why);
    pthread_mutex_lock(&controller->lock);
    controller->placement.is_loaded = false;
    controller->placement.generation++;
    pthread_mutex_unlock(&controller->lock);
    while (!view_advance_fencing_token(controller, loop->client))
        controller_sleep(ELECT_POLL_MS);
    loop->fencing_token_advanced_at = clock_steady();
}

static void take_results(controller_t *controller, msec_t now)
{
    const GArray *results = partition_results(controller->placement.partition);
    for (guint i = 0; i < results->len; i++) {
        const attempt_result_t *result = &g_array_index(results, attempt_result_t, i);
        if (controller->membership.is_leader)
            partition_items_handle_result(controller, controller->membership.own_index, result,
                                          now);
        else
            channel_push(controller->peers.leader_channel,
                         (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT, .result = *result});
    }
    partition_clear_results(controller->placement.partition);
}

static void send_placement_requests(controller_t *controller, msec_t now, guint most)
{
    leader_set_summaries(controller->placement.leader, controller->membership.own_index,
                         partition_items_summaries(controller, now));
    leader_set_cpus_being_preempted(controller->placement.leader, controller->membership.own_index,
                                    partition_items_cpus_being_preempted(controller));
    GArray *requests = leader_schedule(controller->placement.leader, now, clock_day(), most);
    for (guint i = 0; i < requests->len; i++) {
        const leader_request_t *made = &g_array_index(requests, leader_request_t, i);
        const placement_request_t *request = &made->request;
        task_ref_t ref = task_ref(request->job, request->task, request->attempt);
        channel_item_t item = {.kind = CHANNEL_PLACEMENT_REQUEST, .request = *request};
        item.request.types = g_strdupv(request->types);
        if (leader_is_outstanding(controller->placement.leader,
                                  &ref)) /* else of a gang that was withdrawn */
            partition_items_send(controller, made->partition, item);
        else
            g_strfreev(item.request.types);
    }
    g_array_unref(requests);
}

typedef struct batch {
    GArray *progress;
    partition_batch_t *machines;
    kv_txn_usage_t usage;
} batch_t;

static void committed(controller_t *controller, batch_t *batch, uint64_t revision)
{
    GArray *acknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    partition_batch_commit(controller->placement.partition, batch->machines, revision,
                           clock_steady());
    if (batch->progress)
        leader_progress_commit(controller->placement.leader, batch->progress, revision,
                               acknowledged);
    for (guint i = 0; i < acknowledged->len; i++) {
        const partition_attempt_t *entry = &g_array_index(acknowledged, partition_attempt_t, i);
        partition_items_send(controller, entry->partition,
                             (channel_item_t){.kind = CHANNEL_ACKNOWLEDGE, .ref = entry->ref});
    }
    for (guint i = 0; batch->progress && i < batch->progress->len; i++) {
        const progress_t *progress = &g_array_index(batch->progress, progress_t, i);
        if (!progress->is_job_end)
            continue;
        log_info("event=job_done job=%s tasks=%u", progress->job, progress->done);
        job_directory_remove(controller, progress->job);
    }
    g_array_unref(acknowledged);
    command_dispatcher_notify(controller);
}

static void undo(controller_t *controller, batch_t *batch)
{
    partition_batch_undo(controller->placement.partition, batch->machines);
    if (batch->progress)
        leader_progress_undo(controller->placement.leader, batch->progress);
}

/* What a failed condition says. Only jobs failing: they were cancelled. */
static const char *judge(controller_t *controller, const GPtrArray *failed)
{
    for (guint i = 0; i < failed->len; i++) {
        const char *key = g_ptr_array_index(failed, i);
        if (strcmp(key, "view/number") == 0)
            return "view_changed";
        if (!g_str_has_prefix(key, "jobs/"))
            return "condition_failed";
    }
    for (guint i = 0; i < failed->len; i++)
        job_directory_remove(controller, (char *)g_ptr_array_index(failed, i) + strlen("jobs/"));
    return failed->len ? NULL : "condition_failed";
}

static void commit(placement_loop_t *loop, batch_t *batch, uint64_t view_revision)
{
    controller_t *controller = loop->controller;
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    uint64_t revision = 0;
    const char *broken = NULL;
    kv_txn_t txn = records_commit(batch->progress, batch->machines, view_revision);
    msec_t now = clock_steady();
    rate_limiter_charge(&controller->core_request_limiter, 1, now);
    rate_limiter_charge(&controller->core_write_limiter, batch->usage.ops, now);
    kv_result_t result =
        kv_commit(&controller->kv_store, loop->client, &txn, KV_TIMEOUT_MS, &revision, failed);
    kv_txn_free(&txn);
    metrics_time(controller->metrics, TIME_COMMIT, clock_steady() - now);
    metrics_count(controller->metrics, result == KV_OK ? COUNT_COMMITS : COUNT_COMMITS_FAILED, 1);
    pthread_mutex_lock(&controller->lock);
    switch (result) {
    case KV_OK:
        committed(controller, batch, revision);
        break;
    case KV_CONFLICT:
        undo(controller, batch);
        broken = judge(controller, failed);
        break;
    case KV_NOT_EXECUTED:
        undo(controller, batch);
        break;
    default:
        broken = result == KV_INDETERMINATE ? "no_answer" : "invalid";
    }
    pthread_mutex_unlock(&controller->lock);
    g_ptr_array_unref(failed);
    if (result == KV_NOT_EXECUTED)
        controller_sleep(PLACEMENT_TICK_MS);
    if (result == KV_INVALID)
        log_error("event=invalid_transaction ops=%u", batch->usage.ops);
    if (broken && strcmp(broken, "view_changed") == 0)
        view_refresh(controller, loop->client);
    else if (broken)
        reload(loop, broken);
}

/* One round with the lock held; returns whether there is something to commit. */
static bool tick(controller_t *controller, batch_t *batch, msec_t now)
{
    partition_tick(controller->placement.partition, now);
    take_results(controller, now);
    double left = rate_limiter_left(&controller->core_write_limiter, now);
    guint most = left < 1 ? 0 : MIN((guint)left, controller->settings->txn_ops);
    guint full = MIN((guint)controller->core_write_limiter.rate, controller->settings->txn_ops);
    batch->usage =
        (kv_txn_usage_t){.max_ops = most, .full_ops = full, .max_bytes = KV_TXN_VALUES_BYTES / 2};
    if (controller->membership.is_leader) {
        send_placement_requests(
            controller, now,
            (guint)tunable_value(controller->policy, TUNABLE_PLACEMENT_REQUESTS_PER_ROUND));
        batch->progress = leader_progress_new();
        leader_progress_take(controller->placement.leader, now, PROGRESS_LATE_MS, batch->progress,
                             &batch->usage);
    }
    guint conditions = 4 * controller->settings->txn_ops;
    /* The view, and two for each key written. */
    guint spoken_for = 1 + 2 * MAX(most, batch->usage.ops);
    /* Records that took each write as the rate limit gives it would leave none for the end of a
     * job, which takes several at once. */
    partition_limits_t limits = {
        .ops = batch->usage.has_waiting_end ? 0 : most - MIN(most, batch->usage.ops),
        .jobs = conditions - MIN(conditions, spoken_for),
        .value_max = MIN((gsize)(controller->settings->value_kb * BYTES_PER_KIB),
                         (gsize)KV_TXN_VALUES_BYTES / 3),
        .bytes = KV_TXN_VALUES_BYTES - batch->usage.bytes};
    batch->machines = partition_batch_take(controller->placement.partition, &limits, now);
    batch->usage.ops += batch->machines->records->len;
    batch->usage.bytes += batch->machines->bytes;
    batch->usage.max_bytes = KV_TXN_VALUES_BYTES;
    if (controller->membership.is_leader)
        leader_progress_take(controller->placement.leader, now, PROGRESS_GAP_MS, batch->progress,
                             &batch->usage);
    take_results(controller, now);
    return batch->usage.ops > 0;
}

void *placement_loop_run(void *data)
{
    placement_loop_t loop = {.controller = data, .client = http_client_new(2)};
    controller_t *controller = loop.controller;
    for (;;) {
        pthread_mutex_lock(&controller->lock);
        controller_wait(controller, &controller->placement.ready,
                        controller_paced(controller, PLACEMENT_TICK_MS));
        if (!controller->placement.is_loaded) {
            bool member = controller->membership.own_index != G_MAXUINT;
            pthread_mutex_unlock(&controller->lock);
            if (member)
                load(&loop);
            continue;
        }
        msec_t now = clock_steady();
        stall_detector_observe(controller, now);
        batch_t batch = {0};
        bool changes = tick(controller, &batch, now);
        bool wants_token = partition_needs_new_fencing_token(controller->placement.partition) &&
                           now - loop.fencing_token_advanced_at > FENCING_TOKEN_GAP_MS;
        uint64_t revision = controller->membership.view.revision;
        pthread_mutex_unlock(&controller->lock);
        if (changes)
            commit(&loop, &batch, revision);
        if (batch.progress)
            g_array_unref(batch.progress);
        partition_batch_free(batch.machines);
        if (wants_token && view_advance_fencing_token(controller, loop.client))
            loop.fencing_token_advanced_at = clock_steady();
        controller_sleep(controller_paced(controller, COMMIT_GAP_MS));
    }
    return NULL;
}
