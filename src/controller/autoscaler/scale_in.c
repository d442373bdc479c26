/* Releases: which machines go back, and what the confirmation proves. */
#include "controller/autoscaler/autoscaler_loop_internal.h"

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

static void add_once(GPtrArray *names, const char *name)
{
    if (names->len < SCALE_IN_MAX_COUNT &&
        !g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL))
        g_ptr_array_add(names, g_strdup(name));
}

static void update_zones(controller_t *controller, msec_t now)
{
    GPtrArray *fallen = autoscaler_update_zones(
        controller->autoscaler, controller->placement.leader, cloud_lost_after(controller), now);
    for (guint i = 0; i < fallen->len; i++)
        log_info("event=zone_unreachable zone=%s", (char *)g_ptr_array_index(fallen, i));
    g_ptr_array_unref(fallen);
}

/* Machines to be given up for their silence, unless another controller keeps them alive. Those of
 * an unreachable zone have longer: a cut ends, and then they are there, where new ones would have
 * to be scaled out and booted; their tasks have missed the nearest SLOs either way. */
static GPtrArray *find_silent(cloud_t *cloud)
{
    controller_t *controller = cloud->controller;
    GPtrArray *silent = g_ptr_array_new_with_free_func(g_free);
    msec_t most = (msec_t)(controller->settings->lease_s * MS_PER_S) + SILENT_MARGIN_MS;
    msec_t lag = (msec_t)(controller->settings->list_lag_s * 2 * MS_PER_S) + LEADER_GRACE_MS;
    msec_t now = clock_steady();
    pthread_mutex_lock(&controller->lock);
    if (cloud_leads(controller))
        update_zones(controller, now);
    bool listed =
        cloud_leads(controller) && cloud->listed_at > controller->placement.loaded_at + lag;
    for (guint i = 0; cloud_leads(controller) && i < controller->placement.leader->summaries->len;
         i++) {
        const GArray *summaries = g_ptr_array_index(controller->placement.leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            bool unlisted = listed && summary->known_ms > lag && !summary->open &&
                            summary->silent_ms > ACKNOWLEDGEMENT_TIMEOUT_MS &&
                            !g_hash_table_contains(cloud->listed_machines, summary->machine);
            bool early = summary->silent_ms <= most ||
                         autoscaler_awaits_zone(controller->autoscaler, summary->zone,
                                                summary->silent_ms, most, now);
            if ((early && !unlisted) || cloud_is_recently_terminated(cloud, summary->machine, now))
                continue;
            log_debug("event=machine_unresponsive machine=%s silent_ms=%" G_GINT64_FORMAT
                      " known_ms=%" G_GINT64_FORMAT " listed=%d",
                      summary->machine, summary->silent_ms, summary->known_ms,
                      g_hash_table_contains(cloud->listed_machines, summary->machine));
            g_ptr_array_add(silent, g_strdup(summary->machine));
        }
    }
    pthread_mutex_unlock(&controller->lock);
    return silent;
}

/* With the lock held: machines that failed and boots that took too long. */
static void find_broken(cloud_t *cloud, GPtrArray *names, msec_t now)
{
    const controller_t *controller = cloud->controller;
    for (guint i = 0; i < cloud->failed_machines->len; i++)
        if (!cloud_is_recently_terminated(cloud, g_ptr_array_index(cloud->failed_machines, i), now))
            add_once(names, g_ptr_array_index(cloud->failed_machines, i));
    GPtrArray *stuck = autoscaler_stuck_instances(controller->autoscaler,
                                                  controller->placement.machine_types, now);
    for (guint i = 0; i < stuck->len; i++)
        add_once(names, g_ptr_array_index(stuck, i));
    g_ptr_array_unref(stuck);
}

/* With the lock held: drains machines that nothing has wanted for a while. */
static void drain_surplus(cloud_t *cloud, msec_t now)
{
    controller_t *controller = cloud->controller;
    guint partition = 0;
    /* In an outage nothing can be started, and what runs out looks like too many machines. */
    bool informed =
        now - atomic_load(&controller->kv_store.answered_at) < KV_WATCH_BLOCK_MS + KV_TIMEOUT_MS;
    if (!informed)
        controller->autoscaler->surplus_since = 0;
    /* Views of the same leader teach it nothing new: when they came every half minute, nothing was
     * returned for minutes. */
    bool may_return = informed &&
                      now - controller->membership.leader_since_at > SCALE_IN_AFTER_MS &&
                      now - controller->placement.loaded_at > LEADER_GRACE_MS;
    for (guint drained = 0; may_return && drained < DRAINS_PER_ROUND_COUNT; drained++) {
        machine_summary_t *surplus =
            autoscaler_next_scale_in(controller->autoscaler, controller->placement.leader,
                                     controller->placement.machine_types, now, clock_day());
        if (!surplus || !cloud_find_summary(controller, surplus->machine, &partition))
            break;
        log_info("event=scale_in_selected machine=%s", surplus->machine);
        /* No more placement requests; draining only when its partition says so. */
        surplus->open = false;
        cloud_send_machine_item(controller, partition, CHANNEL_DRAIN, surplus->machine);
    }
}

/* With the lock held: what is to go, for whatever reason but silence. A machine is drained first:
 * its partition's summaries must show it closed and empty, so that no start is under way to it. */
static void find_unwanted(cloud_t *cloud, GPtrArray *names)
{
    controller_t *controller = cloud->controller;
    msec_t now = clock_steady();
    find_broken(cloud, names, now);
    drain_surplus(cloud, now);
    for (guint i = 0; i < controller->placement.leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(controller->placement.leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (summary->draining && summary->attempts == 0 &&
                !cloud_is_recently_terminated(cloud, summary->machine, now))
                add_once(names, summary->machine);
            if (!summary->draining &&
                leader_is_quarantined(controller->placement.leader, summary->machine)) {
                log_info("event=machine_quarantined machine=%s", summary->machine);
                cloud_send_machine_item(controller, i, CHANNEL_DRAIN, summary->machine);
            }
        }
    }
}

/* The release is proof for whatever the machine's record holds, also when no partition has a
 * summary of it.
 */
static void terminated(controller_t *controller, const GPtrArray *names)
{
    metrics_count(controller->metrics, COUNT_SCALED_IN, names->len);
    for (guint i = 0; i < names->len; i++) {
        const char *id = g_ptr_array_index(names, i);
        guint partition = 0;
        log_info("event=scaled_in machine=%s", id);
        autoscaler_remove_booting(controller->autoscaler, id);
        if (cloud_find_summary(controller, id, &partition))
            cloud_send_machine_item(controller, partition, CHANNEL_MACHINE_TERMINATED, id);
    }
    controller_notify_placement(controller);
}

static void record_terminated(cloud_t *cloud, const GPtrArray *names)
{
    msec_t now = clock_steady();
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, cloud->recently_terminated);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        if (!cloud_is_recently_terminated(cloud, id, now))
            g_hash_table_iter_remove(&iter);
    for (guint i = 0; i < names->len; i++)
        g_hash_table_insert(cloud->recently_terminated, g_strdup(g_ptr_array_index(names, i)),
                            g_memdup2(&now, sizeof now));
}

bool cloud_scale_in(cloud_t *cloud)
{
    controller_t *controller = cloud->controller;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *silent = find_silent(cloud);
    GHashTable *retained = silent->len ? cloud_read_retained(cloud) : NULL;
    pthread_mutex_lock(&controller->lock);
    uint64_t generation = controller->placement.generation;
    if (cloud_leads(controller)) {
        find_unwanted(cloud, names);
        for (guint i = 0; retained && i < silent->len; i++)
            if (!g_hash_table_contains(retained, g_ptr_array_index(silent, i)))
                add_once(names, g_ptr_array_index(silent, i));
    }
    pthread_mutex_unlock(&controller->lock);
    if (retained)
        g_hash_table_unref(retained);
    g_ptr_array_unref(silent);
    if (names->len) {
        json_t *body = codec_build_scale_in(names);
        int status = cloud_call(cloud, "POST", "/hosts/release", body, NULL);
        json_decref(body);
        pthread_mutex_lock(&controller->lock);
        if (status == HTTP_OK && cloud_leads(controller) &&
            controller->placement.generation == generation) {
            terminated(controller, names);
            record_terminated(cloud, names);
            g_ptr_array_set_size(cloud->failed_machines, 0);
        }
        pthread_mutex_unlock(&controller->lock);
    }
    bool has_released = names->len > 0;
    g_ptr_array_unref(names);
    return has_released;
}
