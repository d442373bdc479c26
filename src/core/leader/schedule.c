/* Placement rounds: the requests that the partitions get for what can be placed now. */
#include "core/leader/leader_internal.h"

#include <math.h>
#include <string.h>

static bool next_task(job_t *job, uint32_t *task)
{
    for (uint32_t at = job->cursor; at < job->spec.tasks; at++) {
        if (leader_bit_get(job->done, at) || leader_bit_get(job->outstanding, at)) {
            if (at == job->cursor)
                job->cursor++;
            continue;
        }
        *task = at;
        return true;
    }
    return false;
}

static bool summary_admits(const machine_summary_t *summary, const job_spec_t *spec,
                           const char *zone)
{
    return summary->open && (int)spec->priority >= summary->claim_priority &&
           (!zone[0] || strcmp(zone, summary->zone) == 0) &&
           job_spec_allows(spec, summary->type, summary->zone, summary->spot) &&
           resources_fit(spec->need, summary->free);
}

/* Whether the job's other tasks let one more stand in the zone. */
static bool zone_open(const job_t *job, const char *zone)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    if (job->spec.same_zone) {
        g_hash_table_iter_init(&iter, job->zone_outstanding);
        while (g_hash_table_iter_next(&iter, &key, &value))
            if (GPOINTER_TO_INT(value) > 0 && strcmp(key, zone) != 0)
                return false;
    }
    if (job->spec.spread) {
        int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_outstanding, zone));
        return count + 1 <= (int)((job->spec.tasks + 1) / 2);
    }
    return true;
}

/* The projected pressure of the machine with one more task of the job. */
static double pressure_with(const machine_summary_t *summary, const job_t *job)
{
    double cpus = summary->free.cpus - job->spec.need.cpus;
    double memory = summary->free.memory - job->spec.need.memory;
    return MAX(1 - cpus / MAX(summary->total.cpus, EPSILON),
               1 - memory / MAX(summary->total.memory, EPSILON));
}

/* The machine of a partition that takes the task and would have the least pressure with it; NULL:
 * none. cpus: what is free on all that take it. */
static machine_summary_t *best_of_partition(const job_t *job, GArray *summaries, double *cpus)
{
    bool zoned = job->spec.same_zone || job->spec.spread;
    double lowest = INFINITY;
    machine_summary_t *best = NULL;
    *cpus = 0;
    for (guint i = 0; summaries && i < summaries->len; i++) {
        machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        if (!summary_admits(summary, &job->spec, "") || (zoned && !zone_open(job, summary->zone)))
            continue;
        *cpus += summary->free.cpus;
        double pressure = pressure_with(summary, job);
        if (pressure < lowest) {
            lowest = pressure;
            best = summary;
        }
    }
    return best;
}

/* The partition with most free resources on machines that take the task, and the summary of the
 * machine that it would book. */
static machine_summary_t *choose_summary(leader_t *leader, const job_t *job, guint *partition)
{
    machine_summary_t *chosen = NULL;
    double most = -1;
    if (!resources_fit(job->spec.need, leader->round.most_free))
        return NULL;
    for (guint i = 0; i < leader->summaries->len; i++) {
        double cpus = 0;
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        machine_summary_t *best = best_of_partition(job, summaries, &cpus);
        leader->round.examined += summaries ? summaries->len : 0;
        if (best && cpus > most) {
            most = cpus;
            chosen = best;
            *partition = i;
        }
    }
    return chosen;
}

/* Whose work may be stopped for this team's: that of teams beyond their own guarantee. */
static uint64_t borrowers(const leader_t *leader, const team_state_t *state)
{
    uint64_t mask = 0;
    for (guint i = 0; i < leader->teams->len && i < TEAMS_MASK_BITS; i++) {
        const team_state_t *other = &g_array_index(leader->teams, team_state_t, i);
        if (other != state && other->outstanding_cpus - other->cpus_being_preempted >
                                  other->team.guaranteed_cpus + EPSILON)
            mask |= 1ULL << i;
    }
    return mask;
}

/* Where no resources are free: the partition may stop what the protocol lets it stop, if that is
 * little. */
static bool may_preempt(leader_t *leader, const team_state_t *state, const job_t *job,
                        placement_request_t *request)
{
    if (leader->preempting >= tunable_value(leader->policy, TUNABLE_PREEMPTIONS_PER_ROUND) ||
        job->spec.same_zone || job->spec.spread || job->spec.kind == KIND_GANG)
        return false;
    request->preemptible_teams = borrowers(leader, state);
    request->claims_guarantee =
        state->outstanding_cpus + job->spec.need.cpus <= state->team.guaranteed_cpus + EPSILON;
    /* Measured: stopping low work for every normal task threw away more than it brought forward. */
    bool wanted = tunable_for_job(leader->policy, TUNABLE_PREEMPT, &job->spec) != 0;
    request->may_preempt = wanted || (request->claims_guarantee && request->preemptible_teams);
    leader->preempting += request->may_preempt;
    return request->may_preempt;
}

/* The partition with most resources that the job may use, whoever has them now; G_MAXUINT: none has
 * any, and a request would only come back. */
static guint largest_partition(const leader_t *leader, const job_spec_t *spec)
{
    guint largest = G_MAXUINT;
    double most = 0;
    for (guint i = 0; i < leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(leader->summaries, i);
        double cpus = 0;
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (summary->open && job_spec_allows(spec, summary->type, summary->zone, summary->spot))
                cpus += summary->total.cpus;
        }
        if (cpus > most) {
            most = cpus;
            largest = i;
        }
    }
    return largest;
}

/* One task, under the attempt number that the count stands at. */
static bool request_task(leader_t *leader, team_state_t *state, job_t *job, GArray *requests)
{
    uint32_t task;
    guint partition = 0;
    if (!leader_team_admits(state, job->spec.need) || !next_task(job, &task))
        return false;
    machine_summary_t *summary = choose_summary(leader, job, &partition);
    leader_request_t made = {0};
    placement_request_t *request = &made.request;
    if (summary)
        resources_add(&summary->free, job->spec.need, -1);
    else if (!may_preempt(leader, state, job, request) ||
             (partition = largest_partition(leader, &job->spec)) == G_MAXUINT)
        return false;
    made.partition = partition;
    g_strlcpy(request->job, job->spec.id, sizeof request->job);
    g_strlcpy(request->team, job->spec.team, sizeof request->team);
    g_strlcpy(request->image, job->spec.image, sizeof request->image);
    /* Where the job's tasks bind each other, the zone is decided here and now, so that two
     * partitions can't decide differently; else the machine is the partition's choice. */
    if (job->spec.same_zone || job->spec.spread)
        g_strlcpy(request->zone, summary->zone, sizeof request->zone);
    else
        g_strlcpy(request->zone, job->spec.zone, sizeof request->zone);
    request->types = job->spec.types;
    request->need = job->spec.need;
    request->spot = job->spec.spot; /* as the operators' settings left it */
    request->gang = job->spec.kind == KIND_GANG;
    request->priority = job->spec.priority;
    request->save_s = job->spec.save_s;
    request->checkpoint_s = job->spec.checkpoint_s;
    request->job_revision = job->revision;
    request->task = task;
    request->attempt = (leader->view << ATTEMPT_SHIFT_BITS) + leader->count;
    leader_outstanding_add(leader, task_ref(job->spec.id, task, request->attempt), job->spec.team,
                           job->spec.need, request->zone, partition);
    g_array_append_val(requests, made);
    return true;
}

static bool request_one(leader_t *leader, team_state_t *state, job_t *job, GArray *requests)
{
    leader->count++;
    return request_task(leader, state, job, requests);
}

/* A gang starts whole or not at all: what was requested of it is taken back when one task finds no
 * room. The summaries are few, so their state is kept by a copy. */
static bool request_gang(leader_t *leader, team_state_t *state, job_t *job, GArray *requests)
{
    guint first = requests->len;
    uint32_t wanted = leader_job_pending(job);
    if (wanted == 0)
        return false; /* else this job would be served for ever */
    GPtrArray *saved = g_ptr_array_new();
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        g_ptr_array_add(saved, summaries ? g_array_copy(summaries) : NULL);
    }
    leader->count++;
    for (uint32_t i = 0; i < wanted; i++)
        if (!request_task(leader, state, job, requests))
            break;
    bool whole = requests->len - first == wanted;
    while (!whole && requests->len > first) {
        const placement_request_t *request =
            &g_array_index(requests, leader_request_t, requests->len - 1).request;
        task_ref_t ref = task_ref(request->job, request->task, request->attempt);
        leader_outstanding_drop(leader, &ref);
        job->cursor = 0;
        g_array_set_size(requests, requests->len - 1);
    }
    for (guint i = 0; i < saved->len; i++) {
        if (whole)
            leader_array_free(g_ptr_array_index(saved, i));
        else
            leader_set_summaries(leader, i, g_ptr_array_index(saved, i));
    }
    g_ptr_array_unref(saved);
    return whole;
}

/* Serves one team's turn: from `at` on, until its allowance is spent. */
static void serve_turn(leader_t *leader, team_state_t *state, GArray *queue, guint *at,
                       double allowance, GArray *requests, guint most, msec_t now)
{
    double spent = 0;
    while (*at < queue->len && requests->len < most) {
        const queued_job_t *queued = &g_array_index(queue, queued_job_t, *at);
        job_t *job = queued->job;
        double cost = leader_task_cost(queued);
        if (spent + cost > allowance + EPSILON)
            break;
        bool gang = job->spec.kind == KIND_GANG;
        if (queued->starvation_minimum && job->outstanding_count >= queued->starvation_minimum) {
            (*at)++;
        } else if (leader_is_job_blocked(job, G_MAXINT64 - 1) ||
                   !(gang ? request_gang : request_one)(leader, state, job, requests)) {
            leader_claim_machines(leader, state, queued, now);
            (*at)++; /* nothing more of this job for now */
        } else {
            spent += cost;
        }
    }
}

GArray *leader_schedule(leader_t *leader, msec_t now, int64_t day_ms, guint most)
{
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(leader_request_t));
    guint teams = leader->teams->len;
    leader->preempting = 0;
    leader_begin_round(leader);
    GPtrArray *queues = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    guint *at = g_new0(guint, MAX(teams, 1));
    for (guint i = 0; i < teams; i++)
        g_ptr_array_add(queues, leader_team_queue(leader, i, now, day_ms));
    /* What stays within a guarantee waits for no other team. */
    for (guint i = 0; i < teams; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        double left = state->team.guaranteed_cpus - state->outstanding_cpus;
        if (left > 0)
            serve_turn(leader, state, g_ptr_array_index(queues, i), &at[i], left, requests, most,
                       now);
    }
    /* The rest goes a task at a time to the team that holds least for its weight. */
    for (guint i; requests->len < most &&
                  (i = leader_next_team_by_fair_share(leader, queues, at)) < teams;) {
        GArray *queue = g_ptr_array_index(queues, i);
        serve_turn(leader, &g_array_index(leader->teams, team_state_t, i), queue, &at[i],
                   leader_task_cost(&g_array_index(queue, queued_job_t, at[i])), requests, most,
                   now);
    }
    g_free(at);
    g_ptr_array_unref(queues);
    return requests;
}
