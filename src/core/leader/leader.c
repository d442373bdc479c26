/* The leader's data: live jobs, the partitions' machine summaries and attempt results. */
#include "core/leader/leader.h"

#include "core/leader/leader_internal.h"

static void free_job(gpointer data)
{
    job_t *job = data;
    job_spec_clear(&job->spec);
    g_free(job->done_bits);
    g_free(job->outstanding_bits);
    g_array_unref(job->chunk_revisions);
    g_array_unref(job->uncommitted_attempts);
    if (job->committing_attempts)
        g_array_unref(job->committing_attempts);
    g_hash_table_unref(job->zone_outstanding);
    g_free(job);
}

static void free_array(gpointer data)
{
    if (data)
        g_array_unref(data);
}

GPtrArray *leader_partition_arrays_new(guint partitions)
{
    GPtrArray *arrays = g_ptr_array_new_with_free_func(free_array);
    g_ptr_array_set_size(arrays, (gint)partitions);
    return arrays;
}

leader_t *leader_new(const GArray *teams, GHashTable *slos, const policy_t *policy,
                     guint partitions)
{
    leader_t *leader = g_new0(leader_t, 1);
    leader->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
    leader->outstanding = g_hash_table_new_full(task_ref_hash, task_ref_equal, NULL, g_free);
    leader->teams = g_array_new(FALSE, TRUE, sizeof(team_state_t));
    for (guint i = 0; i < teams->len; i++) {
        team_state_t state = {.team = g_array_index(teams, team_t, i)};
        g_array_append_val(leader->teams, state);
    }
    leader->slos = slos;
    leader->policy = policy;
    leader->failure_records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, leader_free_failure_record);
    leader->quarantines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader->machine_claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    const double deadline_multiple = 1;
    leader->default_deadline_multiples = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_val(leader->default_deadline_multiples, deadline_multiple);
    leader->summaries = leader_partition_arrays_new(partitions);
    leader->cpus_being_preempted = leader_partition_arrays_new(partitions);
    return leader;
}

void leader_free(leader_t *leader)
{
    g_hash_table_unref(leader->jobs);
    g_hash_table_unref(leader->outstanding);
    g_array_unref(leader->teams);
    g_ptr_array_unref(leader->summaries);
    g_ptr_array_unref(leader->cpus_being_preempted);
    g_array_unref(leader->default_deadline_multiples);
    g_hash_table_unref(leader->failure_records);
    g_hash_table_unref(leader->quarantines);
    g_hash_table_unref(leader->machine_claims);
    g_free(leader);
}

void leader_set_view(leader_t *leader, uint64_t view)
{
    leader->view = view;
    leader->attempt_count = 0;
}

void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t revision)
{
    if (g_hash_table_contains(leader->jobs, spec->id))
        return;
    job_t *job = g_new0(job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->spec.may_use_spot =
        spec->may_use_spot && tunable_for_job(leader->policy, TUNABLE_USE_SPOT, spec) != 0;
    job->revision = revision;
    job->done_bits = g_malloc0(task_bitmap_bytes(spec->tasks));
    job->outstanding_bits = g_malloc0(task_bitmap_bytes(spec->tasks));
    job->chunk_revisions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    g_array_set_size(job->chunk_revisions, task_bitmap_chunk_count(spec->tasks));
    job->uncommitted_attempts = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    job->zone_outstanding = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(leader->jobs, job->spec.id, job);
}

const job_t *leader_find_job(const leader_t *leader, const char *id)
{
    return g_hash_table_lookup(leader->jobs, id);
}

void leader_remove_job(leader_t *leader, const char *id)
{
    const job_t *job = leader_find_job(leader, id);
    if (job)
        leader_forget_failures(leader, job);
    g_hash_table_remove(leader->jobs, id);
}

job_counts_t leader_job_counts(const leader_t *leader, const char *id)
{
    const job_t *job = leader_find_job(leader, id);
    if (!job)
        return (job_counts_t){0};
    return (job_counts_t){.done = job->done_count, .outstanding = job->outstanding_count};
}

/* Replaces one element of an array of arrays and frees the previous one. */
static void replace_array(GPtrArray *arrays, guint index, GArray *array)
{
    free_array(g_ptr_array_index(arrays, index));
    g_ptr_array_index(arrays, index) = array;
}

void leader_set_summaries(leader_t *leader, guint partition, GArray *summaries)
{
    replace_array(leader->summaries, partition, summaries);
}

void leader_set_cpus_being_preempted(leader_t *leader, guint partition, GArray *cpus)
{
    replace_array(leader->cpus_being_preempted, partition, cpus);
    for (guint team = 0; team < leader->teams->len; team++) {
        double sum = 0;
        for (guint i = 0; i < leader->cpus_being_preempted->len; i++) {
            const GArray *list = g_ptr_array_index(leader->cpus_being_preempted, i);
            sum += list && team < list->len ? g_array_index(list, double, team) : 0;
        }
        g_array_index(leader->teams, team_state_t, team).cpus_being_preempted = sum;
    }
}

static void record_task_completion(job_t *job, guint partition, const task_ref_t *ref, msec_t now)
{
    job->consecutive_errors = 0;
    leader_mark_task_done(job, ref->task);
    if (!job->dirty_chunks)
        job->dirty_since_at = now;
    job->dirty_chunks |= 1U << (ref->task / CHUNK_BITS);
    partition_attempt_t completion = {.ref = *ref, .partition = partition};
    g_array_append_val(job->uncommitted_attempts, completion);
}

void leader_handle_result(leader_t *leader, guint partition, const attempt_result_t *result,
                          msec_t now)
{
    job_t *job = leader_remove_outstanding(leader, &result->ref);
    leader_record_failure(leader, result, job);
    if (!job)
        return;
    if (result->cause == CAUSE_DONE) {
        record_task_completion(job, partition, &result->ref, now);
        return;
    }
    job->first_pending = MIN(job->first_pending, result->ref.task);
    leader_back_off_job(job, result->cause, now);
}
