#include "controller/membership/membership.h"

#include "controller/controller.h"
#include "core/membership/fencing_token.h"
#include "io/clock.h"
#include "io/log.h"

/* Clears the redirections if the new view changes the owners of machines. Workers that are retained
 * here because they could not reach their former owner are then redirected to the new one. They
 * must move there, because the leader considers a machine dead if it learns of no heartbeats from
 * it. */
static void clear_redirection_if_owners_change(controller_t *controller, const view_t *view)
{
    if (view->incarnation != controller->membership.view.incarnation ||
        !election_same_members(view, &controller->membership.view))
        redirection_reset(controller->membership.redirection, view->number, clock_steady());
}

/* Copies the job counts that this controller made as the leader to its replica. Users are answered
 * from there until the counts of another leader, or the next ones made here, replace them. */
static void copy_own_counts(controller_t *controller)
{
    job_counts_update_t all =
        leader_job_counts_since(controller->placement.leader, 0, 0, G_MAXUINT);
    job_counts_replica_apply(&controller->jobs.counts, &all);
    job_counts_update_clear(&all);
}

/* Sets whether this controller leads the installed view, and when its leadership began. */
static void update_leadership(controller_t *controller)
{
    membership_t *membership = &controller->membership;
    bool was_leader = membership->is_leader;
    membership->is_leader = membership->view.incarnation == controller->incarnation;
    if (was_leader)
        return;
    membership->leader_since_at = clock_steady();
    if (membership->is_leader && controller->autoscaler)
        autoscaler_begin_leadership(controller->autoscaler);
}

/* Frees the channels of the previous view, and the summaries that were received through them. */
static void drop_channels(peer_state_t *peers)
{
    for (guint i = 0; i < peers->channels->len; i++)
        if (g_ptr_array_index(peers->channels, i))
            channel_free(g_ptr_array_index(peers->channels, i));
    g_ptr_array_set_size(peers->channels, 0);
    for (guint i = 0; i < MEMBERS_MAX_COUNT; i++) {
        summary_replica_clear(&peers->summary_replicas[i]);
        peers->are_summaries_pending[i] = false;
    }
    g_clear_pointer(&peers->leader_channel, channel_free);
}

/* Sets the indices of this controller and of the leader among the members of the installed view. */
static void update_member_indices(controller_t *controller)
{
    membership_t *membership = &controller->membership;
    const view_t *view = &membership->view;
    membership->own_index = G_MAXUINT;
    membership->leader_index = 0;
    for (guint i = 0; i < view->count; i++) {
        if (view->members[i].incarnation == controller->incarnation)
            membership->own_index = i;
        if (view->members[i].incarnation == view->incarnation)
            membership->leader_index = i;
    }
}

/* Creates the channels for the installed view. */
static void open_channels(controller_t *controller)
{
    peer_state_t *peers = &controller->peers;
    for (guint i = 0; i < controller->membership.view.count; i++) {
        peers->last_socket_call_at[i] = clock_steady();
        g_ptr_array_add(peers->channels, controller->membership.is_leader ? channel_new() : NULL);
    }
    peers->leader_channel = channel_new();
}

static void log_installed_view(const membership_t *membership)
{
    const view_t *view = &membership->view;
    bool is_member = membership->own_index != G_MAXUINT;
    log_info("event=view_installed view=%" G_GUINT64_FORMAT
             " leader=%s members=%u own=%d fencing_token=%" G_GUINT64_FORMAT
             " revision=%" G_GUINT64_FORMAT,
             view->number, view->leader, view->count, is_member ? (int)membership->own_index : -1,
             fencing_token_first(view->number), view->revision);
}

void membership_install_view(controller_t *controller, const view_t *view)
{
    if (view->revision <= controller->membership.view.revision)
        return;
    clear_redirection_if_owners_change(controller, view);
    if (controller->membership.is_leader && controller->placement.is_loaded)
        copy_own_counts(controller);
    controller->membership.view = *view;
    update_leadership(controller);
    controller->placement.is_loaded = false;
    controller->placement.generation++;
    update_member_indices(controller);
    drop_channels(&controller->peers);
    open_channels(controller);
    controller_update_rate_limits(controller, MAX(view->count, 1));
    metrics_count(controller->metrics, COUNT_VIEWS, 1);
    log_installed_view(&controller->membership);
    controller_notify_placement(controller);
    pthread_cond_broadcast(&controller->membership.changed);
    pthread_cond_broadcast(&controller->peers.item_available);
}

guint membership_owner_index(const controller_t *controller, const char *machine, const char *zone)
{
    const view_t *view = &controller->membership.view;
    return owner_of(view->members, view->count, machine, zone);
}
