/* Keeps the live jobs of this controller as jobs/ has them. */
#include <string.h>

#include "controller/controller.h"
#include "controller/jobs/job_watch.h"
#include "controller/kv_watch_loop.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

static void take_set(controller_t *controller, const kv_entry_t *entry)
{
    job_spec_t spec;
    g_autoptr(GError) error = NULL;
    if (!codec_parse_job(entry->value, true, &spec, &error)) {
        log_error("event=bad_job key=%s why=\"%s\"", entry->key, error->message);
        return;
    }
    job_directory_add(controller, &spec, entry->revision);
    job_spec_clear(&spec);
}

static const char *id_of(const char *key)
{
    return key + strlen("jobs/");
}

static void take_all(controller_t *controller, const GArray *entries)
{
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        g_hash_table_add(listed, (gpointer)id_of(entry->key));
        take_set(controller, entry);
    }
    GPtrArray *terminal = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, controller->jobs.live);
    while (g_hash_table_iter_next(&iter, &key, NULL))
        if (!g_hash_table_contains(listed, key))
            g_ptr_array_add(terminal, g_strdup(key));
    for (guint i = 0; i < terminal->len; i++)
        job_directory_remove(controller, g_ptr_array_index(terminal, i));
    g_ptr_array_unref(terminal);
    g_hash_table_unref(listed);
}

static bool read_all(controller_t *controller, http_client_t *client, uint64_t *revision)
{
    GArray *entries = kv_entries_new();
    msec_t sent = clock_steady();
    rate_limiter_charge(&controller->core_request_limiter, 1, sent);
    bool listed = kv_list(&controller->kv_store, client, "jobs/", entries, revision) == KV_OK;
    if (listed) {
        pthread_mutex_lock(&controller->lock);
        take_all(controller, entries);
        controller->jobs.is_synced = true;
        controller->jobs.complete_until = sent;
        pthread_mutex_unlock(&controller->lock);
    }
    g_array_unref(entries);
    return listed;
}

static kv_result_t watch_changes(controller_t *controller, http_client_t *client,
                                 uint64_t *revision)
{
    GArray *changes = kv_entries_new();
    msec_t sent = clock_steady();
    rate_limiter_charge(&controller->core_request_limiter, 1, sent);
    kv_result_t result =
        kv_watch(&controller->kv_store, client, "jobs/", KV_WATCH_BLOCK_MS, revision, changes);
    if (result == KV_OK) {
        pthread_mutex_lock(&controller->lock);
        for (guint i = 0; i < changes->len; i++) {
            const kv_entry_t *entry = &g_array_index(changes, kv_entry_t, i);
            if (entry->value)
                take_set(controller, entry);
            else
                job_directory_remove(controller, id_of(entry->key));
        }
        controller->jobs.complete_until = sent;
        pthread_mutex_unlock(&controller->lock);
    }
    g_array_unref(changes);
    return result;
}

void *job_watch_run(void *data)
{
    kv_watch_loop_run(data, read_all, watch_changes);
    return NULL;
}
