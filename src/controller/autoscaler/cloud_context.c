/* The state of the autoscaler loop and the helper functions that its steps share. */
#include "controller/autoscaler/cloud_context.h"

#include <string.h>

#include "controller/placement/partition_items.h"
#include "core/autoscaler/machine_summary_iter.h"
#include "io/clock.h"

void cloud_context_init(cloud_context_t *context, controller_t *controller)
{
    *context = (cloud_context_t){
        .controller = controller,
        .http_client = http_client_new(2),
        .listed_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .failed_machines = g_ptr_array_new_with_free_func(g_free),
        .recently_terminated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
}

int cloud_context_call(cloud_context_t *context, const char *method, const char *path,
                       const json_t *body, json_t **answer)
{
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "http://%s%s", context->controller->settings->cloud_address, path);
    return http_call(context->http_client, method, url, body, CLOUD_TIMEOUT_MS, answer);
}

msec_t cloud_context_listing_lag_ms(const controller_t *controller)
{
    return (msec_t)(controller->settings->list_lag_s * 2 * MS_PER_S) + LEADER_GRACE_MS;
}

msec_t cloud_context_lost_owner_ms(const controller_t *controller)
{
    msec_t interval_ms =
        (msec_t)(controller->settings->heartbeat_interval_s * HEARTBEAT_GAP_MAX_FACTOR * MS_PER_S);
    return MAX(LOST_OWNER_SILENCE_MIN_MS, interval_ms + 2 * (msec_t)HEARTBEAT_DELAY_MAX_MS);
}

bool cloud_context_may_act(const controller_t *controller)
{
    return controller->placement.is_loaded && controller->membership.is_leader &&
           election_may_act(&controller->membership.view, controller->membership.highest_view_seen,
                            controller->membership.views_complete_until, clock_steady());
}

const machine_summary_t *cloud_context_find_summary(const controller_t *controller,
                                                    const char *machine, guint *partition)
{
    machine_summary_iter_t iter = {.leader = controller->placement.leader};
    for (const machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter)) {
        if (strcmp(summary->machine, machine) != 0)
            continue;
        *partition = iter.partition;
        return summary;
    }
    return NULL;
}

void cloud_context_send_item(controller_t *controller, guint partition, channel_item_kind_t kind,
                             const char *machine)
{
    channel_item_t item = {.kind = kind};
    g_strlcpy(item.machine, machine, sizeof item.machine);
    partition_items_send(controller, partition, item);
}

bool cloud_context_is_recently_terminated(const cloud_context_t *context, const char *machine,
                                          msec_t now)
{
    const msec_t *terminated_at = g_hash_table_lookup(context->recently_terminated, machine);
    return terminated_at &&
           now - *terminated_at < cloud_context_listing_lag_ms(context->controller);
}
