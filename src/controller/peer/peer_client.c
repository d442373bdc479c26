/* The side that calls: a partition, over and over, its leader. */
#include "controller/peer/peer_client.h"
#include "controller/peer/peer_exchange.h"
#include "controller/peer/peer_relay.h"
#include "controller/placement/partition_items.h"

#include <string.h>
#include <unistd.h>

#include "io/clock.h"

void peer_client_receive(controller_t *controller, const peer_message_t *message)
{
    peer_exchange_receive_any(controller, message);
    if (!controller->placement.is_loaded ||
        message->view_number != controller->membership.view.number ||
        message->incarnation != controller->membership.view.incarnation)
        return;
    channel_ack(controller->peers.leader_channel, message->acknowledged_batch);
    if (!message->items->len ||
        !channel_accept(controller->peers.leader_channel, message->batch_number))
        return;
    for (guint i = 0; i < message->items->len; i++)
        partition_items_handle(controller, &g_array_index(message->items, channel_item_t, i),
                               clock_steady());
}

static const char *leader_endpoint(const controller_t *controller)
{
    for (guint i = 0; i < controller->settings->siblings->len; i++) {
        const sibling_t *sibling = &g_array_index(controller->settings->siblings, sibling_t, i);
        if (strcmp(sibling->name, controller->membership.view.leader) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

/* The partition's side of the exchange. */
typedef struct peer_client {
    controller_t *controller;
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
    const controller_t *controller = peer->controller;
    if (controller->peers.leader_channel->received == peer->reported_batch &&
        controller->placement.generation == peer->generation &&
        clock_steady() - peer->summaries_sent_at <= PEER_SUMMARIES_GAP_MS)
        return false;
    peer->reported_batch = controller->peers.leader_channel->received;
    peer->summaries_sent_at = clock_steady();
    peer->generation = controller->placement.generation;
    return true;
}

/* With the lock held: the summaries that go with the next message; the caller's. */
static summary_update_t next_summaries(peer_client_t *peer)
{
    const controller_t *controller = peer->controller;
    uint64_t generation = peer->generation;
    if (!wants_summaries(peer))
        return (summary_update_t){0};
    if (peer->generation != generation)
        summary_sender_reset(&peer->summaries);
    msec_t now = clock_steady();
    return summary_sender_next(&peer->summaries, partition_items_summaries(controller, now), now);
}

/* Whether the leader answered by socket. */
static bool exchange(peer_client_t *peer, const GByteArray *frame)
{
    controller_t *controller = peer->controller;
    peer_message_t message;
    if (!peer_exchange_converse(peer->fd, frame, &message))
        return false;
    pthread_mutex_lock(&controller->lock);
    peer_client_receive(controller, &message);
    summary_sender_acknowledge(&peer->summaries, message.summaries.version);
    pthread_mutex_unlock(&controller->lock);
    peer_message_clear(&message);
    return true;
}

/* The next message to the leader, to be freed; NULL: this controller leads or has nothing loaded,
 * and a while has passed. */
static GByteArray *next_frame(peer_client_t *peer)
{
    controller_t *controller = peer->controller;
    GByteArray *frame = NULL;
    pthread_mutex_lock(&controller->lock);
    if (!controller->membership.is_leader && controller->placement.is_loaded &&
        controller->membership.own_index != G_MAXUINT && leader_endpoint(controller)) {
        g_strlcpy(peer->endpoint, leader_endpoint(controller), sizeof peer->endpoint);
        summary_update_t summaries = next_summaries(peer);
        frame = peer_exchange_compose(controller, controller->peers.leader_channel, &summaries);
    } else {
        controller_wait(controller, &controller->peers.item_available, MEMBER_TICK_MS);
    }
    pthread_mutex_unlock(&controller->lock);
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
        peer_relay_exchange(peer->controller, peer->client, frame);
    peer->summaries_sent_at = 0;
    summary_sender_reset(&peer->summaries);
    disconnect(peer);
    return false;
}

void *peer_client_run(void *data)
{
    peer_client_t peer = {
        .controller = data, .client = http_client_new(2), .fd = -1, .reached = clock_steady()};
    for (;;) {
        GByteArray *frame = next_frame(&peer);
        if (!frame)
            continue;
        bool done = exchange_once(&peer, frame);
        g_byte_array_unref(frame);
        controller_sleep(done ? PEER_GAP_MS : PEER_RETRY_MS);
    }
    return NULL;
}
