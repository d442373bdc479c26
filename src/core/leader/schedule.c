/* Placement rounds: the order in which teams and jobs are served, and how many tasks each gets. */
#include "core/leader/leader_internal.h"

/* The state of a placement round. */
typedef struct schedule {
    leader_t *leader;
    GPtrArray *queues; /* for each team: GArray of queued_job_t, owned */
    guint *positions;  /* for each team: index of the next entry to serve, owned */
    GArray *requests;  /* leader_request_t, owned by the caller */
    guint max_requests;
    msec_t now;
} schedule_t;

static bool is_starvation_minimum_met(const queued_job_t *queued)
{
    return queued->starvation_minimum &&
           queued->job->outstanding_count >= queued->starvation_minimum;
}

/* Requests placement of the entry's next task, or of the whole gang. Returns false if nothing more
 * is to be requested for the entry in this round. */
static bool serve_entry(schedule_t *schedule, const team_state_t *state, const queued_job_t *queued)
{
    if (is_starvation_minimum_met(queued))
        return false;
    if (!leader_job_admits(queued->job, schedule->now))
        return false;
    if (leader_request_placement(schedule->leader, state, queued->job, schedule->requests)) {
        queued->job->last_requested_at = schedule->now;
        return true;
    }
    leader_claim_machines(schedule->leader, state, queued, schedule->now);
    return false;
}

/* Serves the team's queue from its current position until the next task would exceed the allowance,
 * which is in cpus. */
static void serve_team(schedule_t *schedule, guint team, double allowance)
{
    const team_state_t *state = &g_array_index(schedule->leader->teams, team_state_t, team);
    const GArray *queue = g_ptr_array_index(schedule->queues, team);
    guint *position = &schedule->positions[team];
    double spent = 0;
    while (*position < queue->len && schedule->requests->len < schedule->max_requests) {
        const queued_job_t *queued = &g_array_index(queue, queued_job_t, *position);
        double cost = leader_task_cost(queued);
        if (spent + cost > allowance + RESOURCE_EPSILON)
            break;
        if (serve_entry(schedule, state, queued))
            spent += cost;
        else
            (*position)++;
    }
}

/* Serves each team up to its guarantee, before any team gets more than that. */
static void serve_guarantees(schedule_t *schedule)
{
    for (guint i = 0; i < schedule->leader->teams->len; i++) {
        const team_state_t *state = &g_array_index(schedule->leader->teams, team_state_t, i);
        double cpus_left = state->team.guaranteed_cpus - state->outstanding_cpus;
        if (cpus_left > 0)
            serve_team(schedule, i, cpus_left);
    }
}

/* Serves the rest by fair share, one task at a time. */
static void serve_by_fair_share(schedule_t *schedule)
{
    while (schedule->requests->len < schedule->max_requests) {
        guint team =
            leader_next_team_by_fair_share(schedule->leader, schedule->queues, schedule->positions);
        if (team >= schedule->leader->teams->len)
            break;
        const GArray *queue = g_ptr_array_index(schedule->queues, team);
        const queued_job_t *next = &g_array_index(queue, queued_job_t, schedule->positions[team]);
        serve_team(schedule, team, leader_task_cost(next));
    }
}

GArray *leader_schedule(leader_t *leader, msec_t now, int64_t wall_clock_ms, guint max_requests)
{
    guint teams = leader->teams->len;
    leader->preempting_request_count = 0;
    leader_begin_round(leader);
    g_autoptr(GPtrArray) queues = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    for (guint i = 0; i < teams; i++)
        g_ptr_array_add(queues, leader_team_queue(leader, i, now, wall_clock_ms));
    schedule_t schedule = {.leader = leader,
                           .queues = queues,
                           .positions = g_new0(guint, MAX(teams, 1)),
                           .requests = g_array_new(FALSE, FALSE, sizeof(leader_request_t)),
                           .max_requests = max_requests,
                           .now = now};
    serve_guarantees(&schedule);
    serve_by_fair_share(&schedule);
    g_free(schedule.positions);
    return schedule.requests;
}
