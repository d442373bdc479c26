#include "controller/peer/peer_relay.h"
#include "controller/peer/leader_exchange.h"
#include "controller/peer/partition_exchange.h"
#include "controller/peer/peer_exchange.h"

#include <string.h>

#include "io/clock.h"
#include "io/log.h"
#include "io/relay.h"

/* The due time if no member can need the relay. */
#define NEVER G_MAXINT64

/* Writes a message to the inbox under the given name, in place of the earlier one. Returns whether
 * the key-value store confirmed the write. */
static bool write_message(controller_t *controller, http_client_t *http, const char *inbox,
                          const char *name, const GByteArray *frame)
{
    kv_txn_t txn = kv_txn_new();
    guint pages = relay_write(&txn, inbox, name, frame,
                              (gsize)(controller->settings->value_kb * BYTES_PER_KIB));
    rate_limiter_charge(&controller->loop_request_limiter, 1, clock_steady());
    rate_limiter_charge(&controller->loop_write_limiter, pages, clock_steady());
    kv_result_t result = kv_commit(&controller->kv_store, http, &txn, KV_TIMEOUT_MS, NULL, NULL);
    kv_txn_free(&txn);
    if (result == KV_INVALID)
        log_error("event=relay_refused inbox=%s name=%s bytes=%u", inbox, name, frame->len);
    return result == KV_OK;
}

/* Returns the messages in the inbox whose names start with name_prefix: an array of relay_message_t
 * (transfer full), which is empty if the key-value store did not answer. */
static GArray *read_messages(controller_t *controller, http_client_t *http, const char *inbox,
                             const char *name_prefix)
{
    char prefix[KV_KEY_BYTES];
    g_autoptr(GArray) entries = kv_entries_new();
    g_snprintf(prefix, sizeof prefix, "mail/%s/%s", inbox, name_prefix);
    rate_limiter_charge(&controller->loop_request_limiter, 1, clock_steady());
    if (kv_list(&controller->kv_store, http, prefix, entries, NULL) != KV_OK)
        g_array_set_size(entries, 0);
    return relay_read(entries, inbox);
}

/* Handles a partition's message and writes the answer to the partitions' inbox. Takes the lock. */
static void answer_message(controller_t *controller, http_client_t *http,
                           const relay_message_t *relayed)
{
    g_auto(peer_message_t) message = {0};
    g_autoptr(GByteArray) answer = NULL;
    guint member = 0;
    if (!peer_decode(relayed->frame->data, relayed->frame->len, &message))
        return;
    pthread_mutex_lock(&controller->lock);
    if (leader_exchange_receive(controller, &message, &member))
        answer = peer_exchange_compose(controller, leader_exchange_channel(controller, member),
                                       (summary_update_t){0});
    pthread_mutex_unlock(&controller->lock);
    if (answer)
        write_message(controller, http, RELAY_PARTITIONS_INBOX, message.sender, answer);
}

/* Records that the message is answered, unless it was recorded before. Returns whether it was new.
 * answered_revisions maps the name of each sender (owned) to the revision (GSIZE_TO_POINTER) of its
 * message that was answered last. */
static bool record_if_new(GHashTable *answered_revisions, const relay_message_t *relayed)
{
    gpointer answered = g_hash_table_lookup(answered_revisions, relayed->name);
    if (GPOINTER_TO_SIZE(answered) == relayed->revision)
        return false;
    g_hash_table_insert(answered_revisions, g_strdup(relayed->name),
                        GSIZE_TO_POINTER(relayed->revision));
    return true;
}

/* Answers every new message in the leader's inbox. */
static void answer_messages(controller_t *controller, http_client_t *http,
                            GHashTable *answered_revisions)
{
    g_autoptr(GArray) messages = read_messages(controller, http, RELAY_LEADER_INBOX, "");
    for (guint i = 0; i < messages->len; i++) {
        const relay_message_t *relayed = &g_array_index(messages, relay_message_t, i);
        if (record_if_new(answered_revisions, relayed))
            answer_message(controller, http, relayed);
    }
}

/* Returns the time from which a member may use the relay, which is RELAY_AFTER_MS after the
 * earliest of the members' last calls by socket. For a member that has not called since the records
 * were loaded, the time of the loading counts. Returns NEVER if this controller has no partitions
 * to serve. Called with the lock held. */
static msec_t relay_due_at_locked(const controller_t *controller)
{
    msec_t due_at = NEVER;
    if (!controller->membership.is_leader || !controller->placement.is_loaded)
        return due_at;
    for (guint i = 0; i < controller->membership.view.count; i++) {
        if (i == controller->membership.own_index)
            continue;
        msec_t silent_since =
            MAX(controller->peers.last_socket_call_at[i], controller->placement.loaded_at);
        due_at = MIN(due_at, silent_since + RELAY_AFTER_MS);
    }
    return due_at;
}

/* Waits until a member may use the relay, because it has not called by socket for RELAY_AFTER_MS.
 * Takes the lock, and releases it during the wait. */
static void wait_until_relay_is_due(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    for (;;) {
        msec_t now = clock_steady();
        msec_t due_at = relay_due_at_locked(controller);
        if (due_at < now)
            break;
        if (due_at == NEVER)
            pthread_cond_wait(&controller->peers.relay_ready, &controller->lock);
        else
            controller_wait(controller, &controller->peers.relay_ready, due_at - now + 1);
    }
    pthread_mutex_unlock(&controller->lock);
}

void *peer_relay_run(void *data)
{
    controller_t *controller = data;
    http_client_t *http = http_client_new(2);
    /* See record_if_new(). */
    GHashTable *answered_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (;;) {
        wait_until_relay_is_due(controller);
        answer_messages(controller, http, answered_revisions);
        controller_sleep(RELAY_GAP_MS);
    }
    return NULL;
}

/* Handles an answer from the leader. Takes the lock. */
static void receive_answer(controller_t *controller, const relay_message_t *relayed)
{
    g_auto(peer_message_t) message = {0};
    if (!peer_decode(relayed->frame->data, relayed->frame->len, &message))
        return;
    pthread_mutex_lock(&controller->lock);
    partition_exchange_receive(controller, &message);
    pthread_mutex_unlock(&controller->lock);
}

void peer_relay_exchange(controller_t *controller, http_client_t *http, const GByteArray *frame)
{
    const char *own_name = controller->settings->name;
    if (!write_message(controller, http, RELAY_LEADER_INBOX, own_name, frame))
        return;
    controller_sleep(RELAY_GAP_MS);
    g_autoptr(GArray) messages = read_messages(controller, http, RELAY_PARTITIONS_INBOX, own_name);
    for (guint i = 0; i < messages->len; i++) {
        const relay_message_t *relayed = &g_array_index(messages, relay_message_t, i);
        /* The prefix also matches controllers whose longer names start with this one. */
        if (strcmp(relayed->name, own_name) == 0)
            receive_answer(controller, relayed);
    }
}
