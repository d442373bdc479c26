/* Machine claims: machines that are kept for work too large to fit anywhere now. */
#include "core/leader/leader_internal.h"

#include <math.h>
#include <string.h>

/* What a machine has free while it is claimed is kept from work that fits: not for ever. */
static bool is_claim_exhausted(const leader_t *leader, const char *machine, msec_t now)
{
    const machine_claim_t *machine_claim = g_hash_table_lookup(leader->machine_claims, machine);
    return machine_claim && now - machine_claim->last < CLAIM_REST_MS &&
           machine_claim->last - machine_claim->since > CLAIM_MAX_MS;
}

static void record_claim(leader_t *leader, const char *machine, msec_t now)
{
    machine_claim_t *machine_claim = g_hash_table_lookup(leader->machine_claims, machine);
    if (!machine_claim) {
        machine_claim = g_new0(machine_claim_t, 1);
        machine_claim->last = now - CLAIM_REST_MS;
        g_hash_table_insert(leader->machine_claims, g_strdup(machine), machine_claim);
    }
    if (now - machine_claim->last >= CLAIM_REST_MS)
        machine_claim->since = now;
    machine_claim->last = now;
}

/* Resources are freed a small task at a time, and small tasks of lower priority would take them
 * each time: a large one would wait for ever, though it goes first. So machines that lack least for
 * it are claimed until it fits; once it has, the next of its kind fits when it ends. */
static bool claim_machine(leader_t *leader, const job_t *job, priority_t below, msec_t now)
{
    const job_spec_t *spec = &job->spec;
    machine_summary_t *chosen = NULL;
    double least = INFINITY;
    if (leader->round.claimed >= MAX(1, leader->round.machines / CLAIMED_MACHINES_DIVISOR))
        return false;
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            leader->round.examined++;
            double lack = spec->need.cpus - summary->free.cpus;
            if (summary->claim_priority > PRIORITY_LOW || !summary->open || lack >= least ||
                !resources_fit(spec->need, summary->total) ||
                !job_spec_allows(spec, summary->type, summary->zone, summary->spot) ||
                (spec->zone[0] && strcmp(spec->zone, summary->zone) != 0) ||
                is_claim_exhausted(leader, summary->machine, now))
                continue;
            chosen = summary;
            least = lack;
        }
    }
    if (!chosen)
        return false;
    chosen->claim_priority = (int)below;
    leader->round.claimed++;
    record_claim(leader, chosen->machine, now);
    return true;
}

void leader_claim_machines(leader_t *leader, const team_state_t *state, const queued_job_t *queued,
                           msec_t now)
{
    const job_t *job = queued->job;
    priority_t below =
        queued->starvation_minimum ? MAX(PRIORITY_HIGH, job->spec.priority) : job->spec.priority;
    guint wanted = queued->starvation_minimum
                       ? queued->starvation_minimum - job->outstanding_count
                       : MIN(leader_job_pending(job), CLAIMED_MACHINES_PER_JOB_COUNT);
    if (!leader_team_admits(state, job->spec.need))
        return;
    while (below > PRIORITY_LOW && wanted > 0 && claim_machine(leader, job, below, now))
        wanted--;
}

void leader_begin_round(leader_t *leader)
{
    leader_round_t *round = &leader->round;
    *round = (leader_round_t){.examined = round->examined};
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            summary->claim_priority = PRIORITY_LOW;
            round->machines++;
            if (!summary->open)
                continue;
            round->most_free.cpus = MAX(round->most_free.cpus, summary->free.cpus);
            round->most_free.gpus = MAX(round->most_free.gpus, summary->free.gpus);
            round->most_free.memory = MAX(round->most_free.memory, summary->free.memory);
        }
    }
}
