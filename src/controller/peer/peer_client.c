#include "controller/peer/peer_client.h"
#include "controller/peer/partition_exchange.h"
#include "controller/peer/peer_exchange.h"
#include "controller/peer/peer_relay.h"
#include "controller/placement/partition_items.h"

#include <string.h>
#include <unistd.h>

#include "io/clock.h"

/* The state of the loop. Only its own thread uses it. */
typedef struct peer_client {
    controller_t *controller;
    http_client_t *http;                 /* requests to the key-value store for the relay; owned */
    int fd;                              /* connection to the leader; -1 if there is none */
    char leader_endpoint[ADDRESS_BYTES]; /* address of the current view's leader */
    char connected_endpoint[ADDRESS_BYTES]; /* address that fd is connected to */
    msec_t last_socket_exchange_at;         /* when an exchange by socket last succeeded */
    msec_t last_connect_at;                 /* when a connection was last attempted */
    msec_t summaries_sent_at;  /* when summaries were last sent; 0 makes them due at once */
    uint64_t summarized_batch; /* the newest batch received when summaries were last composed */
    uint64_t summarized_generation; /* generation of the records that those summaries describe */
    summary_sender_t summaries;     /* which summaries the leader has acknowledged */
} peer_client_t;

/* Returns whether the next message carries machine summaries. Summaries make up most of a message,
 * so they are sent at once only after a new batch or a reload of the records, and otherwise every
 * PEER_SUMMARIES_GAP_MS. Called with the lock held. */
static bool are_summaries_due_locked(const peer_client_t *client)
{
    const controller_t *controller = client->controller;
    return controller->peers.leader_channel->last_received_batch != client->summarized_batch ||
           controller->placement.generation != client->summarized_generation ||
           clock_steady() - client->summaries_sent_at > PEER_SUMMARIES_GAP_MS;
}

/* Returns the summaries that the next message carries (transfer full), or all zeros if it carries
 * none. Called with the lock held. */
static summary_update_t next_summaries_locked(peer_client_t *client)
{
    const controller_t *controller = client->controller;
    if (!are_summaries_due_locked(client))
        return (summary_update_t){0};
    if (controller->placement.generation != client->summarized_generation)
        summary_sender_reset(&client->summaries);
    client->summarized_batch = controller->peers.leader_channel->last_received_batch;
    client->summarized_generation = controller->placement.generation;
    client->summaries_sent_at = clock_steady();
    msec_t now = clock_steady();
    return summary_sender_next(&client->summaries, partition_items_summaries(controller, now), now);
}

/* Returns the address of the leader (transfer none), or NULL if the leader is not one of the
 * siblings in the settings. */
static const char *find_leader_endpoint_locked(const controller_t *controller)
{
    for (guint i = 0; i < controller->settings->siblings->len; i++) {
        const sibling_t *sibling = &g_array_index(controller->settings->siblings, sibling_t, i);
        if (strcmp(sibling->name, controller->membership.view.leader) == 0)
            return sibling->endpoint;
    }
    return NULL;
}

/* Returns the address of the leader to call (transfer none), or NULL if there is none to call:
 * this controller leads, is not a member of the view or has no records loaded, or the settings do
 * not list the leader. Called with the lock held. */
static const char *find_endpoint_to_call_locked(const controller_t *controller)
{
    if (controller->membership.is_leader || !controller->placement.is_loaded ||
        controller->membership.own_index == G_MAXUINT)
        return NULL;
    return find_leader_endpoint_locked(controller);
}

/* Returns the next message to the leader, encoded (transfer full). If there is no leader to call,
 * waits for MEMBER_TICK_MS at most and returns NULL. Takes the lock. */
static GByteArray *compose_next_message(peer_client_t *client)
{
    controller_t *controller = client->controller;
    GByteArray *frame = NULL;
    pthread_mutex_lock(&controller->lock);
    const char *endpoint = find_endpoint_to_call_locked(controller);
    if (endpoint) {
        g_strlcpy(client->leader_endpoint, endpoint, sizeof client->leader_endpoint);
        frame = peer_exchange_compose(controller, controller->peers.leader_channel,
                                      next_summaries_locked(client));
    } else {
        controller_wait(controller, &controller->peers.item_available, MEMBER_TICK_MS);
    }
    pthread_mutex_unlock(&controller->lock);
    return frame;
}

static void disconnect(peer_client_t *client)
{
    if (client->fd >= 0)
        close(client->fd);
    client->fd = -1;
}

static void connect_to_leader(peer_client_t *client)
{
    client->fd = peer_connect(client->leader_endpoint, PEER_TIMEOUT_MS);
    g_strlcpy(client->connected_endpoint, client->leader_endpoint,
              sizeof client->connected_endpoint);
    client->last_connect_at = clock_steady();
}

/* Sends the message by socket and handles the answer. Returns whether the leader answered. */
static bool exchange_by_socket(peer_client_t *client, const GByteArray *frame)
{
    controller_t *controller = client->controller;
    g_auto(peer_message_t) message = {0};
    if (!peer_exchange_call(client->fd, frame, &message))
        return false;
    pthread_mutex_lock(&controller->lock);
    partition_exchange_receive(controller, &message);
    summary_sender_acknowledge(&client->summaries, message.summaries.version);
    pthread_mutex_unlock(&controller->lock);
    return true;
}

/* Exchanges one message with the leader: by socket or, if that fails and no exchange by socket has
 * succeeded for RELAY_AFTER_MS, by relay. Returns whether the exchange by socket succeeded. */
static bool exchange_once(peer_client_t *client, const GByteArray *frame)
{
    if (strcmp(client->leader_endpoint, client->connected_endpoint) != 0)
        disconnect(client);
    bool uses_relay = clock_steady() - client->last_socket_exchange_at > RELAY_AFTER_MS;
    /* While the relay is in use, connections are attempted rarely, because during a network
     * partition each attempt blocks until it times out. */
    if (client->fd < 0 &&
        (!uses_relay || clock_steady() - client->last_connect_at > RELAY_SOCKET_GAP_MS))
        connect_to_leader(client);
    if (client->fd >= 0 && exchange_by_socket(client, frame)) {
        client->last_socket_exchange_at = clock_steady();
        return true;
    }
    if (uses_relay)
        peer_relay_exchange(client->controller, client->http, frame);
    /* The leader may or may not have received the summaries, so the next message carries all of
     * them. */
    client->summaries_sent_at = 0;
    summary_sender_reset(&client->summaries);
    disconnect(client);
    return false;
}

void *peer_client_run(void *data)
{
    peer_client_t client = {.controller = data,
                            .http = http_client_new(2),
                            .fd = -1,
                            .last_socket_exchange_at = clock_steady()};
    for (;;) {
        GByteArray *frame = compose_next_message(&client);
        if (!frame)
            continue;
        bool used_socket = exchange_once(&client, frame);
        g_byte_array_unref(frame);
        controller_sleep(used_socket ? PEER_EXCHANGE_GAP_MS : PEER_RETRY_MS);
    }
    return NULL;
}
