/* Finds the machines to terminate because their workers are silent. */
#include "controller/autoscaler/silent_machines.h"

#include "io/clock.h"
#include "io/log.h"

/* Updates which zones are unreachable, and logs those that became unreachable. Called with the lock
 * held. */
static void update_zones(controller_t *controller, msec_t now)
{
    g_autoptr(GPtrArray) unreachable =
        autoscaler_update_zones(controller->autoscaler, controller->placement.leader,
                                cloud_context_lost_owner_ms(controller), now); /* zones, owned */
    for (guint i = 0; i < unreachable->len; i++)
        log_info("event=zone_unreachable zone=%s", (char *)g_ptr_array_index(unreachable, i));
}

/* Returns whether the machine is silent and no longer exists according to the cloud's list, which
 * must be recent. The machine must have been known for longer than the list's lag. */
static bool is_gone_from_list(const cloud_context_t *context, const machine_summary_t *summary)
{
    return summary->known_ms > cloud_context_listing_lag_ms(context->controller) &&
           !summary->accepts_starts && summary->silent_ms > ACKNOWLEDGEMENT_TIMEOUT_MS &&
           !g_hash_table_contains(context->listed_machines, summary->machine);
}

/* Returns whether the machine has been silent for longer than a lease plus SILENT_MARGIN_MS. A
 * machine whose zone is or recently was unreachable is allowed a longer silence. */
static bool is_silence_too_long(const controller_t *controller, const machine_summary_t *summary,
                                msec_t now)
{
    msec_t max_silent_ms = (msec_t)(controller->settings->lease_s * MS_PER_S) + SILENT_MARGIN_MS;
    return summary->silent_ms > max_silent_ms &&
           !autoscaler_keeps_silent_machine(controller->autoscaler, summary->zone,
                                            summary->silent_ms, max_silent_ms, now);
}

/* Adds the silent machines of one partition that are to be terminated. is_list_recent: the cloud's
 * list was read long enough after the data of the view were loaded to show all machines that
 * existed then. Called with the lock held. */
static void add_silent(const cloud_context_t *context, const GArray *summaries, bool is_list_recent,
                       msec_t now, GPtrArray *silent)
{
    for (guint i = 0; summaries && i < summaries->len; i++) {
        const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        bool is_gone = is_list_recent && is_gone_from_list(context, summary);
        if ((!is_gone && !is_silence_too_long(context->controller, summary, now)) ||
            cloud_context_is_recently_terminated(context, summary->machine, now))
            continue;
        log_debug("event=machine_unresponsive machine=%s silent_ms=%" G_GINT64_FORMAT
                  " known_ms=%" G_GINT64_FORMAT " listed=%d",
                  summary->machine, summary->silent_ms, summary->known_ms,
                  g_hash_table_contains(context->listed_machines, summary->machine));
        g_ptr_array_add(silent, g_strdup(summary->machine));
    }
}

GPtrArray *silent_machines_find(cloud_context_t *context)
{
    controller_t *controller = context->controller;
    GPtrArray *silent = g_ptr_array_new_with_free_func(g_free);
    msec_t lag_ms = cloud_context_listing_lag_ms(controller);
    msec_t now = clock_steady();
    pthread_mutex_lock(&controller->lock);
    if (cloud_context_may_act(controller))
        update_zones(controller, now);
    bool is_list_recent = cloud_context_may_act(controller) &&
                          context->listed_at > controller->placement.loaded_at + lag_ms;
    /* The permission to act as the leader may lapse at any moment, so it is checked again for each
     * partition. */
    for (guint i = 0;
         cloud_context_may_act(controller) && i < controller->placement.leader->summaries->len; i++)
        add_silent(context, g_ptr_array_index(controller->placement.leader->summaries, i),
                   is_list_recent, now, silent);
    pthread_mutex_unlock(&controller->lock);
    return silent;
}
