/* Installs views. */
#include "controller/controller.h"

#include "io/clock.h"
#include "io/log.h"

static void drop_channels(controller_t *controller)
{
    for (guint i = 0; i < controller->peers.channels->len; i++)
        if (g_ptr_array_index(controller->peers.channels, i))
            channel_free(g_ptr_array_index(controller->peers.channels, i));
    g_ptr_array_set_size(controller->peers.channels, 0);
    for (guint i = 0; i < MEMBERS_MAX_COUNT; i++) {
        summary_replica_clear(&controller->peers.summary_replicas[i]);
        controller->peers.are_summaries_pending[i] = false;
    }
    g_clear_pointer(&controller->peers.leader_channel, channel_free);
}

/* What we counted as the leader is told until another's counts, or our own next ones, are here. */
static void keep_own_counts(controller_t *controller)
{
    job_counts_update_t all = leader_counts(controller->placement.leader, 0, 0, G_MAXUINT);
    job_counts_replica_apply(&controller->jobs.counts, &all);
    job_counts_update_clear(&all);
}

void membership_install_view(controller_t *controller, const view_t *view)
{
    if (view->revision <= controller->membership.view.revision)
        return;
    /* Workers retained here because they could not reach a former owner go to the new ones: the
     * leader takes a machine that nobody hears for dead. */
    if (view->incarnation != controller->membership.view.incarnation ||
        !election_same_members(view, &controller->membership.view))
        redirection_clear(controller->membership.redirection, view->number, clock_steady());
    if (controller->membership.is_leader && controller->placement.is_loaded)
        keep_own_counts(controller);
    controller->membership.view = *view;
    bool was_leading = controller->membership.is_leader;
    controller->membership.is_leader = view->incarnation == controller->incarnation;
    if (!was_leading)
        controller->membership.leader_since_at = clock_steady();
    if (!was_leading && controller->membership.is_leader && controller->autoscaler)
        autoscaler_begin_leadership(controller->autoscaler);
    controller->placement.is_loaded = false;
    controller->placement.generation++;
    controller->membership.own_index = G_MAXUINT;
    controller->membership.leader_index = 0;
    drop_channels(controller);
    for (guint i = 0; i < view->count; i++) {
        if (view->members[i].incarnation == controller->incarnation)
            controller->membership.own_index = i;
        if (view->members[i].incarnation == view->incarnation)
            controller->membership.leader_index = i;
        controller->peers.received_at[i] = clock_steady();
        g_ptr_array_add(controller->peers.channels,
                        controller->membership.is_leader ? channel_new() : NULL);
    }
    controller->peers.leader_channel = channel_new();
    controller_share_rate_limits(controller, MAX(view->count, 1));
    metrics_count(controller->metrics, COUNT_VIEWS, 1);
    log_info("event=view_installed view=%" G_GUINT64_FORMAT " leader=%s members=%u own=%d",
             view->number, view->leader, view->count,
             controller->membership.own_index == G_MAXUINT ? -1
                                                           : (int)controller->membership.own_index);
    controller_notify_placement(controller);
    pthread_cond_broadcast(&controller->membership.changed);
    pthread_cond_broadcast(&controller->peers.item_available);
}

guint membership_owner_index(const controller_t *controller, const char *machine, const char *zone)
{
    return owner_of(controller->membership.view.members, controller->membership.view.count, machine,
                    zone);
}
