/* The side that calls: a partition, over and over, its leader. */
#include "app/peer_exchange.h"

#include <string.h>
#include <unistd.h>

#include "io/clock.h"

void peer_client_receive(node_t *node, const peer_message_t *message)
{
    peer_exchange_receive_any(node, message);
    if (!node->loaded || message->view != node->view.number ||
        message->incarnation != node->view.incarnation)
        return;
    channel_ack(node->leader_channel, message->ack);
    if (!message->items->len || !channel_accept(node->leader_channel, message->number))
        return;
    for (guint i = 0; i < message->items->len; i++)
        node_handle_item(node, &g_array_index(message->items, channel_item_t, i), clock_steady());
}

static const char *leader_endpoint(const node_t *node)
{
    for (guint i = 0; i < node->settings->siblings->len; i++) {
        const sibling_t *sibling = &g_array_index(node->settings->siblings, sibling_t, i);
        if (strcmp(sibling->name, node->view.leader) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

static bool exchange(node_t *node, int fd, const GByteArray *frame)
{
    peer_message_t message;
    if (!peer_exchange_converse(fd, frame, &message))
        return false;
    pthread_mutex_lock(&node->lock);
    peer_client_receive(node, &message);
    pthread_mutex_unlock(&node->lock);
    peer_message_clear(&message);
    return true;
}

void *peer_client_run(void *data)
{
    node_t *node = data;
    http_client_t *client = http_client_new(2);
    char connected[ADDRESS_SIZE] = "";
    msec_t reached = clock_steady(), tried = 0, summaries_sent_at = 0;
    uint64_t reported_batch = 0, generation = 0;
    int fd = -1;
    for (;;) {
        char endpoint[ADDRESS_SIZE] = "";
        GByteArray *frame = NULL;
        pthread_mutex_lock(&node->lock);
        if (!node->leading && node->loaded && node->own != G_MAXUINT && leader_endpoint(node)) {
            g_strlcpy(endpoint, leader_endpoint(node), sizeof endpoint);
            /* Machine summaries are most of a message: with news of batches, else at a slower pace.
             */
            bool with_summaries = node->leader_channel->received != reported_batch ||
                                  node->generation != generation ||
                                  clock_steady() - summaries_sent_at > PEER_SUMMARIES_MS;
            if (with_summaries) {
                reported_batch = node->leader_channel->received;
                summaries_sent_at = clock_steady();
                generation = node->generation;
            }
            frame = peer_exchange_compose(node, node->leader_channel, with_summaries);
        } else {
            node_wait(node, &node->peer_work, MEMBER_TICK_MS);
        }
        pthread_mutex_unlock(&node->lock);
        if (!frame)
            continue;
        if (fd >= 0 && strcmp(endpoint, connected) != 0) {
            close(fd);
            fd = -1;
        }
        /* While the relay is used, sockets are tried now and then only: behind a cut each try
         * hangs. */
        bool by_relay = clock_steady() - reached > RELAY_AFTER_MS;
        if (fd < 0 && (!by_relay || clock_steady() - tried > RELAY_SOCKET_MS)) {
            fd = peer_connect(endpoint, PEER_TIMEOUT_MS);
            g_strlcpy(connected, endpoint, sizeof connected);
            tried = clock_steady();
        }
        bool done = fd >= 0 && exchange(node, fd, frame);
        if (done)
            reached = clock_steady();
        else if (by_relay)
            peer_relay_exchange(node, client, frame);
        g_byte_array_unref(frame);
        summaries_sent_at = done ? summaries_sent_at : 0;
        if (!done && fd >= 0) {
            close(fd);
            fd = -1;
        }
        node_sleep(done ? PEER_GAP_MS : PEER_RETRY_MS);
    }
    return NULL;
}
