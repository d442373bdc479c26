#include "controller/jobs/job_directory.h"

#include "controller/controller.h"
#include "controller/placement/command_dispatcher.h"
#include "io/clock.h"

void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision)
{
    if (g_hash_table_contains(controller->jobs.live, spec->id) ||
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
