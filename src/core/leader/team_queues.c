/* Team queues and quota: whose work goes first, and how much of it a team may have. */
#include "core/leader/leader_internal.h"

#include <math.h>
#include <string.h>

team_state_t *leader_team_find(const leader_t *leader, const char *name, guint *at)
{
    for (guint i = 0; i < leader->teams->len; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        if (strcmp(state->team.name, name) == 0) {
            if (at)
                *at = i;
            return state;
        }
    }
    return NULL;
}

bool leader_team_admits(const team_state_t *state, resources_t need)
{
    const team_t *team = &state->team;
    if (team->max_cpus > 0 && state->outstanding_cpus + need.cpus > team->max_cpus + EPSILON)
        return false;
    return team->max_gpus <= 0 || state->outstanding_gpus + need.gpus <= team->max_gpus + EPSILON;
}

uint32_t leader_job_pending(const job_t *job)
{
    uint32_t taken = job->done_count + job->outstanding_count;
    return taken < job->spec.tasks ? job->spec.tasks - taken : 0;
}

static void apply_next_slo(const GArray *list, double unit_ms, double ready_ms,
                           queued_job_t *queued)
{
    for (guint i = 0; list && i < list->len; i++) {
        double due =
            (double)queued->job->spec.submitted_ms + g_array_index(list, double, i) * unit_ms;
        if (due >= ready_ms) {
            queued->latest_start_ms =
                MIN(queued->latest_start_ms, due - queued->job->spec.estimate_s * MS_PER_S);
            return;
        }
    }
}

/* Whatever the order, it must not starve anyone: under a lasting overload large jobs, low ones and
 * those past their SLOs would wait for ever. One that has waited long gets its first task begun,
 * and later a small part of its tasks at a time. */
static uint32_t starvation_minimum_tasks(const job_t *job, int64_t day_ms)
{
    int64_t age = day_ms - job->spec.submitted_ms;
    if (age < STARVING_MS || (age < STARVING_LONG_MS && job->done_count > 0))
        return 0;
    return age < STARVING_LONG_MS ? 1 : 1 + job->spec.tasks / STARVING_TASKS_DIVISOR;
}

static queued_job_t queue_entry(const leader_t *leader, job_t *job, int64_t day_ms)
{
    const job_spec_t *spec = &job->spec;
    queued_job_t queued = {.job = job, .latest_start_ms = INFINITY};
    queued.work = leader_job_pending(job) * spec->need.cpus * MAX(spec->estimate_s, 1);
    const slo_t *slos = g_hash_table_lookup(leader->slos, spec->class_name);
    double ready = (double)day_ms + spec->estimate_s * MS_PER_S;
    if (spec->deadline_s > 0 && slos && slos->deadline_multiples->len)
        apply_next_slo(slos->deadline_multiples, spec->deadline_s * MS_PER_S, ready, &queued);
    else if (spec->deadline_s > 0)
        apply_next_slo(leader->deadline_slo, spec->deadline_s * MS_PER_S, ready, &queued);
    if (slos)
        apply_next_slo(slos->within_s, MS_PER_S, ready, &queued);
    return queued;
}

/* Urgent work, then what has waited too long; by priority; then what can still keep a SLO; then
 * the least work left, which keeps most SLOs where not all can be kept; then by the latest start
 * that keeps the next one; then by age. */
static gint compare_queued(gconstpointer left, gconstpointer right)
{
    const queued_job_t *first = left;
    const queued_job_t *second = right;
    bool first_urgent = first->job->spec.priority >= PRIORITY_HIGH;
    bool second_urgent = second->job->spec.priority >= PRIORITY_HIGH;
    if (first_urgent != second_urgent)
        return first_urgent ? -1 : 1;
    if (!first->starvation_minimum != !second->starvation_minimum)
        return first->starvation_minimum ? -1 : 1;
    if (first->job->spec.priority != second->job->spec.priority)
        return first->job->spec.priority > second->job->spec.priority ? -1 : 1;
    if (isinf(first->latest_start_ms) != isinf(second->latest_start_ms))
        return isinf(second->latest_start_ms) ? -1 : 1;
    if (first->work != second->work)
        return first->work < second->work ? -1 : 1;
    if (first->latest_start_ms != second->latest_start_ms)
        return first->latest_start_ms < second->latest_start_ms ? -1 : 1;
    if (first->job->spec.submitted_ms != second->job->spec.submitted_ms)
        return first->job->spec.submitted_ms < second->job->spec.submitted_ms ? -1 : 1;
    return strcmp(first->job->spec.id, second->job->spec.id);
}

/* A job that fails wherever it runs must not fill the partitions with its attempts (a soft place of
 * the design): after repeated failures it gets one attempt at a time, ever more rarely. */
bool leader_is_job_blocked(const job_t *job, msec_t now)
{
    if (job->ending || now < job->retry_at)
        return true;
    return job->errors >= JOB_ERRORS_ALARM_COUNT && job->outstanding_count > 0;
}

GArray *leader_team_queue(leader_t *leader, guint team, msec_t now, int64_t day_ms)
{
    const char *name = g_array_index(leader->teams, team_state_t, team).team.name;
    GArray *queue = g_array_new(FALSE, FALSE, sizeof(queued_job_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (!leader_job_pending(job) || leader_is_job_blocked(job, now) ||
            strcmp(job->spec.team, name) != 0)
            continue;
        queued_job_t queued = queue_entry(leader, job, day_ms);
        g_array_append_val(queue, queued);
        queued.starvation_minimum = starvation_minimum_tasks(job, day_ms);
        if (job->outstanding_count < queued.starvation_minimum)
            g_array_append_val(queue, queued);
    }
    g_array_sort(queue, compare_queued);
    return queue;
}

double leader_task_cost(const queued_job_t *queued)
{
    return MAX(queued->job->spec.need.cpus, EPSILON);
}

static bool has_objective(const leader_t *leader, const job_t *job)
{
    return job->spec.deadline_s > 0 || g_hash_table_contains(leader->slos, job->spec.class_name);
}

/* A team without a guarantee counts for less with work that nobody has set an aim for: it has time,
 * and what it takes is missed by work that has none. */
static double team_weight(const leader_t *leader, const team_state_t *state, const job_t *next,
                          double promised)
{
    double weight = MAX(MAX(state->team.guaranteed_cpus, promised * UNGUARANTEED_TEAM_FRACTION), 1);
    bool is_idle_work = state->team.guaranteed_cpus <= 0 && !has_objective(leader, next);
    return is_idle_work ? weight * IDLE_WORK_FRACTION : weight;
}

/* Whose turn it is, of those with work left from `at` on: a share is one of the resources in use,
 * not of starts: tasks of five minutes beside others of twenty seconds took nearly all of it by
 * equal starts.
 */
guint leader_next_team_by_fair_share(const leader_t *leader, const GPtrArray *queues,
                                     const guint *at)
{
    guint teams = leader->teams->len;
    guint poorest = teams;
    double least = INFINITY;
    double promised = 0;
    for (guint i = 0; i < teams; i++)
        promised += g_array_index(leader->teams, team_state_t, i).team.guaranteed_cpus;
    for (guint i = 0; i < teams; i++) {
        const team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        const GArray *queue = g_ptr_array_index(queues, i);
        if (at[i] >= queue->len)
            continue;
        const job_t *next = g_array_index(queue, queued_job_t, at[i]).job;
        double in_use = state->outstanding_cpus / team_weight(leader, state, next, promised);
        if (in_use >= least)
            continue;
        least = in_use;
        poorest = i;
    }
    return poorest;
}

/* Tasks of the job for which machines are wanted: within the team's limit, one of a job that keeps
 * failing. */
static uint32_t demanded_tasks(const job_t *job, const team_state_t *state)
{
    uint32_t tasks = leader_job_pending(job);
    if (state->team.max_cpus > 0 && job->spec.need.cpus > 0) {
        double left = MAX(state->team.max_cpus - state->outstanding_cpus, 0) / job->spec.need.cpus;
        tasks = MIN(tasks, (uint32_t)MIN(left, (double)TASKS_MAX_COUNT));
    }
    if (job->errors >= JOB_ERRORS_ALARM_COUNT)
        tasks = MIN(tasks, 1);
    return tasks;
}

GArray *leader_demand(const leader_t *leader, msec_t now)
{
    GArray *demand = g_array_new(FALSE, FALSE, sizeof(demand_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        guint team = 0;
        const team_state_t *state = leader_team_find(leader, job->spec.team, &team);
        if (!state || leader_is_job_blocked(job, now))
            continue;
        demand_t entry = {.job = job, .team = team, .tasks = demanded_tasks(job, state)};
        if (entry.tasks)
            g_array_append_val(demand, entry);
    }
    return demand;
}
