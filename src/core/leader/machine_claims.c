/* Machine claims: machines that are kept for work that is too large to fit on any machine now. */
#include "core/leader/demand.h"
#include "core/leader/leader_internal.h"

#include <math.h>

/* Returns whether the machine may not be claimed now. The free resources of a claimed machine are
 * kept from work that would fit there. A series of claims therefore ends after CLAIM_MAX_MS, and a
 * new one begins CLAIM_COOLDOWN_MS later at the earliest. */
static bool is_claim_exhausted(const leader_t *leader, const char *machine, msec_t now)
{
    const machine_claim_t *claim = g_hash_table_lookup(leader->machine_claims, machine);
    return claim && now - claim->last_claimed_at < CLAIM_COOLDOWN_MS &&
           claim->last_claimed_at - claim->since_at > CLAIM_MAX_MS;
}

static void record_claim(leader_t *leader, const char *machine, msec_t now)
{
    machine_claim_t *claim = g_hash_table_lookup(leader->machine_claims, machine);
    if (!claim) {
        claim = g_new0(machine_claim_t, 1);
        claim->last_claimed_at = now - CLAIM_COOLDOWN_MS;
        g_hash_table_insert(leader->machine_claims, g_strdup(machine), claim);
    }
    if (now - claim->last_claimed_at >= CLAIM_COOLDOWN_MS)
        claim->since_at = now;
    claim->last_claimed_at = now;
}

static bool is_claimable(const leader_t *leader, const machine_summary_t *summary, const job_t *job,
                         msec_t now)
{
    const job_spec_t *spec = &job->spec;
    return summary->claim_priority <= PRIORITY_LOW && summary->accepts_starts &&
           resources_fit(spec->need, summary->total) &&
           job_spec_allows(spec, summary->type, summary->zone, summary->is_spot) &&
           leader_job_admits_zone(job, summary->zone) &&
           !is_claim_exhausted(leader, summary->machine, now);
}

/* Returns the claimable machine that lacks the fewest free cpus for a task of the job, or NULL if
 * no machine is claimable. */
static machine_summary_t *choose_machine_to_claim(leader_t *leader, const job_t *job, msec_t now)
{
    machine_summary_t *chosen = NULL;
    double least_shortfall = INFINITY;
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            leader->round.summaries_examined++;
            double shortfall = job->spec.need.cpus - summary->free.cpus;
            if (shortfall >= least_shortfall || !is_claimable(leader, summary, job, now))
                continue;
            chosen = summary;
            least_shortfall = shortfall;
        }
    }
    return chosen;
}

/* Claims one machine for a task of the job. Running small tasks free their resources one at a time,
 * and small tasks of lower priority would take them each time. A large task would then wait forever
 * although it is first in the queue. The machines that lack the fewest free cpus for it are
 * therefore claimed until it fits. Once it has run, its end frees enough for another task of its
 * size. */
static bool claim_machine(leader_t *leader, const job_t *job, priority_t claim_priority, msec_t now)
{
    guint max_claims = MAX(1, leader->round.machine_count / CLAIMED_MACHINES_DIVISOR);
    if (leader->round.claimed_count >= max_claims)
        return false;
    machine_summary_t *chosen = choose_machine_to_claim(leader, job, now);
    if (!chosen)
        return false;
    chosen->claim_priority = (int)claim_priority;
    leader->round.claimed_count++;
    record_claim(leader, chosen->machine, now);
    return true;
}

void leader_claim_machines(leader_t *leader, const team_state_t *state, const queued_job_t *queued,
                           msec_t now)
{
    const job_t *job = queued->job;
    priority_t claim_priority = job->spec.priority;
    guint wanted = MIN(leader_pending_task_count(job), CLAIMED_MACHINES_PER_JOB_COUNT);
    if (queued->starvation_minimum) {
        claim_priority = MAX(PRIORITY_HIGH, job->spec.priority);
        wanted = queued->starvation_minimum - job->outstanding_count;
    }
    if (claim_priority <= PRIORITY_LOW || !leader_team_admits(state, job->spec.need))
        return;
    while (wanted > 0 && claim_machine(leader, job, claim_priority, now))
        wanted--;
}

static void add_to_totals(leader_round_t *round, const machine_summary_t *summary)
{
    round->machine_count++;
    if (!summary->accepts_starts)
        return;
    round->max_free.cpus = MAX(round->max_free.cpus, summary->free.cpus);
    round->max_free.gpus = MAX(round->max_free.gpus, summary->free.gpus);
    round->max_free.memory = MAX(round->max_free.memory, summary->free.memory);
}

void leader_begin_round(leader_t *leader)
{
    leader->round = (leader_round_t){.summaries_examined = leader->round.summaries_examined};
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            summary->claim_priority = PRIORITY_LOW;
            add_to_totals(&leader->round, summary);
        }
    }
}
