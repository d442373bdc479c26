/* Admission: whether a team's quota and a job's own state permit another task now. */
#include "core/leader/leader_internal.h"

#include <string.h>

team_state_t *leader_find_team(const leader_t *leader, const char *name, guint *index)
{
    for (guint i = 0; i < leader->teams->len; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        if (strcmp(state->team.name, name) != 0)
            continue;
        if (index)
            *index = i;
        return state;
    }
    return NULL;
}

static bool is_within_limit(double outstanding, double need, double limit)
{
    return limit <= 0 || outstanding + need <= limit + RESOURCE_EPSILON;
}

bool leader_team_admits(const team_state_t *state, resources_t need)
{
    return is_within_limit(state->outstanding_cpus, need.cpus, state->team.max_cpus) &&
           is_within_limit(state->outstanding_gpus, need.gpus, state->team.max_gpus);
}

uint32_t leader_pending_task_count(const job_t *job)
{
    uint32_t taken = job->done_count + job->outstanding_count;
    return taken < job->spec.tasks ? job->spec.tasks - taken : 0;
}

bool leader_has_newest_lasted(const job_t *job, msec_t now)
{
    return job->last_requested_at == 0 || now - job->last_requested_at >= JOB_BACKOFF_MAX_MS;
}

/* A job that fails on every machine must not fill the partitions with reservations, which is a
 * known weakness of projected least-loaded placement. After repeated failures, the job gets one
 * attempt at a time, with a growing back-off between attempts. An attempt that has lasted for the
 * longest back-off does not hinder the next one: the tasks of a service never end successfully, and
 * those that run would otherwise keep the others from being started for good. */
bool leader_job_admits(const job_t *job, msec_t now)
{
    bool is_failing = job->consecutive_errors >= JOB_ERRORS_BACKOFF_COUNT;
    bool waits_for_attempt = job->outstanding_count > 0 && !leader_has_newest_lasted(job, now);
    return !job->is_completion_in_flight && !(is_failing && waits_for_attempt);
}

bool leader_is_job_blocked(const job_t *job, msec_t now)
{
    return now < job->retry_at || !leader_job_admits(job, now);
}
