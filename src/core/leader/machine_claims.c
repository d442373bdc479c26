/* Machine claims: machines that are kept for work too large to fit anywhere now. */
#include "core/leader/leader_internal.h"

#include <math.h>

/* While a machine is claimed, what it has free is kept from work that would fit: so a claim ends
 * after a while, and the machine rests before the next. */
static bool is_claim_exhausted(const leader_t *leader, const char *machine, msec_t now)
{
    const machine_claim_t *claim = g_hash_table_lookup(leader->machine_claims, machine);
    return claim && now - claim->last_claimed_at < CLAIM_REST_MS &&
           claim->last_claimed_at - claim->since_at > CLAIM_MAX_MS;
}

static void record_claim(leader_t *leader, const char *machine, msec_t now)
{
    machine_claim_t *claim = g_hash_table_lookup(leader->machine_claims, machine);
    if (!claim) {
        claim = g_new0(machine_claim_t, 1);
        claim->last_claimed_at = now - CLAIM_REST_MS;
        g_hash_table_insert(leader->machine_claims, g_strdup(machine), claim);
    }
    if (now - claim->last_claimed_at >= CLAIM_REST_MS)
        claim->since_at = now;
    claim->last_claimed_at = now;
}

static bool is_claimable(const leader_t *leader, const machine_summary_t *summary,
                         const job_spec_t *spec, msec_t now)
{
    return summary->claim_priority <= PRIORITY_LOW && summary->is_open &&
           resources_fit(spec->need, summary->total) &&
           job_spec_allows(spec, summary->type, summary->zone, summary->is_spot) &&
           !is_claim_exhausted(leader, summary->machine, now);
}

/* The claimable machine that lacks the fewest cpus for a task of the job; NULL: none. */
static machine_summary_t *choose_machine_to_claim(leader_t *leader, const job_spec_t *spec,
                                                  msec_t now)
{
    machine_summary_t *chosen = NULL;
    double least_lack = INFINITY;
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            leader->round.summaries_examined++;
            double lack = spec->need.cpus - summary->free.cpus;
            if (lack >= least_lack || !is_claimable(leader, summary, spec, now))
                continue;
            chosen = summary;
            least_lack = lack;
        }
    }
    return chosen;
}

/* Resources are freed a small task at a time, and small tasks of lower priority would take them
 * each time: a large one would wait for ever, though it goes first. So the machines that lack least
 * for it are claimed until it fits; once it has run, the next of its size fits when it ends. */
static bool claim_machine(leader_t *leader, const job_t *job, priority_t below, msec_t now)
{
    guint most_claims = MAX(1, leader->round.machine_count / CLAIMED_MACHINES_DIVISOR);
    if (leader->round.claimed_count >= most_claims)
        return false;
    machine_summary_t *chosen = choose_machine_to_claim(leader, &job->spec, now);
    if (!chosen)
        return false;
    chosen->claim_priority = (int)below;
    leader->round.claimed_count++;
    record_claim(leader, chosen->machine, now);
    return true;
}

void leader_claim_machines(leader_t *leader, const team_state_t *state, const queued_job_t *queued,
                           msec_t now)
{
    const job_t *job = queued->job;
    priority_t below = job->spec.priority;
    guint wanted = MIN(leader_job_pending(job), CLAIMED_MACHINES_PER_JOB_COUNT);
    if (queued->starvation_minimum) {
        below = MAX(PRIORITY_HIGH, job->spec.priority);
        wanted = queued->starvation_minimum - job->outstanding_count;
    }
    if (below <= PRIORITY_LOW || !leader_team_admits(state, job->spec.need))
        return;
    while (wanted > 0 && claim_machine(leader, job, below, now))
        wanted--;
}

static void add_machine(leader_round_t *round, const machine_summary_t *summary)
{
    round->machine_count++;
    if (!summary->is_open)
        return;
    round->most_free.cpus = MAX(round->most_free.cpus, summary->free.cpus);
    round->most_free.gpus = MAX(round->most_free.gpus, summary->free.gpus);
    round->most_free.memory = MAX(round->most_free.memory, summary->free.memory);
}

void leader_begin_round(leader_t *leader)
{
    leader->round = (leader_round_t){.summaries_examined = leader->round.summaries_examined};
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            summary->claim_priority = PRIORITY_LOW;
            add_machine(&leader->round, summary);
        }
    }
}
