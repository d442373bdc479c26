/* Team queues: the order of a team's jobs, and the next team by fair share. */
#include "core/leader/leader_internal.h"

#include <math.h>
#include <string.h>

/* Finds the first objective that a task started now still meets, and the latest start for it.
 * objectives: array of double, in units of unit_ms after submission, ascending. */
static void apply_next_slo(const GArray *objectives, double unit_ms, double ready_ms,
                           queued_job_t *queued)
{
    const job_spec_t *spec = &queued->job->spec;
    for (guint i = 0; i < objectives->len; i++) {
        double due_ms = (double)spec->submitted_ms + g_array_index(objectives, double, i) * unit_ms;
        if (due_ms < ready_ms)
            continue;
        queued->latest_start_ms =
            MIN(queued->latest_start_ms, due_ms - spec->estimate_s * MS_PER_S);
        return;
    }
}

/* Whatever the order of the queue, it must not starve a job: under a lasting overload large jobs,
 * low ones and those past their SLOs would wait for ever. A job that has waited long gets its first
 * task started, and later a small part of its tasks at a time. */
static uint32_t starvation_minimum_tasks(const job_t *job, int64_t day_ms)
{
    int64_t age_ms = day_ms - job->spec.submitted_ms;
    if (age_ms < STARVING_MS)
        return 0;
    if (age_ms < STARVING_LONG_MS)
        return job->done_count > 0 ? 0 : 1;
    return 1 + job->spec.tasks / STARVING_TASKS_DIVISOR;
}

/* The SLOs of a class that names no multiples of the deadline have the deadline itself. */
static const GArray *deadline_multiples(const leader_t *leader, const slo_t *slos)
{
    return slos && slos->deadline_multiples->len ? slos->deadline_multiples : leader->deadline_slo;
}

static queued_job_t queue_entry(const leader_t *leader, job_t *job, int64_t day_ms)
{
    const job_spec_t *spec = &job->spec;
    queued_job_t queued = {.job = job, .latest_start_ms = INFINITY};
    queued.pending_cpu_s = leader_job_pending(job) * spec->need.cpus * MAX(spec->estimate_s, 1);
    const slo_t *slos = g_hash_table_lookup(leader->slos, spec->class_name);
    double ready_ms = (double)day_ms + spec->estimate_s * MS_PER_S;
    if (spec->deadline_s > 0)
        apply_next_slo(deadline_multiples(leader, slos), spec->deadline_s * MS_PER_S, ready_ms,
                       &queued);
    if (slos)
        apply_next_slo(slos->within_s, MS_PER_S, ready_ms, &queued);
    return queued;
}

/* Those for which it holds come first. */
static gint compare_flags(bool first, bool second)
{
    return (gint)second - (gint)first;
}

static gint compare_ascending(double first, double second)
{
    return (first > second) - (first < second);
}

static gint compare_times(int64_t first, int64_t second)
{
    return (first > second) - (first < second);
}

static bool is_urgent(const queued_job_t *queued)
{
    return queued->job->spec.priority >= PRIORITY_HIGH;
}

/* Urgent work, then jobs below their starvation minimum; by priority; then what can still meet an
 * SLO; then the least work left, which meets most SLOs where not all can be met; then by the latest
 * start that meets the next one; then by age. */
static gint compare_queued(gconstpointer left, gconstpointer right)
{
    const queued_job_t *first = left;
    const queued_job_t *second = right;
    const job_spec_t *first_spec = &first->job->spec;
    const job_spec_t *second_spec = &second->job->spec;
    gint order = compare_flags(is_urgent(first), is_urgent(second));
    if (order == 0)
        order = compare_flags(first->starvation_minimum > 0, second->starvation_minimum > 0);
    if (order == 0)
        order = (gint)second_spec->priority - (gint)first_spec->priority;
    if (order == 0)
        order = compare_flags(!isinf(first->latest_start_ms), !isinf(second->latest_start_ms));
    if (order == 0)
        order = compare_ascending(first->pending_cpu_s, second->pending_cpu_s);
    if (order == 0)
        order = compare_ascending(first->latest_start_ms, second->latest_start_ms);
    if (order == 0)
        order = compare_times(first_spec->submitted_ms, second_spec->submitted_ms);
    return order != 0 ? order : strcmp(first_spec->id, second_spec->id);
}

/* A job below its starvation minimum has two entries: one for that minimum, which goes early, and
 * its ordinary one. */
static void append_job(const leader_t *leader, job_t *job, int64_t day_ms, GArray *queue)
{
    queued_job_t queued = queue_entry(leader, job, day_ms);
    g_array_append_val(queue, queued);
    queued.starvation_minimum = starvation_minimum_tasks(job, day_ms);
    if (job->outstanding_count < queued.starvation_minimum)
        g_array_append_val(queue, queued);
}

GArray *leader_team_queue(const leader_t *leader, guint team, msec_t now, int64_t day_ms)
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
        append_job(leader, job, day_ms, queue);
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

static double total_guaranteed_cpus(const leader_t *leader)
{
    double total = 0;
    for (guint i = 0; i < leader->teams->len; i++)
        total += g_array_index(leader->teams, team_state_t, i).team.guaranteed_cpus;
    return total;
}

/* The guarantee is the weight; a team without one gets a fraction of all guarantees. Such a team
 * counts for less with work that has no objective: that work has time, and what it takes is missing
 * for work that has none. next: the team's next job. */
static double team_weight(const leader_t *leader, const team_state_t *state, const job_t *next,
                          double total_guaranteed)
{
    double guaranteed = state->team.guaranteed_cpus;
    double weight = MAX(MAX(guaranteed, total_guaranteed * UNGUARANTEED_TEAM_FRACTION), 1);
    bool is_idle_work = guaranteed <= 0 && !has_objective(leader, next);
    return is_idle_work ? weight * IDLE_WORK_FRACTION : weight;
}

/* A share is one of the cpus in use, not of starts: by equal starts, tasks of five minutes beside
 * others of twenty seconds would take nearly all cpus. */
guint leader_next_team_by_fair_share(const leader_t *leader, const GPtrArray *queues,
                                     const guint *positions)
{
    guint teams = leader->teams->len;
    guint chosen = teams;
    double least_share = INFINITY;
    double total_guaranteed = total_guaranteed_cpus(leader);
    for (guint i = 0; i < teams; i++) {
        const team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        const GArray *queue = g_ptr_array_index(queues, i);
        if (positions[i] >= queue->len)
            continue;
        const job_t *next = g_array_index(queue, queued_job_t, positions[i]).job;
        double weight = team_weight(leader, state, next, total_guaranteed);
        double share = state->outstanding_cpus / weight;
        if (share >= least_share)
            continue;
        least_share = share;
        chosen = i;
    }
    return chosen;
}
