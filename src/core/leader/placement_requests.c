/* Placement requests for single tasks, with or without preemption, and for gangs. */
#include "core/leader/leader_internal.h"

/* Finds the task with the lowest index that is neither done nor outstanding. Returns false if there
 * is none. */
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

/* Returns the teams whose work may be preempted for work of this team, a bit for each. These are
 * the other teams that hold more cpus than they are guaranteed, not counting cpus that are being
 * preempted already. */
static uint64_t preemptible_teams(const leader_t *leader, const team_state_t *state)
{
    uint64_t mask = 0;
    for (guint i = 0; i < leader->teams->len && i < TEAMS_MASK_BITS; i++) {
        const team_state_t *other = &g_array_index(leader->teams, team_state_t, i);
        double remaining_cpus = other->outstanding_cpus - other->cpus_being_preempted;
        if (other != state && remaining_cpus > other->team.guaranteed_cpus + RESOURCE_EPSILON)
            mask |= 1ULL << i;
    }
    return mask;
}

/* Called when no machine has the resources free. Sets in the request what the partition may
 * preempt, and returns whether it may preempt anything. */
static bool allow_preemption(leader_t *leader, const team_state_t *state, const job_t *job,
                             placement_request_t *request)
{
    if (leader->preempting_request_count >=
            tunable_value(leader->policy, TUNABLE_PREEMPTIONS_PER_ROUND) ||
        job->spec.needs_same_zone || job->spec.needs_spread || job->spec.kind == KIND_GANG)
        return false;
    request->preemptible_teams = preemptible_teams(leader, state);
    request->claims_guarantee = state->outstanding_cpus + job->spec.need.cpus <=
                                state->team.guaranteed_cpus + RESOURCE_EPSILON;
    /* The policy selects the jobs that may preempt. Preempting low-priority work for every
     * task of normal priority would lose more work than it gains. */
    bool is_preemption_enabled = tunable_for_job(leader->policy, TUNABLE_PREEMPT, &job->spec) != 0;
    request->may_preempt =
        is_preemption_enabled || (request->claims_guarantee && request->preemptible_teams);
    leader->preempting_request_count += request->may_preempt;
    return request->may_preempt;
}

/* Chooses the partition and the zone for one task. If the job has a same-zone or spread constraint,
 * the leader fixes the zone here, so that two partitions cannot choose conflicting zones. Otherwise
 * the partition chooses any machine that the job allows. Returns false if there is no partition to
 * ask. */
static bool choose_target(leader_t *leader, const team_state_t *state, const job_t *job,
                          leader_request_t *leader_request)
{
    const char *zone = job->spec.zone;
    machine_summary_t *summary = leader_choose_summary(leader, job, &leader_request->partition);
    if (summary) {
        resources_add(&summary->free, job->spec.need, -1);
        if (job->spec.needs_same_zone || job->spec.needs_spread)
            zone = summary->zone;
    } else {
        if (!allow_preemption(leader, state, job, &leader_request->request))
            return false;
        leader_request->partition = leader_largest_partition(leader, &job->spec);
        if (leader_request->partition == G_MAXUINT)
            return false;
    }
    g_strlcpy(leader_request->request.zone, zone, sizeof leader_request->request.zone);
    return true;
}

/* Copies the job's fields to the request. The types are borrowed from the job. */
static void copy_job_fields(const job_t *job, placement_request_t *request)
{
    const job_spec_t *spec = &job->spec;
    g_strlcpy(request->job, spec->id, sizeof request->job);
    g_strlcpy(request->team, spec->team, sizeof request->team);
    g_strlcpy(request->image, spec->image, sizeof request->image);
    request->types = spec->types;
    request->need = spec->need;
    request->may_use_spot = spec->may_use_spot; /* false if the policy rules out spot machines */
    request->is_gang = spec->kind == KIND_GANG;
    request->priority = spec->priority;
    request->save_s = spec->save_s;
    request->checkpoint_s = spec->checkpoint_s;
    request->job_revision = job->revision;
}

/* Requests placement of one task under the next attempt number. The caller counts the number as
 * used once all requests under it are made. */
static bool request_task(leader_t *leader, const team_state_t *state, job_t *job, GArray *requests)
{
    uint32_t task = 0;
    if (!leader_team_admits(state, job->spec.need) || !find_pending_task(job, &task))
        return false;
    leader_request_t leader_request = {0};
    if (!choose_target(leader, state, job, &leader_request))
        return false;
    placement_request_t *request = &leader_request.request;
    copy_job_fields(job, request);
    request->task = task;
    request->attempt = (leader->view << ATTEMPT_SHIFT_BITS) + leader->attempt_count + 1;
    leader_add_outstanding(leader, task_ref(job->spec.id, task, request->attempt), job->spec.team,
                           job->spec.need, request->zone, leader_request.partition);
    g_array_append_val(requests, leader_request);
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

/* Removes the job's requests from index `first` on, with their outstanding attempts. */
static void withdraw_requests(leader_t *leader, job_t *job, GArray *requests, guint first)
{
    while (requests->len > first) {
        const placement_request_t *request =
            &g_array_index(requests, leader_request_t, requests->len - 1).request;
        task_ref_t ref = task_ref(request->job, request->task, request->attempt);
        leader_remove_outstanding(leader, &ref);
        job->first_pending = 0;
        g_array_set_size(requests, requests->len - 1);
    }
}

/* Requests all pending tasks of a gang or none of them. If one task fits on no machine, the
 * requests for the others are withdrawn and the summaries are restored from a copy. The copy is
 * cheap because the summaries are few. */
static bool request_gang(leader_t *leader, const team_state_t *state, job_t *job, GArray *requests)
{
    guint first = requests->len;
    uint32_t pending_count = leader_pending_task_count(job);
    if (pending_count == 0)
        return false; /* the caller repeats the call while it returns true */
    GPtrArray *saved_summaries = copy_summaries(leader);
    uint32_t requested_count = 0;
    while (requested_count < pending_count && request_task(leader, state, job, requests))
        requested_count++;
    bool is_complete = requested_count == pending_count;
    if (is_complete) {
        leader->attempt_count++;
    } else {
        withdraw_requests(leader, job, requests, first);
        GPtrArray *modified_summaries = leader->summaries;
        leader->summaries = saved_summaries;
        saved_summaries = modified_summaries;
    }
    g_ptr_array_unref(saved_summaries);
    return is_complete;
}

bool leader_request_placement(leader_t *leader, const team_state_t *state, job_t *job,
                              GArray *requests)
{
    if (job->spec.kind == KIND_GANG)
        return request_gang(leader, state, job, requests);
    bool is_requested = request_task(leader, state, job, requests);
    leader->attempt_count += is_requested;
    return is_requested;
}

bool leader_needs_new_view(const leader_t *leader)
{
    return leader->attempt_count >= (1ULL << ATTEMPT_SHIFT_BITS) / 2;
}
