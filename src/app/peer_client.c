/* The side that calls: a partition, over and over, its leader. */
#include "app/peer_exchange.h"

#include <string.h>
#include <unistd.h>

#include "io/clock.h"

void peer_client_receive(node_t *node, const peer_message_t *message)
{
    peer_exchange_receive_any(node, message);
    if (!node->is_loaded || message->view != node->view.number ||
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

/* The partition's side of the exchange. */
typedef struct peer_client {
    node_t *node;
    http_client_t *client;
    int fd;                        /* to the leader; -1: none */
    char endpoint[ADDRESS_BYTES];  /* of the leader */
    char connected[ADDRESS_BYTES]; /* where fd leads */
    msec_t reached;                /* last exchange by socket */
    msec_t tried;                  /* last try of a connection */
    msec_t summaries_sent_at;
    uint64_t reported_batch; /* the batch that the machine summaries sent last answered */
    uint64_t generation;     /* of the data from which they came */
    summary_sender_t summaries;
} peer_client_t;

/* Machine summaries are most of a message: they go with news of batches, else at a slower pace.
 * With the lock held. */
static bool wants_summaries(peer_client_t *peer)
{
    const node_t *node = peer->node;
    if (node->leader_channel->received == peer->reported_batch &&
        node->generation == peer->generation &&
        clock_steady() - peer->summaries_sent_at <= PEER_SUMMARIES_GAP_MS)
        return false;
    peer->reported_batch = node->leader_channel->received;
    peer->summaries_sent_at = clock_steady();
    peer->generation = node->generation;
    return true;
}

/* With the lock held: the summaries that go with the next message; the caller's. */
static summary_update_t next_summaries(peer_client_t *peer)
{
    const node_t *node = peer->node;
    uint64_t generation = peer->generation;
    if (!wants_summaries(peer))
        return (summary_update_t){0};
    if (peer->generation != generation)
        summary_sender_reset(&peer->summaries);
    msec_t now = clock_steady();
    return summary_sender_next(&peer->summaries, node_summaries(node, now), now);
}

/* Whether the leader answered by socket. */
static bool exchange(peer_client_t *peer, const GByteArray *frame)
{
    node_t *node = peer->node;
    peer_message_t message;
    if (!peer_exchange_converse(peer->fd, frame, &message))
        return false;
    pthread_mutex_lock(&node->lock);
    peer_client_receive(node, &message);
    summary_sender_acknowledge(&peer->summaries, message.summaries.version);
    pthread_mutex_unlock(&node->lock);
    peer_message_clear(&message);
    return true;
}

/* The next message to the leader, to be freed; NULL: this controller leads or has nothing loaded,
 * and a while has passed. */
static GByteArray *next_frame(peer_client_t *peer)
{
    node_t *node = peer->node;
    GByteArray *frame = NULL;
    pthread_mutex_lock(&node->lock);
    if (!node->is_leader && node->is_loaded && node->own_index != G_MAXUINT &&
        leader_endpoint(node)) {
        g_strlcpy(peer->endpoint, leader_endpoint(node), sizeof peer->endpoint);
        summary_update_t summaries = next_summaries(peer);
        frame = peer_exchange_compose(node, node->leader_channel, &summaries);
    } else {
        node_wait(node, &node->peer_work, MEMBER_TICK_MS);
    }
    pthread_mutex_unlock(&node->lock);
    return frame;
}

static void disconnect(peer_client_t *peer)
{
    if (peer->fd >= 0)
        close(peer->fd);
    peer->fd = -1;
}

/* One exchange, by socket or, if there was none by socket for a while, by relay. False: not by
 * socket. */
static bool exchange_once(peer_client_t *peer, const GByteArray *frame)
{
    if (strcmp(peer->endpoint, peer->connected) != 0)
        disconnect(peer);
    /* While the relay is used, sockets are tried now and then only: behind a cut each try hangs. */
    bool by_relay = clock_steady() - peer->reached > RELAY_AFTER_MS;
    if (peer->fd < 0 && (!by_relay || clock_steady() - peer->tried > RELAY_SOCKET_GAP_MS)) {
        peer->fd = peer_connect(peer->endpoint, PEER_TIMEOUT_MS);
        g_strlcpy(peer->connected, peer->endpoint, sizeof peer->connected);
        peer->tried = clock_steady();
    }
    if (peer->fd >= 0 && exchange(peer, frame)) {
        peer->reached = clock_steady();
        return true;
    }
    if (by_relay)
        peer_relay_exchange(peer->node, peer->client, frame);
    peer->summaries_sent_at = 0;
    summary_sender_reset(&peer->summaries);
    disconnect(peer);
    return false;
}

void *peer_client_run(void *data)
{
    peer_client_t peer = {
        .node = data, .client = http_client_new(2), .fd = -1, .reached = clock_steady()};
    for (;;) {
        GByteArray *frame = next_frame(&peer);
        if (!frame)
            continue;
        bool done = exchange_once(&peer, frame);
        g_byte_array_unref(frame);
        node_sleep(done ? PEER_GAP_MS : PEER_RETRY_MS);
    }
    return NULL;
}
