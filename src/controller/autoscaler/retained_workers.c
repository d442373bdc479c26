/* Reads and publishes the lists of retained workers in the key-value store. Each controller has a
 * key with its list. */
#include "controller/autoscaler/retained_workers.h"

#include "io/clock.h"
#include "io/codec/codec.h"

/* Adds the machines of one controller's list to `retained`. value: the value of its key. */
static void add_machines(GHashTable *retained, const json_t *value)
{
    /* of const char *, borrowed from the value */
    g_autoptr(GPtrArray) machines = codec_parse_retained_workers(value);
    for (guint i = 0; i < machines->len; i++)
        g_hash_table_add(retained, g_strdup(g_ptr_array_index(machines, i)));
}

GHashTable *retained_workers_read(cloud_context_t *context)
{
    controller_t *controller = context->controller;
    g_autoptr(GHashTable) retained = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_autoptr(GArray) entries = kv_entries_new(); /* kv_entry_t */
    rate_limiter_charge(&controller->loop_request_limiter, 1, clock_steady());
    if (kv_list(&controller->kv_store, context->http_client, "kept/", entries, NULL) != KV_OK)
        return NULL;
    int64_t wall_clock_ms = clock_realtime();
    for (guint i = 0; i < entries->len; i++) {
        const json_t *value = g_array_index(entries, kv_entry_t, i).value;
        if (wall_clock_ms - codec_get_retained_time(value) <= RETAINED_FRESH_MS)
            add_machines(retained, value);
    }
    /* This controller's own entry in the store may be seconds old, so its current list is added. */
    pthread_mutex_lock(&controller->lock);
    redirection_add_retained(controller->membership.redirection, clock_steady(), retained);
    pthread_mutex_unlock(&controller->lock);
    return g_steal_pointer(&retained);
}

/* Returns the machine ids of this controller's retained workers: array of char *; transfer full. */
static GPtrArray *own_retained_machines(controller_t *controller, msec_t now)
{
    pthread_mutex_lock(&controller->lock);
    GPtrArray *machines = redirection_list_retained(controller->membership.redirection, now);
    pthread_mutex_unlock(&controller->lock);
    return machines;
}

void retained_workers_publish(cloud_context_t *context, msec_t now)
{
    controller_t *controller = context->controller;
    g_autoptr(GPtrArray) machines = own_retained_machines(controller, now);
    guint count = machines->len;
    bool has_grown = count > context->retained_count;
    msec_t gap_ms = has_grown ? RETAINED_GROWN_GAP_MS : RETAINED_WRITE_GAP_MS;
    if (count == 0 || now - context->retained_written_at <= gap_ms)
        return;
    context->retained_count = count;
    char key[URL_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "kept/%s", controller->settings->name);
    kv_txn_put(&txn, key, codec_build_retained_workers(clock_realtime(), machines), 0);
    rate_limiter_charge(&controller->loop_request_limiter, 1, now);
    kv_commit(&controller->kv_store, context->http_client, &txn, KV_TIMEOUT_MS, NULL, NULL);
    kv_txn_free(&txn);
    context->retained_written_at = now;
}
