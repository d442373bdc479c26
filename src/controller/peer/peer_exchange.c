/* The exchange between the leader and the partitions, by sockets or, where those fail, by relay:
 * the same messages as values in the key-value store, which a cut between zones leaves in reach.
 * What is late or repeated there is as harmless as on a socket, by the numbers that the messages
 * bear.
 *
 * Each partition calls the leader, over and over: what it
 * has to tell goes with the call, what the leader wants comes with the answer, which the leader
 * holds back for a moment while it has nothing to say. */
#include "controller/peer/peer_exchange.h"
#include "controller/placement/partition_items.h"

#include "io/clock.h"

peer_message_t peer_exchange_message(const controller_t *controller)
{
    peer_message_t message = {.incarnation = controller->incarnation,
                              .view_number = controller->membership.view.number};
    message.kv_answer_age_ms = clock_steady() - atomic_load(&controller->kv_store.answered_at);
    message.worker_heartbeat_age_ms = clock_steady() - controller->peers.worker_heartbeat_at;
    g_strlcpy(message.sender, controller->settings->name, sizeof message.sender);
    return message;
}

GByteArray *peer_exchange_compose(const controller_t *controller, channel_t *channel,
                                  const summary_update_t *summaries)
{
    peer_message_t message = peer_exchange_message(controller);
    if (channel) {
        message.items = g_array_ref((GArray *)(void *)channel_batch(channel, PEER_BATCH_COUNT));
        message.batch_number = channel->sent;
        message.acknowledged_batch = channel->received;
    }
    if (summaries) {
        message.summaries = *summaries;
        message.cpus_being_preempted =
            summaries->summaries ? partition_items_cpus_being_preempted(controller) : NULL;
    }
    GByteArray *frame = peer_encode(&message);
    peer_message_clear(&message);
    return frame;
}

void peer_exchange_receive_any(controller_t *controller, const peer_message_t *message)
{
    controller->membership.highest_view_seen =
        MAX(controller->membership.highest_view_seen, message->view_number);
    controller->peers.sibling_message_at = clock_steady();
    controller->peers.siblings_kv_answered_at =
        MAX(controller->peers.siblings_kv_answered_at, clock_steady() - message->kv_answer_age_ms);
}

bool peer_exchange_converse(int fd, const GByteArray *frame, peer_message_t *message)
{
    GByteArray *answer = peer_send(fd, frame) ? peer_receive(fd) : NULL;
    bool valid = answer && peer_decode(answer->data, answer->len, message);
    if (answer)
        g_byte_array_unref(answer);
    return valid;
}
