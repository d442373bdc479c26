/* The side that is called: the leader by the partitions, and every controller by its siblings'
 * heartbeats. */
#include "controller/peer/peer_server.h"
#include "controller/peer/peer_exchange.h"
#include "controller/peer/peer_heartbeat.h"
#include "controller/placement/partition_items.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "controller/threads.h"
#include "io/clock.h"
#include "io/log.h"

typedef struct peer_connection {
    controller_t *controller;
    int fd;
} peer_connection_t;

static bool is_member(const controller_t *controller, const peer_message_t *message, guint *index)
{
    for (guint i = 0; i < controller->membership.view.count; i++) {
        if (strcmp(controller->membership.view.members[i].name, message->sender) == 0 &&
            controller->membership.view.members[i].incarnation == message->incarnation) {
            *index = i;
            return true;
        }
    }
    return false;
}

/* Whether the leader has other summaries now than before. Those from before the last batch of
 * placement requests would show its resources as free: they wait for the next message. */
static bool take_summaries(controller_t *controller, guint index, peer_message_t *message,
                           msec_t now)
{
    const channel_t *channel = g_ptr_array_index(controller->peers.channels, index);
    summary_replica_t *replica = &controller->peers.summary_replicas[index];
    if (!message->summaries.summaries || !summary_replica_apply(replica, &message->summaries, now))
        return false;
    controller->peers.are_summaries_pending[index] |=
        message->summaries.summaries->len > 0 || message->summaries.terminated->len > 0;
    if (message->acknowledged_batch != channel->sent)
        return false;
    leader_set_summaries(controller->placement.leader, index, g_array_copy(replica->summaries));
    leader_set_cpus_being_preempted(controller->placement.leader, index,
                                    g_steal_pointer(&message->cpus_being_preempted));
    bool has_changed = controller->peers.are_summaries_pending[index];
    controller->peers.are_summaries_pending[index] = false;
    return has_changed;
}

channel_t *peer_server_receive(controller_t *controller, peer_message_t *message)
{
    guint index = 0;
    msec_t now = clock_steady();
    peer_exchange_receive_any(controller, message);
    if (!controller->membership.is_leader || !controller->placement.is_loaded ||
        message->view_number != controller->membership.view.number ||
        !is_member(controller, message, &index) || index == controller->membership.own_index)
        return NULL;
    channel_t *channel = g_ptr_array_index(controller->peers.channels, index);
    channel_ack(channel, message->acknowledged_batch);
    bool has_news = false;
    if (message->items->len && channel_accept(channel, message->batch_number)) {
        has_news = true;
        for (guint i = 0; i < message->items->len; i++) {
            const channel_item_t *item = &g_array_index(message->items, channel_item_t, i);
            if (item->kind == CHANNEL_ATTEMPT_RESULT)
                partition_items_handle_result(controller, index, &item->result, now);
        }
    }
    has_news = take_summaries(controller, index, message, now) || has_news;
    if (has_news)
        controller_notify_placement(controller);
    return channel;
}

static GByteArray *answer_partition(controller_t *controller, peer_message_t *message)
{
    pthread_mutex_lock(&controller->lock);
    uint64_t generation = controller->placement.generation;
    channel_t *channel = peer_server_receive(controller, message);
    guint index = 0;
    if (channel && is_member(controller, message, &index))
        controller->peers.received_at[index] = clock_steady();
    msec_t delay = controller_paced(controller, PEER_ANSWER_DELAY_MS);
    msec_t until = clock_steady() + delay;
    while (channel && !channel_busy(channel) && clock_steady() < until) {
        controller_wait(controller, &controller->peers.item_available, delay);
        if (controller->placement.generation != generation)
            channel = NULL; /* freed with its view while the lock was given up */
    }
    summary_update_t known = {.version =
                                  channel ? controller->peers.summary_replicas[index].version : 0};
    GByteArray *frame = peer_exchange_compose(controller, channel, &known);
    pthread_mutex_unlock(&controller->lock);
    return frame;
}

static void *peer_connection_run(void *data)
{
    peer_connection_t *peer_connection = data;
    GByteArray *frame;
    while ((frame = peer_receive(peer_connection->fd))) {
        peer_message_t message;
        bool valid = peer_decode(frame->data, frame->len, &message);
        g_byte_array_unref(frame);
        if (!valid)
            break;
        GByteArray *answer = message.is_heartbeat
                                 ? peer_heartbeat_answer(peer_connection->controller, &message)
                                 : answer_partition(peer_connection->controller, &message);
        peer_message_clear(&message);
        bool sent = answer && peer_send(peer_connection->fd, answer);
        if (answer)
            g_byte_array_unref(answer);
        if (!sent)
            break;
    }
    close(peer_connection->fd);
    g_free(peer_connection);
    return NULL;
}

void *peer_server_run(void *data)
{
    controller_t *controller = data;
    int listener = peer_listen(controller->settings->peer_listen);
    if (listener < 0) {
        log_error("event=listen_failed address=%s", controller->settings->peer_listen);
        return NULL;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            controller_sleep(PEER_RETRY_MS);
            continue;
        }
        peer_set_timeout(fd, PEER_IDLE_MS);
        peer_connection_t *peer_connection = g_new(peer_connection_t, 1);
        *peer_connection = (peer_connection_t){controller, fd};
        pthread_detach(threads_start("peer_connection", peer_connection_run, peer_connection));
    }
    return NULL;
}
