/* Keeps the live jobs of this node as jobs/ has them. */
#include <string.h>

#include "app/node.h"
#include "io/clock.h"
#include "io/wire.h"
#include "log.h"

static void take_set(node_t *node, const kv_entry_t *entry)
{
    job_spec_t spec;
    reason_t why;
    if (!wire_parse_job(entry->value, true, &spec, &why)) {
        log_error("event=bad_job key=%s why=\"%s\"", entry->key, why.text);
        return;
    }
    node_add_job(node, &spec, entry->revision);
    job_spec_clear(&spec);
}

static const char *id_of(const char *key)
{
    return key + strlen("jobs/");
}

static void take_all(node_t *node, const GArray *entries)
{
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        g_hash_table_add(listed, (gpointer)id_of(entry->key));
        take_set(node, entry);
    }
    GPtrArray *terminal = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, node->jobs);
    while (g_hash_table_iter_next(&iter, &key, NULL))
        if (!g_hash_table_contains(listed, key))
            g_ptr_array_add(terminal, g_strdup(key));
    for (guint i = 0; i < terminal->len; i++)
        node_remove_job(node, g_ptr_array_index(terminal, i));
    g_ptr_array_unref(terminal);
    g_hash_table_unref(listed);
}

static bool read_all(node_t *node, http_client_t *client, uint64_t *revision)
{
    GArray *entries = kv_entries_new();
    msec_t sent = clock_steady();
    rate_limiter_charge(&node->core_rps, 1, sent);
    bool listed = kv_list(&node->kv_store, client, "jobs/", entries, revision) == KV_OK;
    if (listed) {
        pthread_mutex_lock(&node->lock);
        take_all(node, entries);
        node->is_jobs_synced = true;
        node->jobs_complete_until = sent;
        pthread_mutex_unlock(&node->lock);
    }
    g_array_unref(entries);
    return listed;
}

static kv_result_t watch_changes(node_t *node, http_client_t *client, uint64_t *revision)
{
    GArray *changes = kv_entries_new();
    msec_t sent = clock_steady();
    rate_limiter_charge(&node->core_rps, 1, sent);
    kv_result_t result =
        kv_watch(&node->kv_store, client, "jobs/", KV_WATCH_BLOCK_MS, revision, changes);
    if (result == KV_OK) {
        pthread_mutex_lock(&node->lock);
        for (guint i = 0; i < changes->len; i++) {
            const kv_entry_t *entry = &g_array_index(changes, kv_entry_t, i);
            if (entry->value)
                take_set(node, entry);
            else
                node_remove_job(node, id_of(entry->key));
        }
        node->jobs_complete_until = sent;
        pthread_mutex_unlock(&node->lock);
    }
    g_array_unref(changes);
    return result;
}

void *job_watch_run(void *data)
{
    node_watch(data, read_all, watch_changes);
    return NULL;
}
