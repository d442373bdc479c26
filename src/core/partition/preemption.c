/* Preemption and draining: which running work is stopped to make room for other work, or to empty a
 * machine. */
#include "core/partition/partition_internal.h"

#include <string.h>

static bool is_preemption_candidate(const partition_t *partition, const attempt_t *attempt,
                                    const placement_request_t *request, msec_t now)
{
    if (attempt->phase != ATTEMPT_RECORDED || !attempt->is_listed || attempt->is_stop_requested ||
        now - attempt->listed_since_at < PREEMPT_PROTECT_MS)
        return false;
    bool same = strcmp(attempt->entry.team, request->team) == 0;
    bool yields = same;
    for (guint i = 0; !yields && i < partition->teams->len && i < TEAMS_MASK_BITS; i++)
        yields = (request->preemptible_teams >> i & 1) &&
                 strcmp(g_array_index(partition->teams, team_t, i).name, attempt->entry.team) == 0;
    return yields &&
           (attempt->entry.priority < request->priority || (request->claims_guarantee && !same));
}

/* Work lost by a stop, in cpu seconds: what ran since the start, or since the last checkpoint, and
 * the wait for a new place. */
static double lost_work(const attempt_t *attempt, msec_t now)
{
    double ran = (double)(now - attempt->listed_since_at) / MS_PER_S;
    if (attempt->entry.checkpoint_s > 0)
        ran = MIN(ran, attempt->entry.checkpoint_s / 2);
    return (ran + PREEMPT_COST_S) * attempt->entry.need.cpus;
}

/* Cheapest first; lost work is compared as it was when the list was made. */
typedef struct preemption_candidate {
    attempt_t *attempt;
    double lost;
} preemption_candidate_t;

static gint compare_preemption_candidates(gconstpointer left, gconstpointer right)
{
    const preemption_candidate_t *first = left;
    const preemption_candidate_t *second = right;
    if (first->attempt->entry.priority != second->attempt->entry.priority)
        return first->attempt->entry.priority < second->attempt->entry.priority ? -1 : 1;
    return first->lost < second->lost ? -1 : first->lost > second->lost;
}

/* Victims that make room for the placement request on the machine, cheapest first; NULL if there is
 * no way. */
static GArray *choose_preempted_attempts(const partition_t *partition, const machine_t *machine,
                                         const placement_request_t *request, msec_t now,
                                         double *lost)
{
    GArray *preemptible_teams = g_array_new(FALSE, FALSE, sizeof(preemption_candidate_t));
    for (guint i = 0; i < machine->attempts->len; i++) {
        preemption_candidate_t victim = {.attempt = g_ptr_array_index(machine->attempts, i)};
        if (!is_preemption_candidate(partition, victim.attempt, request, now))
            continue;
        victim.lost = lost_work(victim.attempt, now);
        g_array_append_val(preemptible_teams, victim);
    }
    g_array_sort(preemptible_teams, compare_preemption_candidates);
    resources_t resources = partition_free_resources(machine);
    guint taken = 0;
    *lost = 0;
    while (!resources_fit(request->need, resources) && taken < preemptible_teams->len) {
        const preemption_candidate_t *victim =
            &g_array_index(preemptible_teams, preemption_candidate_t, taken++);
        resources_add(&resources, victim->attempt->entry.need, 1);
        *lost += victim->lost;
    }
    if (!resources_fit(request->need, resources)) {
        g_array_unref(preemptible_teams);
        return NULL;
    }
    g_array_set_size(preemptible_teams, taken);
    return preemptible_teams;
}

/* Makes room by stopping what may be stopped, where that loses least. */
machine_t *partition_preempt_for(partition_t *partition, const placement_request_t *request,
                                 msec_t now)
{
    machine_t *best = NULL;
    GArray *best_victims = NULL;
    double least = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        machine_t *machine = value;
        double lost;
        if (!partition_is_open(partition, machine, request, now))
            continue;
        GArray *preemptible_teams =
            choose_preempted_attempts(partition, machine, request, now, &lost);
        lost += partition_is_warm(machine, request) ? 0 : PREEMPT_COLD_S * request->need.cpus;
        if (preemptible_teams && (!best || lost < least)) {
            if (best_victims)
                g_array_unref(best_victims);
            best = machine;
            best_victims = preemptible_teams;
            least = lost;
        } else if (preemptible_teams) {
            g_array_unref(preemptible_teams);
        }
    }
    for (guint i = 0; best && i < best_victims->len; i++) {
        attempt_t *attempt = g_array_index(best_victims, preemption_candidate_t, i).attempt;
        partition_stop(partition, attempt, now);
        attempt->is_preempted = true;
        partition->has_preempted = true;
        if (request->priority >= PRIORITY_HIGH)
            attempt->kill_at = now; /* no time to save: the request is to start at once */
    }
    if (best_victims)
        g_array_unref(best_victims);
    return best;
}

double partition_cpus_being_preempted(const partition_t *partition, const char *team)
{
    double cpus = 0;
    GHashTableIter iter;
    gpointer value;
    if (!partition->has_preempted)
        return 0;
    g_hash_table_iter_init(&iter, partition->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const attempt_t *attempt = value;
        if (attempt->is_preempted && strcmp(attempt->entry.team, team) == 0)
            cpus += attempt->entry.need.cpus;
    }
    return cpus;
}

/* Least-loaded placement leaves a machine that is to go back with a few tasks, and a long one would
 * keep all of it for minutes. What can save goes on elsewhere, once most of the machine is empty.
 */
void partition_empty_drained(partition_t *partition, machine_t *machine, msec_t now)
{
    if (!machine->is_draining || machine->is_terminated ||
        partition_free_resources(machine).cpus < machine->capacity.cpus * DRAIN_EMPTY_FRACTION)
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->is_listed &&
            attempt->entry.checkpoint_s > 0)
            partition_stop(partition, attempt, now);
    }
}
