/* The leader's data: jobs, outstanding attempts, what the partitions hand in, and results. */
#include "core/leader/leader_internal.h"

#include <string.h>

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

void leader_array_free(gpointer data)
{
    if (data)
        g_array_unref(data);
}

leader_t *leader_new(const GArray *teams, GHashTable *slos, const policy_t *policy,
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
    leader->slos = slos;
    leader->policy = policy;
    leader->failure_records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader->machine_claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const double once = 1;
    leader->deadline_slo = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_val(leader->deadline_slo, once);
    leader->summaries = g_ptr_array_new_with_free_func(leader_array_free);
    g_ptr_array_set_size(leader->summaries, (gint)partitions);
    leader->cpus_being_preempted = g_ptr_array_new_with_free_func(leader_array_free);
    g_ptr_array_set_size(leader->cpus_being_preempted, (gint)partitions);
    return leader;
}

void leader_free(leader_t *leader)
{
    g_hash_table_unref(leader->jobs);
    g_hash_table_unref(leader->outstanding);
    g_array_unref(leader->teams);
    g_ptr_array_unref(leader->summaries);
    g_ptr_array_unref(leader->cpus_being_preempted);
    g_array_unref(leader->deadline_slo);
    g_hash_table_unref(leader->failure_records);
    g_hash_table_unref(leader->machine_claims);
    g_free(leader);
}

void leader_set_view(leader_t *leader, uint64_t view)
{
    leader->view = view;
    leader->count = 0;
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
    job->done = g_malloc0(leader_bits_bytes(spec->tasks));
    job->outstanding = g_malloc0(leader_bits_bytes(spec->tasks));
    job->chunk_revisions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    g_array_set_size(job->chunk_revisions, leader_chunk_count(spec->tasks));
    job->unacknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    job->zone_outstanding = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(leader->jobs, job->spec.id, job);
}

void leader_end_job(leader_t *leader, const char *id)
{
    g_hash_table_remove(leader->jobs, id);
}

static void zone_count(job_t *job, const char *zone, int change)
{
    if (!zone[0])
        return;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_outstanding, zone)) + change;
    g_hash_table_insert(job->zone_outstanding, g_strdup(zone), GINT_TO_POINTER(count));
}

void leader_outstanding_add(leader_t *leader, task_ref_t ref, const char *team, resources_t need,
                            const char *zone, guint partition)
{
    outstanding_t *outstanding = g_new0(outstanding_t, 1);
    outstanding->ref = ref;
    g_strlcpy(outstanding->zone, zone, sizeof outstanding->zone);
    outstanding->need = need;
    outstanding->partition = partition;
    team_state_t *state = leader_team_find(leader, team, &outstanding->team);
    if (state) {
        state->outstanding_cpus += need.cpus;
        state->outstanding_gpus += need.gpus;
    } else {
        outstanding->team =
            G_MAXUINT; /* the team left the settings; its work still ends normally */
    }
    g_hash_table_insert(leader->outstanding, &outstanding->ref, outstanding);
    job_t *job = g_hash_table_lookup(leader->jobs, ref.job);
    if (job && ref.task < job->spec.tasks && !leader_bit_get(job->outstanding, ref.task)) {
        leader_bit_set(job->outstanding, ref.task, true);
        job->outstanding_count++;
    }
    if (job)
        zone_count(job, zone, 1);
}

job_t *leader_outstanding_drop(leader_t *leader, const task_ref_t *ref)
{
    outstanding_t *outstanding = g_hash_table_lookup(leader->outstanding, ref);
    if (!outstanding || outstanding->ref.attempt != ref->attempt)
        return NULL;
    if (outstanding->team < leader->teams->len) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, outstanding->team);
        state->outstanding_cpus -= outstanding->need.cpus;
        state->outstanding_gpus -= outstanding->need.gpus;
    }
    job_t *job = g_hash_table_lookup(leader->jobs, outstanding->ref.job);
    if (job)
        zone_count(job, outstanding->zone, -1);
    g_hash_table_remove(leader->outstanding, ref);
    if (!job || ref->task >= job->spec.tasks)
        return NULL;
    if (leader_bit_get(job->outstanding, ref->task)) {
        leader_bit_set(job->outstanding, ref->task, false);
        job->outstanding_count--;
    }
    return job;
}

void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint partition)
{
    leader_outstanding_add(leader, task_ref(entry->job, entry->task, entry->attempt), entry->team,
                           entry->need, zone, partition);
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

void leader_set_summaries(leader_t *leader, guint partition, GArray *summaries)
{
    leader_array_free(g_ptr_array_index(leader->summaries, partition));
    g_ptr_array_index(leader->summaries, partition) = summaries;
}

void leader_set_cpus_being_preempted(leader_t *leader, guint partition, GArray *cpus)
{
    leader_array_free(g_ptr_array_index(leader->cpus_being_preempted, partition));
    g_ptr_array_index(leader->cpus_being_preempted, partition) = cpus;
    for (guint team = 0; team < leader->teams->len; team++) {
        double sum = 0;
        for (guint i = 0; i < leader->cpus_being_preempted->len; i++) {
            const GArray *list = g_ptr_array_index(leader->cpus_being_preempted, i);
            sum += list && team < list->len ? g_array_index(list, double, team) : 0;
        }
        g_array_index(leader->teams, team_state_t, team).cpus_being_preempted = sum;
    }
}

void leader_handle_result(leader_t *leader, guint partition, const attempt_result_t *result,
                          msec_t now)
{
    uint32_t task = result->ref.task;
    job_t *job = leader_outstanding_drop(leader, &result->ref);
    leader_record_failure(leader, result, job);
    if (!job)
        return;
    if (result->cause == CAUSE_DONE) {
        job->errors = 0;
        if (!leader_bit_get(job->done, task)) {
            leader_bit_set(job->done, task, true);
            job->done_count++;
        }
        if (!job->dirty_chunks)
            job->dirty_since = now;
        job->dirty_chunks |= 1U << (task / CHUNK_BITS);
        partition_attempt_t completion = {.ref = result->ref, .partition = partition};
        g_array_append_val(job->unacknowledged, completion);
        return;
    }
    job->cursor = MIN(job->cursor, task);
    leader_back_off_job(job, result->cause, now);
}

static gint compare_counts_versions(gconstpointer left, gconstpointer right)
{
    uint64_t first = (*(job_t *const *)left)->counts_version;
    uint64_t second = (*(job_t *const *)right)->counts_version;
    return (first > second) - (first < second);
}

static void update_counts(leader_t *leader, job_t *job)
{
    if (job->counts.done == job->done_count && job->counts.outstanding == job->outstanding_count)
        return;
    g_strlcpy(job->counts.job, job->spec.id, sizeof job->counts.job);
    job->counts.done = job->done_count;
    job->counts.outstanding = job->outstanding_count;
    job->counts_version = ++leader->counts_version;
}

job_counts_update_t leader_counts(leader_t *leader, uint64_t epoch, uint64_t version, guint most)
{
    if (epoch != leader->counts_epoch)
        version = 0;
    job_counts_update_t update = {.epoch = leader->counts_epoch, .version = version};
    GPtrArray *changed = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        update_counts(leader, job);
        if (job->counts_version > version)
            g_ptr_array_add(changed, job);
    }
    g_ptr_array_sort(changed, compare_counts_versions);
    update.jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t));
    for (guint i = 0; i < MIN(changed->len, most); i++) {
        const job_t *job = g_ptr_array_index(changed, i);
        g_array_append_val(update.jobs, job->counts);
        update.version = job->counts_version;
    }
    g_ptr_array_unref(changed);
    return update;
}
