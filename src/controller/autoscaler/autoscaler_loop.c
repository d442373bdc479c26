/* The loop of the cloud: machine types for every controller; for the leader the list of machines,
 * scale-out requests and returns. */
#include "controller/autoscaler/autoscaler_loop.h"
#include "controller/autoscaler/autoscaler_loop_internal.h"
#include "controller/placement/partition_items.h"

#include <string.h>

#include "io/clock.h"
#include "io/codec/codec.h"

int cloud_call(cloud_t *cloud, const char *method, const char *path, const json_t *body,
               json_t **answer)
{
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "http://%s%s", cloud->controller->settings->cloud_address, path);
    return http_call(cloud->client, method, url, body, CLOUD_TIMEOUT_MS, answer);
}

static void take_machine_types(controller_t *controller, GArray *machine_types)
{
    for (guint i = 0; i < controller->placement.machine_types->len; i++)
        g_strfreev(g_array_index(controller->placement.machine_types, machine_type_t, i).zones);
    g_array_set_size(controller->placement.machine_types, 0);
    g_array_append_vals(controller->placement.machine_types, machine_types->data,
                        machine_types->len);
    /* The zones' lists moved along with the values. */
    g_array_set_clear_func(machine_types, NULL);
    if (controller->placement.partition)
        partition_apply_machine_types(controller->placement.partition);
}

static void refresh_machine_types(cloud_t *cloud)
{
    json_t *answer = NULL;
    if (cloud_call(cloud, "GET", "/flavors", NULL, &answer) == HTTP_OK) {
        GArray *machine_types = codec_parse_machine_types(answer);
        if (machine_types && machine_types->len) {
            pthread_mutex_lock(&cloud->controller->lock);
            take_machine_types(cloud->controller, machine_types);
            pthread_mutex_unlock(&cloud->controller->lock);
            cloud->machine_types_at = clock_steady();
        }
        if (machine_types)
            g_array_unref(machine_types);
    }
    json_decref(answer);
}

const machine_summary_t *cloud_find_summary(const controller_t *controller, const char *id,
                                            guint *partition)
{
    for (guint i = 0; i < controller->placement.leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(controller->placement.leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (strcmp(summary->machine, id) != 0)
                continue;
            if (partition)
                *partition = i;
            return summary;
        }
    }
    return NULL;
}

bool cloud_leads(const controller_t *controller)
{
    return controller->placement.is_loaded && controller->membership.is_leader &&
           election_may_act(&controller->membership.view, controller->membership.highest_view_seen,
                            controller->membership.views_complete_until, clock_steady());
}

bool cloud_is_recently_terminated(const cloud_t *cloud, const char *id, msec_t now)
{
    const msec_t *at = g_hash_table_lookup(cloud->recently_terminated, id);
    return at && now - *at < (msec_t)(cloud->controller->settings->list_lag_s * 2 * MS_PER_S) +
                                 LEADER_GRACE_MS;
}

void cloud_send_machine_item(controller_t *controller, guint partition, channel_item_kind_t kind,
                             const char *id)
{
    channel_item_t item = {.kind = kind};
    g_strlcpy(item.machine, id, sizeof item.machine);
    partition_items_send(controller, partition, item);
}

/* One that has just begun to lead waits no longer: queues may have no machine yet. */
static void wait_for_round(controller_t *controller, msec_t gap)
{
    pthread_mutex_lock(&controller->lock);
    controller_wait(controller, &controller->autoscaler_ready, gap);
    pthread_mutex_unlock(&controller->lock);
}

void *autoscaler_loop_run(void *data)
{
    cloud_t cloud = {
        .controller = data,
        .client = http_client_new(2),
        .listed_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .failed_machines = g_ptr_array_new_with_free_func(g_free),
        .recently_terminated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
    controller_t *controller = cloud.controller;
    msec_t gap = MAX(CLOUD_GAP_MS, (msec_t)(CLOUD_ROUND_MS / controller->settings->cloud_rps));
    for (;;) {
        msec_t now = clock_steady();
        if (cloud.machine_types_at == 0 || now - cloud.machine_types_at > MACHINE_TYPES_MS)
            refresh_machine_types(&cloud);
        pthread_mutex_lock(&controller->lock);
        bool is_leader = cloud_leads(controller);
        pthread_mutex_unlock(&controller->lock);
        if (is_leader && now - cloud.listed_at > CLOUD_LIST_GAP_MS) {
            cloud_refresh_hosts(&cloud);
            cloud_exclude_members(&cloud, now);
        }
        cloud_publish_retained(&cloud, now);
        bool has_changed = false;
        if (is_leader) {
            has_changed = cloud_scale_out(&cloud);
            has_changed = cloud_scale_in(&cloud) || has_changed;
        }
        msec_t quiet_gap =
            is_leader ? controller_paced(controller, gap) : MAX(gap, CLOUD_IDLE_GAP_MS);
        wait_for_round(controller, has_changed ? gap : quiet_gap);
    }
    return NULL;
}
