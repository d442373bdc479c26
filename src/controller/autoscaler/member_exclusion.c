/* Controllers that their workers can't reach: what each controller retains of the workers of others
 * is published, and the leader excludes members by it. */
#include "controller/autoscaler/autoscaler_loop_internal.h"

#include "io/clock.h"
#include "io/log.h"

GHashTable *cloud_read_retained(cloud_t *cloud)
{
    GHashTable *retained = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GArray *entries = kv_entries_new();
    rate_limiter_charge(&cloud->controller->core_request_limiter, 1, clock_steady());
    kv_result_t result =
        kv_list(&cloud->controller->kv_store, cloud->client, "kept/", entries, NULL);
    int64_t day = clock_day();
    for (guint i = 0; result == KV_OK && i < entries->len; i++) {
        const json_t *value = g_array_index(entries, kv_entry_t, i).value;
        if (day - json_integer_value(json_object_get(value, "At")) > RETAINED_FRESH_MS)
            continue;
        size_t k;
        json_t *name;
        json_array_foreach(json_object_get(value, "Machines"), k, name) if (json_is_string(name))
            g_hash_table_add(retained, g_strdup(json_string_value(name)));
    }
    g_array_unref(entries);
    if (result != KV_OK) {
        g_hash_table_unref(retained);
        return NULL;
    }
    /* Our own list there is seconds old. */
    pthread_mutex_lock(&cloud->controller->lock);
    redirection_add_retained(cloud->controller->membership.redirection, clock_steady(), retained);
    pthread_mutex_unlock(&cloud->controller->lock);
    return retained;
}

msec_t cloud_lost_after(const controller_t *controller)
{
    return MAX(LOST_SILENT_MS, (msec_t)(controller->settings->heartbeat_interval_s *
                                        HEARTBEAT_SPREAD_FACTOR * MS_PER_S) +
                                   2 * (msec_t)HEARTBEAT_LATE_MS);
}

/* With the lock held: machines of a partition that have gone silent, if they are most of it. */
static GPtrArray *lost_of(const controller_t *controller, guint partition)
{
    const GArray *summaries = g_ptr_array_index(controller->placement.leader->summaries, partition);
    GPtrArray *lost = g_ptr_array_new_with_free_func(g_free);
    for (guint k = 0; summaries && k < summaries->len; k++) {
        const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
        if (summary->silent_ms > cloud_lost_after(controller))
            g_ptr_array_add(lost, g_strdup(summary->machine));
    }
    if (lost->len < LOST_MACHINES_MIN_COUNT || 2 * lost->len <= summaries->len)
        g_ptr_array_set_size(lost, 0);
    return lost;
}

void cloud_exclude_members(cloud_t *cloud, msec_t now)
{
    controller_t *controller = cloud->controller;
    GHashTable *retained = NULL;
    guint partitions = 0;
    pthread_mutex_lock(&controller->lock);
    uint64_t generation = controller->placement.generation;
    /* In a view's first seconds, workers are still on their way to their owners. */
    partitions = cloud_leads(controller) &&
                         now - controller->placement.loaded_at > 2 * cloud_lost_after(controller)
                     ? controller->membership.view.count
                     : 0;
    pthread_mutex_unlock(&controller->lock);
    for (guint i = 0; i < partitions; i++) {
        pthread_mutex_lock(&controller->lock);
        GPtrArray *lost = controller->placement.generation == generation ? lost_of(controller, i)
                                                                         : g_ptr_array_new();
        pthread_mutex_unlock(&controller->lock);
        if (lost->len && !retained)
            retained = cloud_read_retained(cloud);
        guint alive = 0;
        for (guint k = 0; retained && k < lost->len; k++)
            alive += g_hash_table_contains(retained, g_ptr_array_index(lost, k));
        if (lost->len && 2 * alive > lost->len) {
            msec_t until = now + EXCLUDED_MS;
            pthread_mutex_lock(&controller->lock);
            if (controller->placement.generation == generation) {
                log_info("event=member_excluded member=%s machines=%u",
                         controller->membership.view.members[i].name, alive);
                g_hash_table_insert(controller->membership.election.excluded,
                                    g_strdup(controller->membership.view.members[i].name),
                                    g_memdup2(&until, sizeof until));
                pthread_cond_broadcast(&controller->membership.changed);
            }
            pthread_mutex_unlock(&controller->lock);
        }
        g_ptr_array_unref(lost);
    }
    if (retained)
        g_hash_table_unref(retained);
}

void cloud_publish_retained(cloud_t *cloud, msec_t now)
{
    controller_t *controller = cloud->controller;
    json_t *names = json_array();
    pthread_mutex_lock(&controller->lock);
    GPtrArray *retained = redirection_retained(controller->membership.redirection, now);
    pthread_mutex_unlock(&controller->lock);
    for (guint i = 0; i < retained->len; i++)
        json_array_append_new(names, json_string(g_ptr_array_index(retained, i)));
    g_ptr_array_unref(retained);
    bool has_grown = json_array_size(names) > cloud->retained_count;
    msec_t gap = has_grown ? RETAINED_GROWN_GAP_MS : RETAINED_WRITE_GAP_MS;
    if (json_array_size(names) == 0 || now - cloud->retained_at <= gap) {
        json_decref(names);
        return;
    }
    cloud->retained_count = (guint)json_array_size(names);
    char path[URL_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(path, sizeof path, "kept/%s", controller->settings->name);
    kv_txn_put(&txn, path, json_pack("{s:I,s:o}", "At", (json_int_t)clock_day(), "Machines", names),
               0);
    rate_limiter_charge(&controller->core_request_limiter, 1, now);
    kv_commit(&controller->kv_store, cloud->client, &txn, KV_TIMEOUT_MS, NULL, NULL);
    kv_txn_free(&txn);
    cloud->retained_at = now;
}
