#include "controller/jobs/job_watch.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/kv_watch_loop.h"
#include "io/codec/codec.h"
#include "io/log.h"

static const char jobs_prefix[] = "jobs/";

static const char *job_id_of_key(const char *key)
{
    return key + strlen(jobs_prefix);
}

static void apply_put(controller_t *controller, const kv_entry_t *entry)
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

/* Returns copies of the ids of the live jobs that are not in the set `listed` (char * keys). The
 * ids are copied because removing a job from the directory frees its id. */
static GPtrArray *copy_unlisted_ids(const controller_t *controller, GHashTable *listed)
{
    GPtrArray *unlisted = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, controller->jobs.live);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        if (!g_hash_table_contains(listed, id))
            g_ptr_array_add(unlisted, g_strdup(id));
    return unlisted;
}

static void apply_all(controller_t *controller, const GArray *entries, msec_t sent_at)
{
    /* Set of ids (char *), borrowed from the entries. */
    g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        g_hash_table_add(listed, (gpointer)job_id_of_key(entry->key));
        apply_put(controller, entry);
    }
    g_autoptr(GPtrArray) unlisted = copy_unlisted_ids(controller, listed);
    for (guint i = 0; i < unlisted->len; i++)
        job_directory_remove(controller, g_ptr_array_index(unlisted, i));
    controller->jobs.is_synced = true;
    controller->jobs.complete_until = sent_at;
}

static void apply_changes(controller_t *controller, const GArray *changes, msec_t sent_at)
{
    for (guint i = 0; i < changes->len; i++) {
        const kv_entry_t *entry = &g_array_index(changes, kv_entry_t, i);
        if (entry->value)
            apply_put(controller, entry);
        else
            job_directory_remove(controller, job_id_of_key(entry->key));
    }
    controller->jobs.complete_until = sent_at;
}

void *job_watch_run(void *data)
{
    static const kv_watch_t watch = {
        .prefix = jobs_prefix, .apply_all = apply_all, .apply_changes = apply_changes};
    kv_watch_loop_run(data, &watch);
    return NULL;
}
