#include "core/partition/candidates_internal.h"
#include "core/partition/partition_internal.h"
#include "core/partition/preemption_internal.h"

#include <string.h>

/* Returns whether the team is one of the other teams whose attempts the request may preempt. */
static bool is_preemptible_team(const partition_t *partition, const placement_request_t *request,
                                const char *team)
{
    for (guint i = 0; i < partition->teams->len && i < TEAMS_MASK_BITS; i++)
        if ((request->preemptible_teams >> i & 1) &&
            strcmp(g_array_index(partition->teams, team_t, i).name, team) == 0)
            return true;
    return false;
}

static bool is_preemptible(const partition_t *partition, const attempt_t *attempt,
                           const placement_request_t *request, msec_t now)
{
    if (attempt->phase != ATTEMPT_RECORDED || !attempt->is_listed || attempt->is_stop_requested ||
        now - attempt->listed_since_at < PREEMPT_MIN_RUN_MS)
        return false;
    bool is_same_team = strcmp(attempt->entry.team, request->team) == 0;
    if (!is_same_team && !is_preemptible_team(partition, request, attempt->entry.team))
        return false;
    return attempt->entry.priority < request->priority ||
           (request->claims_guarantee && !is_same_team);
}

/* Returns the work lost by stopping the attempt, in cpu seconds: the time that it ran since its
 * start, or since its last checkpoint (on average half an interval ago), plus the cost of waiting
 * for another machine. */
static double lost_work(const attempt_t *attempt, msec_t now)
{
    double ran_s = (double)(now - attempt->listed_since_at) / MS_PER_S;
    if (attempt->entry.checkpoint_s > 0)
        ran_s = MIN(ran_s, attempt->entry.checkpoint_s / 2);
    return (ran_s + PREEMPT_RESTART_COST_S) * attempt->entry.need.cpus;
}

/* An attempt that may be preempted, and the work that this would lose. */
typedef struct preemptible_attempt {
    attempt_t *attempt; /* transfer none */
    double lost_work;   /* cpu seconds */
} preemptible_attempt_t;

/* Orders attempts by priority, lowest first, and then by lost work, least first. */
static gint compare_preemption_cost(gconstpointer left, gconstpointer right)
{
    const preemptible_attempt_t *first = left;
    const preemptible_attempt_t *second = right;
    if (first->attempt->entry.priority != second->attempt->entry.priority)
        return first->attempt->entry.priority < second->attempt->entry.priority ? -1 : 1;
    if (first->lost_work < second->lost_work)
        return -1;
    return first->lost_work > second->lost_work;
}

/* Returns the attempts on the machine that may be preempted, in the order in which to choose them:
 * array of preemptible_attempt_t (transfer full). */
static GArray *preemptible_attempts(const partition_t *partition, const machine_t *machine,
                                    const placement_request_t *request, msec_t now)
{
    GArray *attempts = g_array_new(FALSE, FALSE, sizeof(preemptible_attempt_t));
    for (guint i = 0; i < machine->attempts->len; i++) {
        preemptible_attempt_t candidate = {.attempt = machine_attempt(machine, i)};
        if (!is_preemptible(partition, candidate.attempt, request, now))
            continue;
        candidate.lost_work = lost_work(candidate.attempt, now);
        g_array_append_val(attempts, candidate);
    }
    g_array_sort(attempts, compare_preemption_cost);
    return attempts;
}

/* Returns the attempts on the machine whose preemption makes room for the request: array of
 * preemptible_attempt_t (transfer full). Returns NULL if even preempting all that may be preempted
 * does not make room. Sets *lost to the work that the preemption loses, in cpu seconds. */
static GArray *choose_attempts_to_preempt(const partition_t *partition, const machine_t *machine,
                                          const placement_request_t *request, msec_t now,
                                          double *lost)
{
    g_autoptr(GArray) attempts = preemptible_attempts(partition, machine, request, now);
    resources_t resources = machine_free_resources(machine);
    guint chosen_count = 0;
    *lost = 0;
    while (!resources_fit(request->need, resources) && chosen_count < attempts->len) {
        const preemptible_attempt_t *candidate =
            &g_array_index(attempts, preemptible_attempt_t, chosen_count);
        chosen_count++;
        resources_add(&resources, candidate->attempt->entry.need, 1);
        *lost += candidate->lost_work;
    }
    if (!resources_fit(request->need, resources))
        return NULL;
    g_array_set_size(attempts, chosen_count);
    return g_steal_pointer(&attempts);
}

/* A machine, and the attempts to preempt on it. */
typedef struct preemption {
    machine_t *machine;      /* transfer none; NULL: no machine was found */
    GArray *chosen_attempts; /* preemptible_attempt_t, owned; NULL: no machine was found */
    double lost_work;        /* cpu seconds, including the cost of fetching the image */
} preemption_t;

static preemption_t choose_preemption(const partition_t *partition,
                                      const placement_request_t *request, msec_t now)
{
    preemption_t best = {0};
    candidates_t candidates;
    candidates_init(&candidates, partition, request, now);
    for (machine_t *machine = candidates_next(&candidates); machine;
         machine = candidates_next(&candidates)) {
        double lost;
        g_autoptr(GArray) chosen_attempts =
            choose_attempts_to_preempt(partition, machine, request, now, &lost);
        lost += candidates_has_image(machine, request)
                    ? 0
                    : PREEMPT_IMAGE_FETCH_COST_S * request->need.cpus;
        if (!chosen_attempts || (best.machine && lost >= best.lost_work))
            continue;
        g_clear_pointer(&best.chosen_attempts, g_array_unref);
        best.machine = machine;
        best.chosen_attempts = g_steal_pointer(&chosen_attempts);
        best.lost_work = lost;
    }
    return best;
}

static void preempt(partition_t *partition, attempt_t *attempt, const placement_request_t *request,
                    msec_t now)
{
    partition_stop_attempt(partition, attempt, now);
    attempt->is_preempted = true;
    partition->has_preempted = true;
    if (request->priority >= PRIORITY_HIGH)
        attempt->kill_at = now; /* no time to save, since the request is to start at once */
}

machine_t *partition_preempt_for(partition_t *partition, const placement_request_t *request,
                                 msec_t now)
{
    preemption_t best = choose_preemption(partition, request, now);
    if (!best.machine)
        return NULL;
    for (guint i = 0; i < best.chosen_attempts->len; i++)
        preempt(partition, g_array_index(best.chosen_attempts, preemptible_attempt_t, i).attempt,
                request, now);
    g_array_unref(best.chosen_attempts);
    return best.machine;
}

double partition_cpus_being_preempted(const partition_t *partition, const char *team)
{
    if (!partition->has_preempted)
        return 0;
    double cpus = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const attempt_t *attempt = value;
        if (attempt->is_preempted && strcmp(attempt->entry.team, team) == 0)
            cpus += attempt->entry.need.cpus;
    }
    return cpus;
}
