#include "core/leader.h"

#include <math.h>
#include <string.h>

static bool bit_get(const uint8_t *bits, uint32_t at)
{
    return bits[at / 8] >> (at % 8) & 1;
}

static void bit_set(uint8_t *bits, uint32_t at, bool value)
{
    if (value)
        bits[at / 8] |= (uint8_t)(1u << (at % 8));
    else
        bits[at / 8] &= (uint8_t) ~(1u << (at % 8));
}

static void job_free(gpointer data)
{
    job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job->done);
    g_free(job->outstanding);
    g_array_unref(job->chunk_revisions);
    g_array_unref(job->unacknowledged);
    if (job->acknowledging)
        g_array_unref(job->acknowledging);
    g_hash_table_unref(job->zone_outstanding);
    g_free(job);
}

static void array_free(gpointer data)
{
    if (data)
        g_array_unref(data);
}

leader_t *leader_new(const GArray *teams, GHashTable *targets, const policy_t *policy,
                     guint partitions)
{
    leader_t *leader = g_new0(leader_t, 1);
    leader->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    leader->outstanding = g_hash_table_new_full(task_ref_hash, task_ref_equal, NULL, g_free);
    leader->teams = g_array_new(FALSE, TRUE, sizeof(team_state_t));
    for (guint i = 0; i < teams->len; i++) {
        team_state_t state = {.team = g_array_index(teams, team_t, i)};
        g_array_append_val(leader->teams, state);
    }
    leader->targets = targets;
    leader->policy = policy;
    leader->failure_records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader->machine_claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const double once = 1;
    leader->single_target = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_val(leader->single_target, once);
    leader->summaries = g_ptr_array_new_with_free_func(array_free);
    g_ptr_array_set_size(leader->summaries, (gint)partitions);
    leader->yielding = g_ptr_array_new_with_free_func(array_free);
    g_ptr_array_set_size(leader->yielding, (gint)partitions);
    return leader;
}

void leader_free(leader_t *leader)
{
    g_hash_table_unref(leader->jobs);
    g_hash_table_unref(leader->outstanding);
    g_array_unref(leader->teams);
    g_ptr_array_unref(leader->summaries);
    g_ptr_array_unref(leader->yielding);
    g_array_unref(leader->single_target);
    g_hash_table_unref(leader->failure_records);
    g_hash_table_unref(leader->machine_claims);
    g_free(leader);
}

void leader_set_view(leader_t *leader, uint64_t view)
{
    leader->view = view;
    leader->count = 0;
}

static team_state_t *team_find(const leader_t *leader, const char *name, guint *at)
{
    for (guint i = 0; i < leader->teams->len; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        if (strcmp(state->team.name, name) == 0) {
            if (at)
                *at = i;
            return state;
        }
    }
    return NULL;
}

static gsize bits_bytes(uint32_t tasks)
{
    return (tasks + 7) / 8;
}

static guint chunk_count(uint32_t tasks)
{
    return (tasks + CHUNK_BITS - 1) / CHUNK_BITS;
}

void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t revision)
{
    if (g_hash_table_contains(leader->jobs, spec->id))
        return;
    job_t *job = g_new0(job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->spec.spot = spec->spot && tunable_for_job(leader->policy, TUNABLE_USE_SPOT, spec) != 0;
    job->revision = revision;
    job->done = g_malloc0(bits_bytes(spec->tasks));
    job->outstanding = g_malloc0(bits_bytes(spec->tasks));
    job->chunk_revisions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    g_array_set_size(job->chunk_revisions, chunk_count(spec->tasks));
    job->unacknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    job->zone_outstanding = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(leader->jobs, job->spec.id, job);
}

void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t revision)
{
    job_t *job = g_hash_table_lookup(leader->jobs, id);
    if (!job || chunk >= job->chunk_revisions->len)
        return;
    g_array_index(job->chunk_revisions, uint64_t, chunk) = revision;
    uint32_t first = chunk * CHUNK_BITS;
    for (uint32_t i = 0; i < CHUNK_BITS && first + i < job->spec.tasks && i / 8 < bytes; i++) {
        if (!bit_get(bits, i) || bit_get(job->done, first + i))
            continue;
        bit_set(job->done, first + i, true);
        job->done_count++;
    }
}

static void zone_count(job_t *job, const char *zone, int change)
{
    if (!zone[0])
        return;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_outstanding, zone)) + change;
    g_hash_table_insert(job->zone_outstanding, g_strdup(zone), GINT_TO_POINTER(count));
}

static void outstanding_add(leader_t *leader, task_ref_t ref, const char *team, resources_t need,
                            const char *zone, guint partition)
{
    outstanding_t *outstanding = g_new0(outstanding_t, 1);
    outstanding->ref = ref;
    g_strlcpy(outstanding->zone, zone, sizeof outstanding->zone);
    outstanding->need = need;
    outstanding->partition = partition;
    team_state_t *state = team_find(leader, team, &outstanding->team);
    if (state) {
        state->cpus += need.cpus;
        state->gpus += need.gpus;
    } else {
        outstanding->team =
            G_MAXUINT; /* the team left the settings; its work still ends normally */
    }
    g_hash_table_insert(leader->outstanding, &outstanding->ref, outstanding);
    job_t *job = g_hash_table_lookup(leader->jobs, ref.job);
    if (job && ref.task < job->spec.tasks && !bit_get(job->outstanding, ref.task)) {
        bit_set(job->outstanding, ref.task, true);
        job->outstanding_count++;
    }
    if (job)
        zone_count(job, zone, 1);
}

/* Takes an attempt off the outstanding ones. Returns its job if that is live. */
static job_t *outstanding_drop(leader_t *leader, const task_ref_t *ref)
{
    outstanding_t *outstanding = g_hash_table_lookup(leader->outstanding, ref);
    if (!outstanding || outstanding->ref.attempt != ref->attempt)
        return NULL;
    if (outstanding->team < leader->teams->len) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, outstanding->team);
        state->cpus -= outstanding->need.cpus;
        state->gpus -= outstanding->need.gpus;
    }
    job_t *job = g_hash_table_lookup(leader->jobs, outstanding->ref.job);
    if (job)
        zone_count(job, outstanding->zone, -1);
    g_hash_table_remove(leader->outstanding, ref);
    if (!job || ref->task >= job->spec.tasks)
        return NULL;
    if (bit_get(job->outstanding, ref->task)) {
        bit_set(job->outstanding, ref->task, false);
        job->outstanding_count--;
    }
    return job;
}

void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint partition)
{
    outstanding_add(leader, task_ref(entry->job, entry->task, entry->attempt), entry->team,
                    entry->need, zone, partition);
}

void leader_end_job(leader_t *leader, const char *id)
{
    g_hash_table_remove(leader->jobs, id);
}

void leader_set_summaries(leader_t *leader, guint partition, GArray *summaries)
{
    array_free(g_ptr_array_index(leader->summaries, partition));
    g_ptr_array_index(leader->summaries, partition) = summaries;
}

static uint32_t job_pending(const job_t *job)
{
    uint32_t taken = job->done_count + job->outstanding_count;
    return taken < job->spec.tasks ? job->spec.tasks - taken : 0;
}

/* A job in its team's queue. */
typedef struct {
    job_t *job;
    uint32_t owed; /* outstanding tasks that it must get for its long wait, whatever goes first; 0:
                      a job's ordinary place */
    double work;   /* cpu seconds not yet outstanding */
    double start;  /* latest start for the next target, time of day in ms; infinite: none left */
} queued_t;

static void next_target(const GArray *list, double unit_ms, double ready_ms, queued_t *queued)
{
    for (guint i = 0; list && i < list->len; i++) {
        double due =
            (double)queued->job->spec.submitted_ms + g_array_index(list, double, i) * unit_ms;
        if (due >= ready_ms) {
            queued->start = MIN(queued->start, due - queued->job->spec.estimate_s * 1000.0);
            return;
        }
    }
}

/* Whatever the order, it must not starve anyone: under a lasting overload large jobs, low ones and
 * those past their targets would wait for ever. One that has waited long gets its first task begun,
 * and later a small part of its tasks at a time. */
static uint32_t owed_tasks(const job_t *job, int64_t day_ms)
{
    int64_t age = day_ms - job->spec.submitted_ms;
    if (age < STARVING_MS || (age < STARVING_LONG_MS && job->done_count > 0))
        return 0;
    return age < STARVING_LONG_MS ? 1 : 1 + job->spec.tasks / STARVING_TASKS_DIVISOR;
}

static queued_t queue_entry(const leader_t *leader, job_t *job, int64_t day_ms)
{
    const job_spec_t *spec = &job->spec;
    queued_t queued = {.job = job, .start = INFINITY};
    queued.work = job_pending(job) * spec->need.cpus * MAX(spec->estimate_s, 1);
    const targets_t *targets = g_hash_table_lookup(leader->targets, spec->class_name);
    double ready = (double)day_ms + spec->estimate_s * 1000.0;
    if (spec->deadline_s > 0 && targets && targets->times->len)
        next_target(targets->times, spec->deadline_s * 1000.0, ready, &queued);
    else if (spec->deadline_s > 0)
        next_target(leader->single_target, spec->deadline_s * 1000.0, ready, &queued);
    if (targets)
        next_target(targets->within, 1000.0, ready, &queued);
    return queued;
}

/* Urgent work, then what has waited too long; by priority; then what can still keep a target; then
 * the least work left, which keeps most targets where not all can be kept; then by the latest start
 * that keeps the next one; then by age. */
static gint compare_queued(gconstpointer left, gconstpointer right)
{
    const queued_t *a = left, *b = right;
    bool urgent_a = a->job->spec.priority >= PRIORITY_HIGH;
    bool urgent_b = b->job->spec.priority >= PRIORITY_HIGH;
    if (urgent_a != urgent_b)
        return urgent_a ? -1 : 1;
    if (!a->owed != !b->owed)
        return a->owed ? -1 : 1;
    if (a->job->spec.priority != b->job->spec.priority)
        return a->job->spec.priority > b->job->spec.priority ? -1 : 1;
    if (isinf(a->start) != isinf(b->start))
        return isinf(b->start) ? -1 : 1;
    if (a->work != b->work)
        return a->work < b->work ? -1 : 1;
    if (a->start != b->start)
        return a->start < b->start ? -1 : 1;
    if (a->job->spec.submitted_ms != b->job->spec.submitted_ms)
        return a->job->spec.submitted_ms < b->job->spec.submitted_ms ? -1 : 1;
    return strcmp(a->job->spec.id, b->job->spec.id);
}

/* A job that fails wherever it runs must not fill the partitions with its attempts (a soft place of
 * the design): after repeated failures it gets one attempt at a time, ever more rarely. */
static bool is_job_blocked(const job_t *job, msec_t now)
{
    if (job->ending || now < job->retry_at)
        return true;
    return job->errors >= JOB_ERRORS_ALARM && job->outstanding_count > 0;
}

static bool next_task(job_t *job, uint32_t *task)
{
    for (uint32_t at = job->cursor; at < job->spec.tasks; at++) {
        if (bit_get(job->done, at) || bit_get(job->outstanding, at)) {
            if (at == job->cursor)
                job->cursor++;
            continue;
        }
        *task = at;
        return true;
    }
    return false;
}

static bool team_admits(const team_state_t *state, resources_t need)
{
    const team_t *team = &state->team;
    if (team->cpus_max > 0 && state->cpus + need.cpus > team->cpus_max + EPSILON)
        return false;
    return team->gpus_max <= 0 || state->gpus + need.gpus <= team->gpus_max + EPSILON;
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
    gpointer key, value;
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

/* The partition with most free resources on machines that take the task, and the summary of the
 * machine that it would book. */
static machine_summary_t *choose_summary(const leader_t *leader, const job_t *job, guint *partition)
{
    bool zoned = job->spec.same_zone || job->spec.spread;
    machine_summary_t *chosen = NULL;
    double most = -1;
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        double cpus = 0, lowest = INFINITY;
        machine_summary_t *best = NULL;
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (!summary_admits(summary, &job->spec, "") ||
                (zoned && !zone_open(job, summary->zone)))
                continue;
            cpus += summary->free.cpus;
            double pressure = MAX(1 - (summary->free.cpus - job->spec.need.cpus) /
                                          MAX(summary->total.cpus, EPSILON),
                                  1 - (summary->free.memory - job->spec.need.memory) /
                                          MAX(summary->total.memory, EPSILON));
            if (pressure < lowest) {
                lowest = pressure;
                best = summary;
            }
        }
        if (best && cpus > most) {
            most = cpus;
            chosen = best;
            *partition = i;
        }
    }
    return chosen;
}

void leader_set_yielding(leader_t *leader, guint partition, GArray *cpus)
{
    array_free(g_ptr_array_index(leader->yielding, partition));
    g_ptr_array_index(leader->yielding, partition) = cpus;
    for (guint team = 0; team < leader->teams->len; team++) {
        double sum = 0;
        for (guint i = 0; i < leader->yielding->len; i++) {
            const GArray *list = g_ptr_array_index(leader->yielding, i);
            sum += list && team < list->len ? g_array_index(list, double, team) : 0;
        }
        g_array_index(leader->teams, team_state_t, team).yielding = sum;
    }
}

/* Whose work may be stopped for this team's: that of teams beyond their own guarantee. */
static uint64_t borrowers(const leader_t *leader, const team_state_t *state)
{
    uint64_t mask = 0;
    for (guint i = 0; i < leader->teams->len && i < 64; i++) {
        const team_state_t *other = &g_array_index(leader->teams, team_state_t, i);
        if (other != state && other->cpus - other->yielding > other->team.cpus + EPSILON)
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
    request->victims = borrowers(leader, state);
    request->claims_guarantee = state->cpus + job->spec.need.cpus <= state->team.cpus + EPSILON;
    /* Measured: stopping low work for every normal task threw away more than it brought forward. */
    bool wanted = tunable_for_job(leader->policy, TUNABLE_PREEMPT, &job->spec) != 0;
    request->preempt = wanted || (request->claims_guarantee && request->victims);
    leader->preempting += request->preempt;
    return request->preempt;
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
    guint count = 0, claimed = 0;
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            count++;
            claimed += summary->claim_priority > PRIORITY_LOW;
            double lack = spec->need.cpus - summary->free.cpus;
            if (summary->claim_priority > PRIORITY_LOW || !summary->open || lack >= least ||
                is_claim_exhausted(leader, summary->machine, now) ||
                !resources_fit(spec->need, summary->total) ||
                !job_spec_allows(spec, summary->type, summary->zone, summary->spot) ||
                (spec->zone[0] && strcmp(spec->zone, summary->zone) != 0))
                continue;
            chosen = summary;
            least = lack;
        }
    }
    bool claimed_one = chosen && claimed < MAX(1, count / CLAIMED_MACHINES_DIVISOR);
    if (claimed_one) {
        chosen->claim_priority = (int)below;
        record_claim(leader, chosen->machine, now);
    }
    return claimed_one;
}

static void claim_machines(leader_t *leader, const team_state_t *state, const queued_t *queued,
                           msec_t now)
{
    const job_t *job = queued->job;
    priority_t below = queued->owed ? MAX(PRIORITY_HIGH, job->spec.priority) : job->spec.priority;
    guint wanted = queued->owed ? queued->owed - job->outstanding_count
                                : MIN(job_pending(job), CLAIMED_MACHINES_PER_JOB);
    if (!team_admits(state, job->spec.need))
        return;
    while (below > PRIORITY_LOW && wanted > 0 && claim_machine(leader, job, below, now))
        wanted--;
}

static void release_claims(leader_t *leader)
{
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++)
            g_array_index(summaries, machine_summary_t, k).claim_priority = PRIORITY_LOW;
    }
}

/* One task, under the attempt number that the count stands at. */
static bool request_task(leader_t *leader, team_state_t *state, job_t *job, GArray *requests)
{
    uint32_t task;
    guint partition = 0;
    if (!team_admits(state, job->spec.need) || !next_task(job, &task))
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
    request->attempt = (leader->view << ATTEMPT_SHIFT) + leader->count;
    outstanding_add(leader, task_ref(job->spec.id, task, request->attempt), job->spec.team,
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
    uint32_t wanted = job_pending(job);
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
        outstanding_drop(leader, &ref);
        job->cursor = 0;
        g_array_set_size(requests, requests->len - 1);
    }
    for (guint i = 0; i < saved->len; i++) {
        if (whole)
            array_free(g_ptr_array_index(saved, i));
        else
            leader_set_summaries(leader, i, g_ptr_array_index(saved, i));
    }
    g_ptr_array_unref(saved);
    return whole;
}

static GArray *team_queue(leader_t *leader, guint team, msec_t now, int64_t day_ms)
{
    const char *name = g_array_index(leader->teams, team_state_t, team).team.name;
    GArray *queue = g_array_new(FALSE, FALSE, sizeof(queued_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (!job_pending(job) || is_job_blocked(job, now) || strcmp(job->spec.team, name) != 0)
            continue;
        queued_t queued = queue_entry(leader, job, day_ms);
        g_array_append_val(queue, queued);
        queued.owed = owed_tasks(job, day_ms);
        if (job->outstanding_count < queued.owed)
            g_array_append_val(queue, queued);
    }
    g_array_sort(queue, compare_queued);
    return queue;
}

static double task_cost(const queued_t *queued)
{
    return MAX(queued->job->spec.need.cpus, EPSILON);
}

/* Serves one team's turn: from `at` on, until its allowance is spent. */
static void serve_turn(leader_t *leader, team_state_t *state, GArray *queue, guint *at,
                       double allowance, GArray *requests, guint most, msec_t now)
{
    double spent = 0;
    while (*at < queue->len && requests->len < most) {
        const queued_t *queued = &g_array_index(queue, queued_t, *at);
        job_t *job = queued->job;
        double cost = task_cost(queued);
        if (spent + cost > allowance + EPSILON)
            break;
        bool gang = job->spec.kind == KIND_GANG;
        if (queued->owed && job->outstanding_count >= queued->owed) {
            (*at)++;
        } else if (is_job_blocked(job, G_MAXINT64 - 1) ||
                   !(gang ? request_gang : request_one)(leader, state, job, requests)) {
            claim_machines(leader, state, queued, now);
            (*at)++; /* nothing more of this job for now */
        } else {
            spent += cost;
        }
    }
}

/* Whose turn it is, of those with work left from `at` on: a share is one of the resources in use,
 * not of starts: tasks of five minutes beside others of twenty seconds took nearly all of it by
 * equal starts.
 */
static guint poorest_team(const leader_t *leader, const GPtrArray *queues, const guint *at)
{
    guint teams = leader->teams->len, poorest = teams;
    double least = INFINITY, promised = 0;
    for (guint i = 0; i < teams; i++)
        promised += g_array_index(leader->teams, team_state_t, i).team.cpus;
    for (guint i = 0; i < teams; i++) {
        const team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        double weight = MAX(MAX(state->team.cpus, promised * UNGUARANTEED_TEAM_SHARE), 1);
        if (at[i] >= ((const GArray *)g_ptr_array_index(queues, i))->len ||
            state->cpus / weight >= least)
            continue;
        least = state->cpus / weight;
        poorest = i;
    }
    return poorest;
}

GArray *leader_schedule(leader_t *leader, msec_t now, int64_t day_ms, guint most)
{
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(leader_request_t));
    guint teams = leader->teams->len;
    leader->preempting = 0;
    release_claims(leader);
    GPtrArray *queues = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    guint *at = g_new0(guint, MAX(teams, 1));
    for (guint i = 0; i < teams; i++)
        g_ptr_array_add(queues, team_queue(leader, i, now, day_ms));
    /* What stays within a guarantee waits for no other team. */
    for (guint i = 0; i < teams; i++) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        double left = state->team.cpus - state->cpus;
        if (left > 0)
            serve_turn(leader, state, g_ptr_array_index(queues, i), &at[i], left, requests, most,
                       now);
    }
    /* The rest goes a task at a time to the team that holds least for its weight. */
    for (guint i; requests->len < most && (i = poorest_team(leader, queues, at)) < teams;) {
        GArray *queue = g_ptr_array_index(queues, i);
        serve_turn(leader, &g_array_index(leader->teams, team_state_t, i), queue, &at[i],
                   task_cost(&g_array_index(queue, queued_t, at[i])), requests, most, now);
    }
    g_free(at);
    g_ptr_array_unref(queues);
    return requests;
}

bool leader_is_outstanding(const leader_t *leader, const task_ref_t *ref)
{
    const outstanding_t *outstanding = g_hash_table_lookup(leader->outstanding, ref);
    return outstanding && outstanding->ref.attempt == ref->attempt;
}

GArray *leader_outstanding(const leader_t *leader, const char *job)
{
    GArray *attempts = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->outstanding);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const outstanding_t *outstanding = value;
        partition_attempt_t entry = {.ref = outstanding->ref, .partition = outstanding->partition};
        if (strcmp(outstanding->ref.job, job) == 0)
            g_array_append_val(attempts, entry);
    }
    return attempts;
}

static void job_failed(job_t *job, cause_t cause, msec_t now)
{
    if (cause == CAUSE_FULL || cause == CAUSE_BUSY) {
        job->retry_at = MAX(job->retry_at, now + TASK_BACKOFF_MS);
    } else if (cause == CAUSE_ERROR || cause == CAUSE_UNKNOWN) {
        job->errors++;
        if (job->errors >= JOB_ERRORS_ALARM) {
            guint doublings = MIN(job->errors - JOB_ERRORS_ALARM, 5);
            msec_t wait = MIN((msec_t)JOB_BACKOFF_MS << doublings, JOB_BACKOFF_MAX_MS);
            job->retry_at = MAX(job->retry_at, now + wait);
        }
    }
}

/* An error is mostly the machine's. One that fails at once is always the emptiest, so least-loaded
 * placement would feed it everything; but a job submitted with a mistake fails on every machine,
 * and must not quarantine them all. So it takes several failures without a success between, of more
 * than one job or of a job that has finished tasks. */
static void record_failure(leader_t *leader, const attempt_result_t *result, const job_t *job)
{
    if (result->cause == CAUSE_DONE) {
        g_hash_table_remove(leader->failure_records, result->machine);
        return;
    }
    if (result->cause != CAUSE_ERROR || !result->machine[0])
        return;
    failure_record_t *failure_record =
        g_hash_table_lookup(leader->failure_records, result->machine);
    if (!failure_record) {
        failure_record = g_new0(failure_record_t, 1);
        g_strlcpy(failure_record->job, result->ref.job, sizeof failure_record->job);
        g_hash_table_insert(leader->failure_records, g_strdup(result->machine), failure_record);
    }
    failure_record->errors++;
    if ((job && job->done_count > 0) || strcmp(failure_record->job, result->ref.job) != 0)
        failure_record->is_machine_at_fault = true;
}

bool leader_is_quarantined(const leader_t *leader, const char *machine)
{
    const failure_record_t *failure_record = g_hash_table_lookup(leader->failure_records, machine);
    return failure_record && failure_record->is_machine_at_fault &&
           failure_record->errors >= MACHINE_ERRORS_ALARM;
}

void leader_handle_result(leader_t *leader, guint partition, const attempt_result_t *result,
                          msec_t now)
{
    uint32_t task = result->ref.task;
    job_t *job = outstanding_drop(leader, &result->ref);
    record_failure(leader, result, job);
    if (!job)
        return;
    if (result->cause == CAUSE_DONE) {
        job->errors = 0;
        if (!bit_get(job->done, task)) {
            bit_set(job->done, task, true);
            job->done_count++;
        }
        if (!job->dirty_chunks)
            job->dirty_since = now;
        job->dirty_chunks |= 1u << (task / CHUNK_BITS);
        partition_attempt_t completion = {.ref = result->ref, .partition = partition};
        g_array_append_val(job->unacknowledged, completion);
        return;
    }
    job->cursor = MIN(job->cursor, task);
    job_failed(job, result->cause, now);
}

GArray *leader_demand(const leader_t *leader, msec_t now)
{
    GArray *demand = g_array_new(FALSE, FALSE, sizeof(demand_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        guint team = 0;
        const team_state_t *state = team_find(leader, job->spec.team, &team);
        uint32_t tasks = job_pending(job);
        if (!tasks || !state || is_job_blocked(job, now))
            continue;
        if (state->team.cpus_max > 0 && job->spec.need.cpus > 0) {
            double left = MAX(state->team.cpus_max - state->cpus, 0) / job->spec.need.cpus;
            tasks = MIN(tasks, (uint32_t)MIN(left, (double)TASKS_MAX));
        }
        if (job->errors >= JOB_ERRORS_ALARM)
            tasks = MIN(tasks, 1);
        demand_t entry = {.job = job, .team = team, .tasks = tasks};
        if (tasks)
            g_array_append_val(demand, entry);
    }
    return demand;
}

static void progress_clear(gpointer data)
{
    progress_t *progress = data;
    g_free(progress->bits);
    if (progress->old_revisions)
        g_array_unref(progress->old_revisions);
}

static void progress_end(job_t *job, GArray *batch, txn_usage_t *usage)
{
    progress_t progress = {.end = true, .done = job->done_count, .job_revision = job->revision};
    g_strlcpy(progress.job, job->spec.id, sizeof progress.job);
    progress.old_revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(progress.old_revisions, job->chunk_revisions->data,
                        job->chunk_revisions->len);
    usage->ops += 2;
    usage->bytes += PROGRESS_BYTES;
    for (guint i = 0; i < job->chunk_revisions->len; i++)
        usage->ops += g_array_index(job->chunk_revisions, uint64_t, i) != 0;
    job->ending = true;
    g_array_append_val(batch, progress);
}

static void progress_chunk(job_t *job, guint chunk, GArray *batch)
{
    uint32_t first = chunk * CHUNK_BITS;
    uint32_t bits = MIN((uint32_t)CHUNK_BITS, job->spec.tasks - first);
    progress_t progress = {.done = job->done_count, .chunk = chunk, .bytes = bits_bytes(bits)};
    g_strlcpy(progress.job, job->spec.id, sizeof progress.job);
    progress.job_revision = job->revision;
    progress.revision = g_array_index(job->chunk_revisions, uint64_t, chunk);
    progress.bits = g_memdup2(job->done + first / 8, progress.bytes);
    g_array_append_val(batch, progress);
}

GArray *leader_progress_new(void)
{
    GArray *batch = g_array_new(FALSE, FALSE, sizeof(progress_t));
    g_array_set_clear_func(batch, progress_clear);
    return batch;
}

static void progress_taken(job_t *job)
{
    job->dirty_chunks = 0;
    job->acknowledging = job->unacknowledged;
    job->unacknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
}

static void take_ends(leader_t *leader, GArray *batch, txn_usage_t *usage)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->done_count < job->spec.tasks || job->acknowledging ||
            usage->ops + 2 + job->chunk_revisions->len > usage->max_ops ||
            usage->bytes + PROGRESS_BYTES > usage->max_bytes)
            continue;
        progress_end(job, batch, usage);
        progress_taken(job);
    }
}

static gint compare_dirty(gconstpointer left, gconstpointer right)
{
    const job_t *a = *(job_t *const *)left, *b = *(job_t *const *)right;
    return a->dirty_since < b->dirty_since ? -1 : a->dirty_since > b->dirty_since;
}

/* Oldest first: with a low rate limit, those at the end of the table would never be. */
static void take_chunks(leader_t *leader, msec_t before, GArray *batch, txn_usage_t *usage)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->dirty_chunks && !job->acknowledging && job->dirty_since <= before &&
            job->done_count < job->spec.tasks)
            g_ptr_array_add(due, job);
    }
    g_ptr_array_sort(due, compare_dirty);
    for (guint i = 0; i < due->len; i++) {
        job_t *job = g_ptr_array_index(due, i);
        guint cost = (guint)__builtin_popcount(job->dirty_chunks);
        /* The largest jobs' chunks, with full pages of records, were more than a transaction may
         * hold: it was refused as invalid, again and again. */
        gsize bytes =
            cost * (PROGRESS_BYTES + bits_bytes(MIN(job->spec.tasks, CHUNK_BITS)) * 4 / 3);
        if (usage->ops + cost > usage->max_ops || usage->bytes + bytes > usage->max_bytes)
            break;
        for (guint chunk = 0; chunk < job->chunk_revisions->len; chunk++)
            if (job->dirty_chunks >> chunk & 1)
                progress_chunk(job, chunk, batch);
        usage->ops += cost;
        usage->bytes += bytes;
        progress_taken(job);
    }
    g_ptr_array_unref(due);
}

/* Progress on the way is kept by the workers and their records until it is durable: it can wait and
 * go in one write. An end can't, since users wait for it. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          txn_usage_t *usage)
{
    take_ends(leader, batch, usage);
    take_chunks(leader, now - min_age, batch, usage);
}

void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *acknowledged)
{
    for (guint i = 0; i < batch->len; i++) {
        const progress_t *progress = &g_array_index(batch, progress_t, i);
        job_t *job = g_hash_table_lookup(leader->jobs, progress->job);
        if (!job)
            continue;
        if (job->acknowledging) {
            g_array_append_vals(acknowledged, job->acknowledging->data, job->acknowledging->len);
            g_array_unref(job->acknowledging);
            job->acknowledging = NULL;
        }
        if (progress->end)
            g_hash_table_remove(leader->jobs, progress->job);
        else
            g_array_index(job->chunk_revisions, uint64_t, progress->chunk) = revision;
    }
}

void leader_progress_undo(leader_t *leader, const GArray *batch)
{
    for (guint i = 0; i < batch->len; i++) {
        const progress_t *progress = &g_array_index(batch, progress_t, i);
        job_t *job = g_hash_table_lookup(leader->jobs, progress->job);
        if (!job)
            continue;
        job->ending = false;
        job->dirty_chunks |= progress->end ? 1u : 1u << progress->chunk;
        if (job->acknowledging) {
            g_array_append_vals(job->unacknowledged, job->acknowledging->data,
                                job->acknowledging->len);
            g_array_unref(job->acknowledging);
            job->acknowledging = NULL;
        }
    }
}
