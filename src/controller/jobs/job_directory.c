/* The jobs that a controller knows: the live ones, those that are over, and what users were told of
 * them.
 */
#include "controller/controller.h"

#include "io/clock.h"

void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision)
{
    if (g_hash_table_contains(controller->live_jobs, spec->id) ||
        g_hash_table_contains(controller->terminal_jobs, spec->id))
        return;
    live_job_t *job = g_new0(live_job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->revision = revision;
    g_hash_table_insert(controller->live_jobs, job->spec.id, job);
    if (controller->is_loaded && controller->is_leader)
        leader_add_job(controller->leader, spec, revision);
    controller_notify_placement(controller);
}

static void cache_terminal_job(controller_t *controller, const char *id)
{
    if (g_hash_table_contains(controller->terminal_jobs, id))
        return;
    if (g_queue_get_length(controller->terminal_job_order) >= TERMINAL_JOBS_COUNT)
        g_hash_table_remove(controller->terminal_jobs,
                            g_queue_pop_head(controller->terminal_job_order));
    char *copy = g_strdup(id);
    g_hash_table_add(controller->terminal_jobs, copy);
    g_queue_push_tail(controller->terminal_job_order, copy);
}

void job_directory_remove(controller_t *controller, const char *id)
{
    cache_terminal_job(controller, id);
    if (controller->partition)
        partition_end_job(controller->partition, id);
    if (controller->leader)
        leader_end_job(controller->leader, id);
    job_counts_replica_remove(&controller->job_counts, id);
    g_hash_table_remove(controller->live_jobs, id);
    controller_notify_dispatchers(controller);
    controller_notify_placement(controller);
}

void job_directory_record_terminal(controller_t *controller, const char *id, bool done)
{
    /* Noted for the siblings before another thread can find it, or this one can tell it. */
    if (!done) {
        cancellation_log_append(&controller->cancellation_log, id, clock_steady());
        pthread_cond_broadcast(&controller->cancellation_appended);
    }
    if (g_hash_table_size(controller->terminal_states) >= TERMINAL_STATE_CACHE_COUNT)
        g_hash_table_remove_all(controller->terminal_states);
    g_hash_table_insert(controller->terminal_states, g_strdup(id),
                        GINT_TO_POINTER(done ? TERMINAL_DONE : TERMINAL_CANCELLED));
    /* The change in jobs/ may never come here: in an outage that began just after the commit this
     * controller alone went on running what it had cancelled. */
    if (!g_hash_table_contains(controller->terminal_jobs, id))
        job_directory_remove(controller, id);
}
