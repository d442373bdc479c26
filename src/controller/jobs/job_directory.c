#include "controller/jobs/job_directory.h"

#include <string.h>

#include "controller/controller.h"
#include "controller/placement/command_dispatcher.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision)
{
    /* A job that was created at a revision up to which all changes are known, but is not live, has
     * ended. */
    if (revision <= controller->jobs.revision ||
        g_hash_table_contains(controller->jobs.live, spec->id) ||
        g_hash_table_contains(controller->jobs.terminal, spec->id))
        return;
    live_job_t *job = g_new0(live_job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->revision = revision;
    g_hash_table_insert(controller->jobs.live, job->spec.id, job);
    if (controller->placement.is_loaded && controller->membership.is_leader)
        leader_add_job(controller->placement.leader, spec, revision);
    controller_notify_placement(controller);
}

static void record_terminal_id(job_directory_t *jobs, const char *id)
{
    if (g_hash_table_contains(jobs->terminal, id))
        return;
    if (g_queue_get_length(jobs->terminal_order) >= TERMINAL_JOBS_COUNT)
        g_hash_table_remove(jobs->terminal, g_queue_pop_head(jobs->terminal_order));
    char *copy = g_strdup(id);
    g_hash_table_add(jobs->terminal, copy);
    g_queue_push_tail(jobs->terminal_order, copy);
}

void job_directory_remove(controller_t *controller, const char *id)
{
    record_terminal_id(&controller->jobs, id);
    if (controller->placement.partition)
        partition_end_job(controller->placement.partition, id);
    if (controller->placement.leader)
        leader_remove_job(controller->placement.leader, id);
    job_counts_replica_remove(&controller->jobs.counts, id);
    g_hash_table_remove(controller->jobs.live, id);
    command_dispatcher_notify(controller);
    controller_notify_placement(controller);
}

void job_directory_record_terminal(controller_t *controller, const char *id, bool is_done)
{
    /* The log entry for the siblings must exist before any thread can answer a user with the
     * cancellation. */
    if (!is_done) {
        cancellation_log_append(&controller->jobs.cancellations, id, clock_steady());
        pthread_cond_broadcast(&controller->jobs.cancellation_appended);
    }
    if (g_hash_table_size(controller->jobs.terminal_states) >= TERMINAL_STATE_CACHE_COUNT)
        g_hash_table_remove_all(controller->jobs.terminal_states);
    g_hash_table_insert(controller->jobs.terminal_states, g_strdup(id),
                        GINT_TO_POINTER(is_done ? TERMINAL_DONE : TERMINAL_CANCELLED));
    /* Remove the job now, because the watch may never report the change of jobs/. Without this, in
     * an outage of the key-value store that began just after the commit, the controller that had
     * cancelled the job was the only one that kept its tasks running. */
    if (!g_hash_table_contains(controller->jobs.terminal, id))
        job_directory_remove(controller, id);
}

static const char *job_id_of_key(const char *key)
{
    return key + strlen(JOBS_PREFIX);
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

/* Returns copies of the ids of the live jobs that were created up to the list's revision and are
 * not in the set `listed` (char * keys): they have ended. The ids are copied because removing a job
 * from the directory frees its id. */
static GPtrArray *copy_unlisted_ids(const controller_t *controller, GHashTable *listed,
                                    uint64_t list_revision)
{
    GPtrArray *unlisted = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, controller->jobs.live);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const live_job_t *job = value;
        if (job->revision <= list_revision && !g_hash_table_contains(listed, id))
            g_ptr_array_add(unlisted, g_strdup(id));
    }
    return unlisted;
}

/* Records that everything that the answer to a list or a watch covers is known. The answers of the
 * readers of jobs/ may be applied in any order, so neither value may decrease. */
static void record_coverage(job_directory_t *jobs, kv_coverage_t coverage)
{
    jobs->revision = MAX(jobs->revision, coverage.revision);
    jobs->complete_until = MAX(jobs->complete_until, coverage.sent_at);
}

void job_directory_apply_list(controller_t *controller, const GArray *entries,
                              kv_coverage_t coverage)
{
    /* Set of ids (char *), borrowed from the entries. */
    g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        g_hash_table_add(listed, (gpointer)job_id_of_key(entry->key));
        apply_put(controller, entry);
    }
    g_autoptr(GPtrArray) unlisted = copy_unlisted_ids(controller, listed, coverage.revision);
    for (guint i = 0; i < unlisted->len; i++)
        job_directory_remove(controller, g_ptr_array_index(unlisted, i));
    record_coverage(&controller->jobs, coverage);
    controller->jobs.is_synced = true;
    job_directory_end_unknown_attempts(controller);
}

void job_directory_end_unknown_attempts(controller_t *controller)
{
    partition_t *partition = controller->placement.partition;
    if (partition &&
        partition_end_unknown_jobs(partition, controller->jobs.live, controller->jobs.revision))
        command_dispatcher_notify(controller);
}

void job_directory_apply_changes(controller_t *controller, const GArray *changes,
                                 kv_coverage_t coverage)
{
    for (guint i = 0; i < changes->len; i++) {
        const kv_entry_t *entry = &g_array_index(changes, kv_entry_t, i);
        if (entry->value)
            apply_put(controller, entry);
        else
            job_directory_remove(controller, job_id_of_key(entry->key));
    }
    record_coverage(&controller->jobs, coverage);
}
