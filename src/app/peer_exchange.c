/* The exchange between the leader and the partitions, by sockets or, where those fail, by relay:
 * the same messages as values in the state service, which a cut between zones leaves in reach. What
 * is late or repeated there is as harmless as on a socket, by the numbers that the messages bear.
 *
 * Each partition calls the leader, over and over: what it
 * has to tell goes with the call, what the leader wants comes with the answer, which the leader
 * holds back for a moment while it has nothing to say. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "app/node.h"
#include "io/clock.h"
#include "io/peer_protocol.h"
#include "io/relay.h"
#include "log.h"

/* With the lock held: what every message of this node begins with. */
static peer_message_t new_message(const node_t *node)
{
    peer_message_t message = {.incarnation = node->incarnation, .view = node->view.number};
    message.state_answer_age = clock_steady() - atomic_load(&node->state.answered_at);
    g_strlcpy(message.sender, node->settings->name, sizeof message.sender);
    return message;
}

/* With the lock held: one message of the exchange. */
static GByteArray *compose(const node_t *node, channel_t *channel, bool with_summaries)
{
    peer_message_t message = new_message(node);
    if (channel) {
        message.items = g_array_ref((GArray *)(void *)channel_batch(channel, PEER_BATCH));
        message.number = channel->sent;
        message.ack = channel->received;
    }
    if (with_summaries) {
        message.summaries = node_summaries(node, clock_steady());
        message.yielding = node_yielding(node);
    }
    GByteArray *frame = peer_encode(&message);
    peer_message_clear(&message);
    return frame;
}

static bool is_member(const node_t *node, const peer_message_t *message, guint *index)
{
    for (guint i = 0; i < node->view.count; i++) {
        if (strcmp(node->view.members[i].name, message->sender) == 0 &&
            node->view.members[i].incarnation == message->incarnation) {
            *index = i;
            return true;
        }
    }
    return false;
}

/* With the lock held: what counts whoever says it, and in whatever view. */
static void receive_from_any(node_t *node, const peer_message_t *message)
{
    node->superseded = MAX(node->superseded, message->view);
    node->sibling_message_at = clock_steady();
    node->siblings_answered_at =
        MAX(node->siblings_answered_at, clock_steady() - message->state_answer_age);
}

/* With the lock held: what a partition told. NULL: it is not of this view, so nothing of it counts.
 */
static channel_t *receive_from_partition(node_t *node, peer_message_t *message)
{
    guint index = 0;
    msec_t now = clock_steady();
    receive_from_any(node, message);
    if (!node->leading || !node->loaded || message->view != node->view.number ||
        !is_member(node, message, &index) || index == node->own)
        return NULL;
    channel_t *channel = g_ptr_array_index(node->channels, index);
    channel_ack(channel, message->ack);
    if (message->items->len && channel_accept(channel, message->number)) {
        for (guint i = 0; i < message->items->len; i++) {
            const channel_item_t *item = &g_array_index(message->items, channel_item_t, i);
            if (item->kind == CHANNEL_ATTEMPT_RESULT)
                node_handle_result(node, index, &item->result, now);
        }
    }
    /* Machine summaries from before the last batch of placement requests would show its resources
     * as free. */
    if (message->summaries && message->ack == channel->sent) {
        leader_set_summaries(node->leader, index, g_steal_pointer(&message->summaries));
        leader_set_yielding(node->leader, index, g_steal_pointer(&message->yielding));
    }
    node_notify(node);
    return channel;
}

static GByteArray *answer_partition(node_t *node, peer_message_t *message)
{
    pthread_mutex_lock(&node->lock);
    uint64_t generation = node->generation;
    channel_t *channel = receive_from_partition(node, message);
    guint index = 0;
    if (channel && is_member(node, message, &index))
        node->received_at[index] = clock_steady();
    msec_t until = clock_steady() + PEER_ANSWER_DELAY_MS;
    while (channel && !channel_busy(channel) && clock_steady() < until) {
        node_wait(node, &node->peer_work, PEER_ANSWER_DELAY_MS);
        if (node->generation != generation)
            channel = NULL; /* freed with its view while the lock was given up */
    }
    GByteArray *frame = compose(node, channel, false);
    pthread_mutex_unlock(&node->lock);
    return frame;
}

static bool write_relay(node_t *node, http_client_t *client, const char *inbox, const char *name,
                        const GByteArray *frame)
{
    txn_t txn = txn_new();
    guint pages = relay_write(&txn, inbox, name, frame, (gsize)(node->settings->value_kb * 1024));
    rate_limiter_charge(&node->core_rps, 1, clock_steady());
    rate_limiter_charge(&node->core_write, pages, clock_steady());
    state_result_t result = state_commit(&node->state, client, &txn, STATE_TIMEOUT_MS, NULL, NULL);
    txn_free(&txn);
    if (result == STATE_INVALID)
        log_error("event=relay_refused inbox=%s name=%s bytes=%u", inbox, name, frame->len);
    return result == STATE_OK;
}

static GArray *read_relay(node_t *node, http_client_t *client, const char *inbox, const char *name)
{
    char prefix[ID_SIZE + 16];
    GArray *entries = state_entries_new();
    g_snprintf(prefix, sizeof prefix, "mail/%s/%s", inbox, name);
    rate_limiter_charge(&node->core_rps, 1, clock_steady());
    if (state_list(&node->state, client, prefix, entries, NULL) != STATE_OK)
        g_array_set_size(entries, 0);
    GArray *relayed_messages = relay_read(entries, inbox);
    g_array_unref(entries);
    return relayed_messages;
}

/* The leader's side of the relay: answers every message that is new. */
static void answer_relay(node_t *node, http_client_t *client, GHashTable *revisions)
{
    GArray *relayed_messages = read_relay(node, client, "up", "");
    for (guint i = 0; i < relayed_messages->len; i++) {
        const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, i);
        peer_message_t message;
        if (GPOINTER_TO_SIZE(g_hash_table_lookup(revisions, relayed->name)) == relayed->revision)
            continue;
        g_hash_table_insert(revisions, g_strdup(relayed->name),
                            GSIZE_TO_POINTER(relayed->revision));
        if (!peer_decode(relayed->frame->data, relayed->frame->len, &message))
            continue;
        pthread_mutex_lock(&node->lock);
        channel_t *channel = receive_from_partition(node, &message);
        GByteArray *frame = channel ? compose(node, channel, false) : NULL;
        pthread_mutex_unlock(&node->lock);
        if (frame) {
            write_relay(node, client, "down", message.sender, frame);
            g_byte_array_unref(frame);
        }
        peer_message_clear(&message);
    }
    g_array_unref(relayed_messages);
}

/* With the lock held: some member has not called for a while. */
static bool misses_partition(const node_t *node, msec_t now)
{
    if (!node->leading || !node->loaded || now - node->loaded_at < RELAY_AFTER_MS)
        return false;
    for (guint i = 0; i < node->view.count; i++)
        if (i != node->own && now - node->received_at[i] > RELAY_AFTER_MS)
            return true;
    return false;
}

void *relay_run(void *data)
{
    node_t *node = data;
    http_client_t *client = http_client_new(2);
    GHashTable *revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (;;) {
        pthread_mutex_lock(&node->lock);
        bool missing = misses_partition(node, clock_steady());
        pthread_mutex_unlock(&node->lock);
        if (missing)
            answer_relay(node, client, revisions);
        node_sleep(RELAY_GAP_MS);
    }
    return NULL;
}

/* With the lock held: what the leader answered. */
static void receive_from_leader(node_t *node, const peer_message_t *message)
{
    receive_from_any(node, message);
    if (!node->loaded || message->view != node->view.number ||
        message->incarnation != node->view.incarnation)
        return;
    channel_ack(node->leader_channel, message->ack);
    if (!message->items->len || !channel_accept(node->leader_channel, message->number))
        return;
    for (guint i = 0; i < message->items->len; i++)
        node_handle_item(node, &g_array_index(message->items, channel_item_t, i), clock_steady());
}

/* The partition's side: a message up, and whatever message lies there for us. */
static void exchange_by_relay(node_t *node, http_client_t *client, const GByteArray *frame)
{
    peer_message_t message;
    if (!write_relay(node, client, "up", node->settings->name, frame))
        return;
    node_sleep(RELAY_GAP_MS);
    GArray *relayed_messages = read_relay(node, client, "down", node->settings->name);
    for (guint i = 0; i < relayed_messages->len; i++) {
        const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, i);
        if (strcmp(relayed->name, node->settings->name) != 0 ||
            !peer_decode(relayed->frame->data, relayed->frame->len, &message))
            continue;
        pthread_mutex_lock(&node->lock);
        receive_from_leader(node, &message);
        pthread_mutex_unlock(&node->lock);
        peer_message_clear(&message);
    }
    g_array_unref(relayed_messages);
}

/* Sends a message and takes its answer; false: none came, and the connection is of no more use. */
static bool converse(int fd, const GByteArray *frame, peer_message_t *message)
{
    GByteArray *answer = peer_send(fd, frame) ? peer_receive(fd) : NULL;
    bool valid = answer && peer_decode(answer->data, answer->len, message);
    if (answer)
        g_byte_array_unref(answer);
    return valid;
}

/* A sibling to which a thread of ours sends heartbeats. */
typedef struct {
    node_t *node;
    guint index; /* among the settings' siblings */
} heartbeat_t;

static GByteArray *compose_heartbeat(const heartbeat_t *heartbeat)
{
    node_t *node = heartbeat->node;
    pthread_mutex_lock(&node->lock);
    const cancellation_replica_t *replica = &node->cancellations.siblings[heartbeat->index];
    peer_message_t message = new_message(node);
    message.heartbeat = true;
    message.acknowledged_incarnation = replica->incarnation;
    message.acknowledged_index = replica->last_index;
    message.counts.epoch = node->job_counts.epoch;
    message.counts.version = node->job_counts.version;
    pthread_mutex_unlock(&node->lock);
    return peer_encode(&message);
}

static GByteArray *answer_heartbeat(node_t *node, const peer_message_t *message)
{
    pthread_mutex_lock(&node->lock);
    receive_from_any(node, message);
    peer_message_t answer = new_message(node);
    answer.heartbeat = true;
    answer.update = cancellation_log_update(&node->cancellations, message->acknowledged_incarnation,
                                            message->acknowledged_index, clock_steady());
    if (node->leading && node->loaded)
        answer.counts = leader_counts(node->leader, message->counts.epoch, message->counts.version,
                                      JOB_COUNTS_BATCH);
    pthread_mutex_unlock(&node->lock);
    GByteArray *frame = peer_encode(&answer);
    peer_message_clear(&answer);
    return frame;
}

/* With the lock held. A job that is over here may still be live where it is counted. */
static void receive_job_counts(node_t *node, const job_counts_update_t *update)
{
    job_counts_replica_apply(&node->job_counts, update);
    for (guint i = 0; i < update->jobs->len; i++) {
        const char *id = g_array_index(update->jobs, job_counts_t, i).job;
        if (g_hash_table_contains(node->gone, id))
            job_counts_replica_remove(&node->job_counts, id);
    }
}

/* With the lock held: what a sibling answered to a heartbeat that left at `asked`. */
static void receive_heartbeat_answer(node_t *node, guint index, const peer_message_t *message,
                                     msec_t asked)
{
    receive_from_any(node, message);
    for (guint i = 0; i < message->update.jobs->len; i++) {
        const char *id = g_ptr_array_index(message->update.jobs, i);
        if (!g_hash_table_contains(node->gone, id))
            log_info("event=cancellation_update job=%s from=%s", id, message->sender);
        node_remember(node, id, false);
    }
    cancellation_log_apply(&node->cancellations, index, &message->update, asked, clock_steady());
    if (message->view == node->view.number && message->incarnation == node->view.incarnation)
        receive_job_counts(node, &message->counts);
}

static bool send_heartbeat(const heartbeat_t *heartbeat, int fd)
{
    node_t *node = heartbeat->node;
    msec_t asked = clock_steady();
    GByteArray *frame = compose_heartbeat(heartbeat);
    peer_message_t message;
    bool answered = converse(fd, frame, &message);
    g_byte_array_unref(frame);
    if (!answered)
        return false;
    pthread_mutex_lock(&node->lock);
    receive_heartbeat_answer(node, heartbeat->index, &message, asked);
    pthread_mutex_unlock(&node->lock);
    peer_message_clear(&message);
    return true;
}

/* Every controller asks every other, whatever the view, what cancellations it told its users of:
 * without the state service nothing else says so. It also hears whether the other has the state
 * service, and of a higher view: one that is refused alone can't see that it was replaced, and
 * would hold its workers, whom the new leader then takes for dead. */
static void *heartbeat_run(void *data)
{
    const heartbeat_t *heartbeat = data;
    const sibling_t *sibling =
        &g_array_index(heartbeat->node->settings->siblings, sibling_t, heartbeat->index);
    int fd = -1;
    for (;;) {
        if (fd < 0)
            fd = peer_connect(sibling->endpoint, PEER_TIMEOUT_MS);
        if (fd >= 0 && !send_heartbeat(heartbeat, fd)) {
            close(fd);
            fd = -1;
        }
        node_sleep(HEARTBEAT_GAP_MS);
    }
    return NULL;
}

void heartbeat_start(node_t *node)
{
    for (guint i = 0; i < node->settings->siblings->len; i++) {
        heartbeat_t *heartbeat = g_new(heartbeat_t, 1);
        *heartbeat = (heartbeat_t){node, i};
        node_thread(heartbeat_run, heartbeat);
    }
}

typedef struct {
    node_t *node;
    int fd;
} peer_connection_t;

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
        GByteArray *answer = message.heartbeat ? answer_heartbeat(peer_connection->node, &message)
                                               : answer_partition(peer_connection->node, &message);
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
    node_t *node = data;
    int listener = peer_listen(node->settings->peer_listen);
    if (listener < 0) {
        log_error("event=listen_failed address=%s", node->settings->peer_listen);
        return NULL;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            node_sleep(PEER_RETRY_MS);
            continue;
        }
        peer_set_timeout(fd, PEER_IDLE_MS);
        peer_connection_t *peer_connection = g_new(peer_connection_t, 1);
        *peer_connection = (peer_connection_t){node, fd};
        pthread_detach(node_thread(peer_connection_run, peer_connection));
    }
    return NULL;
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
    if (!converse(fd, frame, &message))
        return false;
    pthread_mutex_lock(&node->lock);
    receive_from_leader(node, &message);
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
            frame = compose(node, node->leader_channel, with_summaries);
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
            exchange_by_relay(node, client, frame);
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
