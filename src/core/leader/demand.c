/* The demand for machines, which the autoscaler serves. */
#include "core/leader/demand.h"

#include "core/leader/leader_internal.h"

/* Returns the number of pending tasks of the job that fit within the cpu limit of its team, but at
 * most one for a job that fails repeatedly. */
static uint32_t count_demanded_tasks(const job_t *job, const team_state_t *state)
{
    uint32_t tasks = leader_pending_task_count(job);
    if (state->team.max_cpus > 0 && job->spec.need.cpus > 0) {
        double cpus_left = MAX(state->team.max_cpus - state->outstanding_cpus, 0);
        double tasks_left = cpus_left / job->spec.need.cpus;
        tasks = MIN(tasks, (uint32_t)MIN(tasks_left, (double)TASKS_MAX_COUNT));
    }
    if (job->consecutive_errors >= JOB_ERRORS_BACKOFF_COUNT)
        tasks = MIN(tasks, 1);
    return tasks;
}

GArray *leader_demand(const leader_t *leader, msec_t now)
{
    GArray *demand = g_array_new(FALSE, FALSE, sizeof(job_demand_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        guint team = 0;
        const team_state_t *state = leader_find_team(leader, job->spec.team, &team);
        if (!state || leader_is_job_blocked(job, now))
            continue;
        job_demand_t entry = {.job = job, .team = team, .tasks = count_demanded_tasks(job, state)};
        if (entry.tasks)
            g_array_append_val(demand, entry);
    }
    return demand;
}
