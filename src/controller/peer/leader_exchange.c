#include "controller/peer/leader_exchange.h"
#include "controller/peer/peer_exchange.h"
#include "controller/placement/partition_items.h"

#include <string.h>

#include "io/clock.h"

channel_t *leader_exchange_channel(const controller_t *controller, guint member)
{
    return g_ptr_array_index(controller->peers.channels, member);
}

/* Looks up the sender of the message among the members of the view, by name and incarnation.
 * Returns false if it is not a member. */
static bool find_sender_locked(const controller_t *controller, const peer_message_t *message,
                               guint *member)
{
    const view_t *view = &controller->membership.view;
    for (guint i = 0; i < view->count; i++) {
        if (strcmp(view->members[i].name, message->sender) == 0 &&
            view->members[i].incarnation == message->incarnation) {
            *member = i;
            return true;
        }
    }
    return false;
}

/* Looks up the partition that sent the message. Returns false unless this controller leads, has
 * loaded its records, and the message comes from another member of the same view. */
static bool find_sending_partition_locked(const controller_t *controller,
                                          const peer_message_t *message, guint *member)
{
    if (!controller->membership.is_leader || !controller->placement.is_loaded)
        return false;
    if (message->view_number != controller->membership.view.number)
        return false;
    return find_sender_locked(controller, message, member) &&
           *member != controller->membership.own_index;
}

/* Handles the attempt results in the message if they are a new batch. Returns false if the message
 * has no batch or repeats one that was already received. */
static bool handle_results_locked(controller_t *controller, guint member,
                                  const peer_message_t *message, msec_t now)
{
    channel_t *channel = leader_exchange_channel(controller, member);
    if (message->items->len == 0 || !channel_accept(channel, message->batch_number))
        return false;
    for (guint i = 0; i < message->items->len; i++) {
        const channel_item_t *item = &g_array_index(message->items, channel_item_t, i);
        if (item->kind == CHANNEL_ATTEMPT_RESULT)
            partition_items_handle_result(controller, member, &item->result, now);
    }
    return true;
}

/* Updates the replica of the partition's machine summaries and, once the partition has
 * acknowledged the last batch, passes them on to the leader's placement data. Returns whether it
 * passed on any change.
 *
 * Summaries that the partition made before it received the last batch of placement requests would
 * show the resources of those requests as free. They stay in the replica until a message
 * acknowledges the batch. */
static bool apply_summaries_locked(controller_t *controller, guint member, peer_message_t *message,
                                   msec_t now)
{
    const channel_t *channel = leader_exchange_channel(controller, member);
    const summary_update_t *update = &message->summaries;
    summary_replica_t *replica = &controller->peers.summary_replicas[member];
    if (!update->summaries || !summary_replica_apply(replica, update, now))
        return false;
    bool *is_pending = &controller->peers.are_summaries_pending[member];
    *is_pending |= update->summaries->len > 0 || update->terminated->len > 0;
    if (message->acknowledged_batch != channel->last_sent_batch)
        return false;
    leader_set_summaries(controller->placement.leader, member, g_array_copy(replica->summaries));
    leader_set_cpus_being_preempted(controller->placement.leader, member,
                                    g_steal_pointer(&message->cpus_being_preempted));
    bool has_changed = *is_pending;
    *is_pending = false;
    return has_changed;
}

bool leader_exchange_receive(controller_t *controller, peer_message_t *message, guint *member)
{
    msec_t now = clock_steady();
    peer_exchange_observe_sender(controller, message);
    if (!find_sending_partition_locked(controller, message, member))
        return false;
    channel_acknowledge(leader_exchange_channel(controller, *member), message->acknowledged_batch);
    bool has_results = handle_results_locked(controller, *member, message, now);
    bool has_summaries = apply_summaries_locked(controller, *member, message, now);
    if (has_results || has_summaries)
        controller_notify_placement(controller);
    return true;
}
