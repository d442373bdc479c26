/* The exchange by relay: messages as values in the key-value store, where sockets fail. */
#include "controller/peer/peer_relay.h"
#include "controller/peer/peer_exchange.h"

#include <string.h>

#include "io/clock.h"
#include "io/log.h"
#include "io/relay.h"

static bool write_relay(controller_t *controller, http_client_t *client, const char *inbox,
                        const char *name, const GByteArray *frame)
{
    kv_txn_t txn = kv_txn_new();
    guint pages = relay_write(&txn, inbox, name, frame,
                              (gsize)(controller->settings->value_kb * BYTES_PER_KIB));
    rate_limiter_charge(&controller->core_request_limiter, 1, clock_steady());
    rate_limiter_charge(&controller->core_write_limiter, pages, clock_steady());
    kv_result_t result = kv_commit(&controller->kv_store, client, &txn, KV_TIMEOUT_MS, NULL, NULL);
    kv_txn_free(&txn);
    if (result == KV_INVALID)
        log_error("event=relay_refused inbox=%s name=%s bytes=%u", inbox, name, frame->len);
    return result == KV_OK;
}

static GArray *read_relay(controller_t *controller, http_client_t *client, const char *inbox,
                          const char *name)
{
    char prefix[KV_KEY_BYTES];
    GArray *entries = kv_entries_new();
    g_snprintf(prefix, sizeof prefix, "mail/%s/%s", inbox, name);
    rate_limiter_charge(&controller->core_request_limiter, 1, clock_steady());
    if (kv_list(&controller->kv_store, client, prefix, entries, NULL) != KV_OK)
        g_array_set_size(entries, 0);
    GArray *relayed_messages = relay_read(entries, inbox);
    g_array_unref(entries);
    return relayed_messages;
}

/* The leader's side of the relay: answers every message that is new. */
static void answer_relay(controller_t *controller, http_client_t *client, GHashTable *revisions)
{
    GArray *relayed_messages = read_relay(controller, client, "up", "");
    for (guint i = 0; i < relayed_messages->len; i++) {
        const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, i);
        peer_message_t message;
        if (GPOINTER_TO_SIZE(g_hash_table_lookup(revisions, relayed->name)) == relayed->revision)
            continue;
        g_hash_table_insert(revisions, g_strdup(relayed->name),
                            GSIZE_TO_POINTER(relayed->revision));
        if (!peer_decode(relayed->frame->data, relayed->frame->len, &message))
            continue;
        pthread_mutex_lock(&controller->lock);
        channel_t *channel = peer_server_receive(controller, &message);
        GByteArray *frame = channel ? peer_exchange_compose(controller, channel, NULL) : NULL;
        pthread_mutex_unlock(&controller->lock);
        if (frame) {
            write_relay(controller, client, "down", message.sender, frame);
            g_byte_array_unref(frame);
        }
        peer_message_clear(&message);
    }
    g_array_unref(relayed_messages);
}

/* With the lock held: when the member that called longest ago will have been silent for so long
 * that it may need the relay; G_MAXINT64: this controller has no partitions to serve. */
static msec_t relay_due(const controller_t *controller)
{
    msec_t due = G_MAXINT64;
    if (!controller->membership.is_leader || !controller->placement.is_loaded)
        return due;
    for (guint i = 0; i < controller->membership.view.count; i++)
        if (i != controller->membership.own_index)
            due = MIN(due, MAX(controller->peers.received_at[i], controller->placement.loaded_at) +
                               RELAY_AFTER_MS);
    return due;
}

/* Waits until some member has not called for a while. */
static void wait_for_silence(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    for (;;) {
        msec_t now = clock_steady();
        msec_t due = relay_due(controller);
        if (due < now)
            break;
        if (due == G_MAXINT64)
            pthread_cond_wait(&controller->peers.relay_ready, &controller->lock);
        else
            controller_wait(controller, &controller->peers.relay_ready, due - now + 1);
    }
    pthread_mutex_unlock(&controller->lock);
}

void *peer_relay_run(void *data)
{
    controller_t *controller = data;
    http_client_t *client = http_client_new(2);
    GHashTable *revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (;;) {
        wait_for_silence(controller);
        answer_relay(controller, client, revisions);
        controller_sleep(RELAY_GAP_MS);
    }
    return NULL;
}

void peer_relay_exchange(controller_t *controller, http_client_t *client, const GByteArray *frame)
{
    peer_message_t message;
    if (!write_relay(controller, client, "up", controller->settings->name, frame))
        return;
    controller_sleep(RELAY_GAP_MS);
    GArray *relayed_messages = read_relay(controller, client, "down", controller->settings->name);
    for (guint i = 0; i < relayed_messages->len; i++) {
        const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, i);
        if (strcmp(relayed->name, controller->settings->name) != 0 ||
            !peer_decode(relayed->frame->data, relayed->frame->len, &message))
            continue;
        pthread_mutex_lock(&controller->lock);
        peer_client_receive(controller, &message);
        pthread_mutex_unlock(&controller->lock);
        peer_message_clear(&message);
    }
    g_array_unref(relayed_messages);
}
