/* Team queues: the order of a team's jobs, and the choice of the next team by fair share. */
#include "core/leader/leader_internal.h"

#include <math.h>
#include <string.h>

/* Finds the first objective that a task started now can still meet, and lowers the entry's latest
 * start to the latest one that meets this objective. objectives is an array of double in ascending
 * order, in units of unit_ms after submission. earliest_end_ms is the end of a task that starts
 * now. */
static void apply_next_slo(const GArray *objectives, double unit_ms, double earliest_end_ms,
                           queued_job_t *queued)
{
    const job_spec_t *spec = &queued->job->spec;
    for (guint i = 0; i < objectives->len; i++) {
        double due_ms = (double)spec->submitted_ms + g_array_index(objectives, double, i) * unit_ms;
        if (due_ms < earliest_end_ms)
            continue;
        queued->latest_start_ms =
            MIN(queued->latest_start_ms, due_ms - spec->estimate_s * MS_PER_S);
        return;
    }
}

/* Returns the number of outstanding tasks that the job is to get because of its age. The order of
 * the queue alone would starve jobs under a lasting overload: large jobs, jobs of low priority and
 * jobs past their SLOs would wait forever. From the age of STARVATION_AGE_MS on, a job gets its
 * first task started, and from LONG_STARVATION_AGE_MS on a small part of its tasks at a time. */
static uint32_t starvation_minimum_tasks(const job_t *job, int64_t wall_clock_ms)
{
    int64_t age_ms = wall_clock_ms - job->spec.submitted_ms;
    if (age_ms < STARVATION_AGE_MS)
        return 0;
    if (age_ms < LONG_STARVATION_AGE_MS)
        return job->done_count > 0 ? 0 : 1;
    return 1 + job->spec.tasks / STARVING_TASKS_DIVISOR;
}

/* Returns the class's multiples of the deadline. If the class names none, the deadline itself is
 * the objective. */
static const GArray *deadline_multiples(const leader_t *leader, const slo_t *slos)
{
    return slos && slos->deadline_multiples->len ? slos->deadline_multiples
                                                 : leader->default_deadline_multiples;
}

static queued_job_t make_queue_entry(const leader_t *leader, job_t *job, int64_t wall_clock_ms)
{
    const job_spec_t *spec = &job->spec;
    queued_job_t queued = {.job = job, .latest_start_ms = INFINITY};
    queued.pending_cpu_s =
        leader_pending_task_count(job) * spec->need.cpus * MAX(spec->estimate_s, 1);
    const slo_t *slos = g_hash_table_lookup(leader->slos, spec->class_name);
    double earliest_end_ms = (double)wall_clock_ms + spec->estimate_s * MS_PER_S;
    if (spec->deadline_s > 0)
        apply_next_slo(deadline_multiples(leader, slos), spec->deadline_s * MS_PER_S,
                       earliest_end_ms, &queued);
    if (slos)
        apply_next_slo(slos->within_s, MS_PER_S, earliest_end_ms, &queued);
    return queued;
}

/* Orders true before false. */
static gint compare_true_first(bool first, bool second)
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

/* Orders queue entries. Jobs of high priority or above come first, then jobs below their starvation
 * minimum. The next criteria are priority, and whether the job can still meet an SLO. Then the job
 * with the least pending work comes first, because this meets the most SLOs if not all of them can
 * be met. The last criteria are the latest start that meets the next SLO, the submission time, and
 * the job id. */
static gint compare_queued(gconstpointer left, gconstpointer right)
{
    const queued_job_t *first = left;
    const queued_job_t *second = right;
    const job_spec_t *first_spec = &first->job->spec;
    const job_spec_t *second_spec = &second->job->spec;
    gint order = compare_true_first(is_urgent(first), is_urgent(second));
    if (order == 0)
        order = compare_true_first(first->starvation_minimum > 0, second->starvation_minimum > 0);
    if (order == 0)
        order = (gint)second_spec->priority - (gint)first_spec->priority;
    if (order == 0)
        order = compare_true_first(!isinf(first->latest_start_ms), !isinf(second->latest_start_ms));
    if (order == 0)
        order = compare_ascending(first->pending_cpu_s, second->pending_cpu_s);
    if (order == 0)
        order = compare_ascending(first->latest_start_ms, second->latest_start_ms);
    if (order == 0)
        order = compare_times(first_spec->submitted_ms, second_spec->submitted_ms);
    return order != 0 ? order : strcmp(first_spec->id, second_spec->id);
}

/* Appends the job's ordinary entry. A job below its starvation minimum gets a second entry for that
 * minimum, which is served early. */
static void append_job(const leader_t *leader, job_t *job, int64_t wall_clock_ms, GArray *queue)
{
    queued_job_t queued = make_queue_entry(leader, job, wall_clock_ms);
    g_array_append_val(queue, queued);
    queued.starvation_minimum = starvation_minimum_tasks(job, wall_clock_ms);
    if (job->outstanding_count < queued.starvation_minimum)
        g_array_append_val(queue, queued);
}

GArray *leader_team_queue(const leader_t *leader, guint team, msec_t now, int64_t wall_clock_ms)
{
    const char *name = g_array_index(leader->teams, team_state_t, team).team.name;
    GArray *queue = g_array_new(FALSE, FALSE, sizeof(queued_job_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (!leader_pending_task_count(job) || leader_is_job_blocked(job, now) ||
            strcmp(job->spec.team, name) != 0)
            continue;
        append_job(leader, job, wall_clock_ms, queue);
    }
    g_array_sort(queue, compare_queued);
    return queue;
}

double leader_task_cost(const queued_job_t *queued)
{
    return MAX(queued->job->spec.need.cpus, RESOURCE_EPSILON);
}

static bool has_deadline_or_slo(const leader_t *leader, const job_t *job)
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

/* Returns the team's weight for fair share: its guarantee, but at least a fraction of the sum of
 * all guarantees, which is the weight of a team without a guarantee. Such a team has a lower weight
 * while its next job has neither a deadline nor an SLO: that job can wait, and the resources that
 * it takes are missing for jobs that cannot wait. next is the team's next job. */
static double team_weight(const leader_t *leader, const team_state_t *state, const job_t *next,
                          double total_guaranteed)
{
    double guaranteed = state->team.guaranteed_cpus;
    double weight = MAX(MAX(guaranteed, total_guaranteed * UNGUARANTEED_TEAM_FRACTION), 1);
    bool is_best_effort_work = guaranteed <= 0 && !has_deadline_or_slo(leader, next);
    return is_best_effort_work ? weight * BEST_EFFORT_WEIGHT_FRACTION : weight;
}

/* Fair share compares cpus in use, not the number of started tasks. With equal numbers of starts,
 * tasks of five minutes would take nearly all cpus from tasks of twenty seconds. */
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
