/* The demand for machines, which the autoscaler serves. */
#include "core/leader/demand.h"

#include "core/leader/leader_internal.h"

/* Returns how many tasks that need this amount each fit within what is left of a limit; a limit of
 * 0 is none. */
static uint32_t count_within_limit(double limit, double outstanding, double need)
{
    if (limit <= 0 || need <= 0)
        return TASKS_MAX_COUNT;
    double tasks = MAX(limit - outstanding, 0) / need + RESOURCE_EPSILON;
    return (uint32_t)MIN(tasks, (double)TASKS_MAX_COUNT);
}

/* Returns the number of pending tasks of the job that fit within the limits of its team, but at
 * most one for a job that fails repeatedly. Returns 0 for a gang of which not all tasks fit. */
static uint32_t count_demanded_tasks(const job_t *job, const team_state_t *state)
{
    const uint32_t pending = leader_pending_task_count(job);
    const resources_t *need = &job->spec.need;
    uint32_t tasks =
        MIN(pending, count_within_limit(state->team.max_cpus, state->outstanding_cpus, need->cpus));
    tasks =
        MIN(tasks, count_within_limit(state->team.max_gpus, state->outstanding_gpus, need->gpus));
    if (job->spec.kind == KIND_GANG)
        return tasks < pending ? 0 : tasks;
    return job->consecutive_errors >= JOB_ERRORS_BACKOFF_COUNT ? MIN(tasks, 1) : tasks;
}

/* Returns whether the job needs no machines now: it backs off after failures, or its completion is
 * being committed. The short back-off after a refused request does not count. Urgent work is
 * requested with preemption and refused again and again while no machine has capacity for it. */
static bool is_failing_or_complete(const job_t *job, msec_t now)
{
    bool is_failing = job->consecutive_errors >= JOB_ERRORS_BACKOFF_COUNT;
    return is_failing ? leader_is_job_blocked(job, now) : !leader_job_admits(job, now);
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
        if (!state || is_failing_or_complete(job, now))
            continue;
        job_demand_t entry = {.job = job, .team = team, .tasks = count_demanded_tasks(job, state)};
        if (entry.tasks)
            g_array_append_val(demand, entry);
    }
    return demand;
}
