/* The cloud's list of machines: what boots, what failed, what is gone. */
#include "controller/autoscaler/autoscaler_loop_internal.h"

#include "io/clock.h"
#include "io/codec/codec.h"

static bool read_hosts(cloud_t *cloud, GArray *hosts)
{
    bool more = true;
    while (more) {
        char path[URL_BYTES];
        json_t *answer = NULL;
        const char *since =
            hosts->len ? g_array_index(hosts, host_t, hosts->len - 1).machine : NULL;
        g_snprintf(path, sizeof path, "/hosts?%s%s%sLimit=%d", since ? "Since=" : "",
                   since ? since : "", since ? "&" : "", LIST_PAGE_COUNT);
        guint before = hosts->len;
        bool read = cloud_call(cloud, "GET", path, NULL, &answer) == HTTP_OK &&
                    codec_parse_hosts(answer, hosts, &more);
        json_decref(answer);
        if (!read)
            return false;
        more = more && hosts->len > before;
    }
    return true;
}

/* The machines that the partitions know: a set of ids, borrowed from the summaries. */
static GHashTable *known_machines(const leader_t *leader)
{
    GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++)
            g_hash_table_add(known, g_array_index(summaries, machine_summary_t, k).machine);
    }
    return known;
}

static void take_hosts(cloud_t *cloud, const GArray *hosts, msec_t now)
{
    controller_t *controller = cloud->controller;
    GHashTable *known = known_machines(controller->placement.leader);
    g_hash_table_remove_all(cloud->listed_machines);
    g_ptr_array_set_size(cloud->failed_machines, 0);
    for (guint i = 0; i < hosts->len; i++) {
        const host_t *host = &g_array_index(hosts, host_t, i);
        g_hash_table_add(cloud->listed_machines, g_strdup(host->machine));
        if (host->state == HOST_FAILED)
            g_ptr_array_add(cloud->failed_machines, g_strdup(host->machine));
        else if (!g_hash_table_contains(known, host->machine) &&
                 !cloud_is_recently_terminated(cloud, host->machine, now)) /* else the list lags */
            autoscaler_add_booting(
                controller->autoscaler, host->machine, host->type, host->zone, host->spot,
                MAX(now - (msec_t)(host->age_s * MS_PER_S), controller->placement.loaded_at));
    }
    /* What was scaled out long enough ago to be listed and is not, was taken while it booted. */
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    msec_t lag = (msec_t)(controller->settings->list_lag_s * 2 * MS_PER_S) + LEADER_GRACE_MS;
    g_hash_table_iter_init(&iter, controller->autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const booting_instance_t *booting = value;
        if (g_hash_table_contains(known, key) ||
            (now - booting->requested_at > lag &&
             !g_hash_table_contains(cloud->listed_machines, key)))
            g_hash_table_iter_remove(&iter);
    }
    g_hash_table_unref(known);
}

void cloud_refresh_hosts(cloud_t *cloud)
{
    controller_t *controller = cloud->controller;
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(host_t));
    if (read_hosts(cloud, hosts)) {
        pthread_mutex_lock(&controller->lock);
        if (cloud_leads(controller))
            take_hosts(cloud, hosts, clock_steady());
        pthread_mutex_unlock(&controller->lock);
        cloud->listed_at = clock_steady();
    }
    g_array_unref(hosts);
}
