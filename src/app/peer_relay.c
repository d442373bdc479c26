/* The exchange by relay: messages as values in the key-value store, where sockets fail. */
#include "app/peer_exchange.h"

#include <string.h>

#include "io/clock.h"
#include "io/relay.h"
#include "log.h"

static bool write_relay(node_t *node, http_client_t *client, const char *inbox, const char *name,
                        const GByteArray *frame)
{
    kv_txn_t txn = kv_txn_new();
    guint pages =
        relay_write(&txn, inbox, name, frame, (gsize)(node->settings->value_kb * BYTES_PER_KIB));
    rate_limiter_charge(&node->core_rps, 1, clock_steady());
    rate_limiter_charge(&node->core_write, pages, clock_steady());
    kv_result_t result = kv_commit(&node->kv_store, client, &txn, KV_TIMEOUT_MS, NULL, NULL);
    kv_txn_free(&txn);
    if (result == KV_INVALID)
        log_error("event=relay_refused inbox=%s name=%s bytes=%u", inbox, name, frame->len);
    return result == KV_OK;
}

static GArray *read_relay(node_t *node, http_client_t *client, const char *inbox, const char *name)
{
    char prefix[KV_KEY_BYTES];
    GArray *entries = kv_entries_new();
    g_snprintf(prefix, sizeof prefix, "mail/%s/%s", inbox, name);
    rate_limiter_charge(&node->core_rps, 1, clock_steady());
    if (kv_list(&node->kv_store, client, prefix, entries, NULL) != KV_OK)
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
        channel_t *channel = peer_server_receive(node, &message);
        GByteArray *frame = channel ? peer_exchange_compose(node, channel, NULL) : NULL;
        pthread_mutex_unlock(&node->lock);
        if (frame) {
            write_relay(node, client, "down", message.sender, frame);
            g_byte_array_unref(frame);
        }
        peer_message_clear(&message);
    }
    g_array_unref(relayed_messages);
}

/* With the lock held: when the member that called longest ago will have been silent for so long
 * that it may need the relay; G_MAXINT64: this node has no partitions to serve. */
static msec_t relay_due(const node_t *node)
{
    msec_t due = G_MAXINT64;
    if (!node->is_leader || !node->is_loaded)
        return due;
    for (guint i = 0; i < node->view.count; i++)
        if (i != node->own_index)
            due = MIN(due, MAX(node->member_received_at[i], node->loaded_at) + RELAY_AFTER_MS);
    return due;
}

/* Waits until some member has not called for a while. */
static void wait_for_silence(node_t *node)
{
    pthread_mutex_lock(&node->lock);
    for (;;) {
        msec_t now = clock_steady();
        msec_t due = relay_due(node);
        if (due < now)
            break;
        if (due == G_MAXINT64)
            pthread_cond_wait(&node->relay, &node->lock);
        else
            node_wait(node, &node->relay, due - now + 1);
    }
    pthread_mutex_unlock(&node->lock);
}

void *relay_run(void *data)
{
    node_t *node = data;
    http_client_t *client = http_client_new(2);
    GHashTable *revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (;;) {
        wait_for_silence(node);
        answer_relay(node, client, revisions);
        node_sleep(RELAY_GAP_MS);
    }
    return NULL;
}

void peer_relay_exchange(node_t *node, http_client_t *client, const GByteArray *frame)
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
        peer_client_receive(node, &message);
        pthread_mutex_unlock(&node->lock);
        peer_message_clear(&message);
    }
    g_array_unref(relayed_messages);
}
