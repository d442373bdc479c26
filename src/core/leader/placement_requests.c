/* Placement requests: one for a task, with or without preemption, and those of a whole gang. */
#include "core/leader/leader_internal.h"

/* The lowest task that is neither done nor outstanding; false: there is none. */
static bool find_pending_task(job_t *job, uint32_t *task)
{
    for (uint32_t i = job->first_pending; i < job->spec.tasks; i++) {
        if (!task_bitmap_get(job->done_bits, i) && !task_bitmap_get(job->outstanding_bits, i)) {
            *task = i;
            return true;
        }
        if (i == job->first_pending)
            job->first_pending++;
    }
    return false;
}

/* The teams whose work may be preempted for this team's, a bit each: those beyond their own
 * guarantee, without what is being preempted already. */
static uint64_t preemptible_teams(const leader_t *leader, const team_state_t *state)
{
    uint64_t mask = 0;
    for (guint i = 0; i < leader->teams->len && i < TEAMS_MASK_BITS; i++) {
        const team_state_t *other = &g_array_index(leader->teams, team_state_t, i);
        double remaining_cpus = other->outstanding_cpus - other->cpus_being_preempted;
        if (other != state && remaining_cpus > other->team.guaranteed_cpus + EPSILON)
            mask |= 1ULL << i;
    }
    return mask;
}

/* Where no machine has the resources free: writes into the request what the partition may preempt.
 * Returns whether it may preempt anything. */
static bool allow_preemption(leader_t *leader, const team_state_t *state, const job_t *job,
                             placement_request_t *request)
{
    if (leader->preempting_request_count >=
            tunable_value(leader->policy, TUNABLE_PREEMPTIONS_PER_ROUND) ||
        job->spec.needs_same_zone || job->spec.needs_spread || job->spec.kind == KIND_GANG)
        return false;
    request->preemptible_teams = preemptible_teams(leader, state);
    request->claims_guarantee =
        state->outstanding_cpus + job->spec.need.cpus <= state->team.guaranteed_cpus + EPSILON;
    /* The policy decides: preempting low work for every normal task throws away more than it brings
     * forward (measured). */
    bool is_preempting_job = tunable_for_job(leader->policy, TUNABLE_PREEMPT, &job->spec) != 0;
    request->may_preempt =
        is_preempting_job || (request->claims_guarantee && request->preemptible_teams);
    leader->preempting_request_count += request->may_preempt;
    return request->may_preempt;
}

/* Chooses the partition and the zone. Where the job's tasks bind each other the zone is decided
 * here, so that two partitions can't decide differently; else the machine is the partition's
 * choice. */
static bool choose_target(leader_t *leader, const team_state_t *state, const job_t *job,
                          leader_request_t *made)
{
    const char *zone = job->spec.zone;
    machine_summary_t *summary = leader_choose_summary(leader, job, &made->partition);
    if (summary) {
        resources_add(&summary->free, job->spec.need, -1);
        if (job->spec.needs_same_zone || job->spec.needs_spread)
            zone = summary->zone;
    } else {
        if (!allow_preemption(leader, state, job, &made->request))
            return false;
        made->partition = leader_largest_partition(leader, &job->spec);
        if (made->partition == G_MAXUINT)
            return false;
    }
    g_strlcpy(made->request.zone, zone, sizeof made->request.zone);
    return true;
}

/* Copies the job's description; the types are borrowed from it. */
static void describe_job(const job_t *job, placement_request_t *request)
{
    const job_spec_t *spec = &job->spec;
    g_strlcpy(request->job, spec->id, sizeof request->job);
    g_strlcpy(request->team, spec->team, sizeof request->team);
    g_strlcpy(request->image, spec->image, sizeof request->image);
    request->types = spec->types;
    request->need = spec->need;
    request->may_use_spot = spec->may_use_spot; /* as the operators' settings left it */
    request->is_gang = spec->kind == KIND_GANG;
    request->priority = spec->priority;
    request->save_s = spec->save_s;
    request->checkpoint_s = spec->checkpoint_s;
    request->job_revision = job->revision;
}

/* Requests one task under the current attempt number. */
static bool request_task(leader_t *leader, const team_state_t *state, job_t *job, GArray *requests)
{
    uint32_t task = 0;
    if (!leader_team_admits(state, job->spec.need) || !find_pending_task(job, &task))
        return false;
    leader_request_t made = {0};
    if (!choose_target(leader, state, job, &made))
        return false;
    placement_request_t *request = &made.request;
    describe_job(job, request);
    request->task = task;
    request->attempt = (leader->view << ATTEMPT_SHIFT_BITS) + leader->attempt_count;
    leader_outstanding_add(leader, task_ref(job->spec.id, task, request->attempt), job->spec.team,
                           job->spec.need, request->zone, made.partition);
    g_array_append_val(requests, made);
    return true;
}

static GPtrArray *copy_summaries(const leader_t *leader)
{
    GPtrArray *copies = leader_partition_arrays_new(leader->summaries->len);
    for (guint i = 0; i < copies->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        g_ptr_array_index(copies, i) = summaries ? g_array_copy(summaries) : NULL;
    }
    return copies;
}

/* Takes back the job's requests from index `first` on. */
static void withdraw_requests(leader_t *leader, job_t *job, GArray *requests, guint first)
{
    while (requests->len > first) {
        const placement_request_t *request =
            &g_array_index(requests, leader_request_t, requests->len - 1).request;
        task_ref_t ref = task_ref(request->job, request->task, request->attempt);
        leader_outstanding_drop(leader, &ref);
        job->first_pending = 0;
        g_array_set_size(requests, requests->len - 1);
    }
}

/* A gang starts whole or not at all: when one task fits nowhere, the requests for the others are
 * withdrawn, and the summaries are as before. They are few, so they are kept by a copy. */
static bool request_gang(leader_t *leader, const team_state_t *state, job_t *job, GArray *requests)
{
    guint first = requests->len;
    uint32_t wanted = leader_job_pending(job);
    if (wanted == 0)
        return false; /* true would have the job served without end */
    GPtrArray *summaries_before = copy_summaries(leader);
    leader->attempt_count++;
    uint32_t requested = 0;
    while (requested < wanted && request_task(leader, state, job, requests))
        requested++;
    bool is_whole = requested == wanted;
    if (!is_whole) {
        withdraw_requests(leader, job, requests, first);
        GPtrArray *changed = leader->summaries;
        leader->summaries = summaries_before;
        summaries_before = changed;
    }
    g_ptr_array_unref(summaries_before);
    return is_whole;
}

bool leader_request_placement(leader_t *leader, const team_state_t *state, job_t *job,
                              GArray *requests)
{
    if (job->spec.kind == KIND_GANG)
        return request_gang(leader, state, job, requests);
    leader->attempt_count++;
    return request_task(leader, state, job, requests);
}
