#include "controller/peer/peer_server.h"
#include "controller/peer/leader_exchange.h"
#include "controller/peer/peer_exchange.h"
#include "controller/peer/peer_heartbeat.h"

#include <sys/socket.h>
#include <unistd.h>

#include "controller/threads.h"
#include "io/clock.h"
#include "io/log.h"

/* A connection that a sibling opened. Its thread owns it. */
typedef struct peer_connection {
    controller_t *controller;
    int fd;
} peer_connection_t;

/* Waits until the leader has something to send to the partition, for PEER_ANSWER_DELAY_MS at most,
 * which controller_scale_pause() may lengthen. Returns the channel, or NULL if the placement
 * generation changed during the wait, because a new view frees the channel. Called with the lock
 * held, which is released during the wait. */
static channel_t *wait_for_items_locked(controller_t *controller, channel_t *channel)
{
    uint64_t generation = controller->placement.generation;
    msec_t delay_ms = controller_scale_pause(controller, PEER_ANSWER_DELAY_MS);
    msec_t answer_due_at = clock_steady() + delay_ms;
    while (!channel_is_busy(channel) && clock_steady() < answer_due_at) {
        controller_wait(controller, &controller->peers.item_available, delay_ms);
        if (controller->placement.generation != generation)
            return NULL;
    }
    return channel;
}

/* Returns the leader's answer to a partition's call, encoded (transfer full). The answer has no
 * items if leader_exchange_receive() ignored the call, or if the placement generation changed
 * during the wait. Takes the lock. */
static GByteArray *answer_partition(controller_t *controller, peer_message_t *message)
{
    guint member = 0;
    channel_t *channel = NULL;
    summary_update_t received_summaries = {0};
    pthread_mutex_lock(&controller->lock);
    if (leader_exchange_receive(controller, message, &member)) {
        controller->peers.last_socket_call_at[member] = clock_steady();
        channel = wait_for_items_locked(controller, leader_exchange_channel(controller, member));
    }
    if (channel)
        received_summaries.version = controller->peers.summary_replicas[member].version;
    GByteArray *frame = peer_exchange_compose(controller, channel, received_summaries);
    pthread_mutex_unlock(&controller->lock);
    return frame;
}

/* Receives a call. Returns false if none arrived before the timeout, the connection failed, or the
 * bytes are not a valid message. */
static bool receive_call(int fd, peer_message_t *message)
{
    g_autoptr(GByteArray) frame = peer_receive(fd);
    return frame && peer_decode(frame->data, frame->len, message);
}

/* Receives a call and handles it. Returns the answer (transfer full), or NULL if the connection is
 * to be closed. */
static GByteArray *handle_next_call(const peer_connection_t *connection)
{
    g_auto(peer_message_t) message = {0};
    if (!receive_call(connection->fd, &message))
        return NULL;
    if (message.is_heartbeat)
        return peer_heartbeat_answer(connection->controller, &message);
    return answer_partition(connection->controller, &message);
}

/* Receives and answers one call. Returns whether the connection is still usable. */
static bool serve_call(const peer_connection_t *connection)
{
    g_autoptr(GByteArray) answer = handle_next_call(connection);
    return answer && peer_send(connection->fd, answer);
}

/* The loop of a connection's thread. Returns when the connection has ended. */
static void *peer_connection_run(void *data)
{
    peer_connection_t *connection = data;
    bool is_open = true;
    while (is_open)
        is_open = serve_call(connection);
    close(connection->fd);
    g_free(connection);
    return NULL;
}

static void start_connection(controller_t *controller, int fd)
{
    peer_set_timeout(fd, PEER_IDLE_MS);
    peer_connection_t *connection = g_new(peer_connection_t, 1);
    *connection = (peer_connection_t){.controller = controller, .fd = fd};
    pthread_detach(threads_start("peer_connection", peer_connection_run, connection));
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
        if (fd >= 0)
            start_connection(controller, fd);
        else
            controller_sleep(PEER_RETRY_MS);
    }
    return NULL;
}
