#include "controller/peer/peer_exchange.h"
#include "controller/placement/partition_items.h"

#include "io/clock.h"

peer_message_t peer_exchange_new_message(const controller_t *controller)
{
    peer_message_t message = {.incarnation = controller->incarnation,
                              .view_number = controller->membership.view.number};
    message.kv_answer_age_ms = clock_steady() - atomic_load(&controller->kv_store.answered_at);
    message.worker_heartbeat_age_ms = clock_steady() - controller->peers.worker_heartbeat_at;
    g_strlcpy(message.sender, controller->settings->name, sizeof message.sender);
    return message;
}

GByteArray *peer_exchange_compose(const controller_t *controller, channel_t *channel,
                                  summary_update_t summaries)
{
    g_auto(peer_message_t) message = peer_exchange_new_message(controller);
    if (channel) {
        message.items = g_array_ref(channel_current_batch(channel, PEER_BATCH_COUNT));
        message.batch_number = channel->last_sent_batch;
        message.acknowledged_batch = channel->last_received_batch;
    }
    message.summaries = summaries;
    if (summaries.summaries)
        message.cpus_being_preempted = partition_items_cpus_being_preempted(controller);
    return peer_encode(&message);
}

void peer_exchange_observe_sender(controller_t *controller, const peer_message_t *message)
{
    membership_t *membership = &controller->membership;
    peer_state_t *peers = &controller->peers;
    membership->highest_view_seen = MAX(membership->highest_view_seen, message->view_number);
    peers->sibling_message_at = clock_steady();
    msec_t kv_answered_at = clock_steady() - message->kv_answer_age_ms;
    peers->siblings_kv_answered_at = MAX(peers->siblings_kv_answered_at, kv_answered_at);
}

bool peer_exchange_is_from_leader(const controller_t *controller, const peer_message_t *message)
{
    const view_t *view = &controller->membership.view;
    return message->view_number == view->number && message->incarnation == view->incarnation;
}

bool peer_exchange_call(int fd, const GByteArray *frame, peer_message_t *message)
{
    *message = (peer_message_t){0};
    if (!peer_send(fd, frame))
        return false;
    g_autoptr(GByteArray) answer = peer_receive(fd);
    return answer && peer_decode(answer->data, answer->len, message);
}
