/* Job progress: which tasks are done, and the batches that make this durable. */
#include "core/leader/job_progress.h"

#include "core/leader/leader_internal.h"

/* Operations of a job completion besides those that delete the job's chunks: one deletes jobs/ID
 * and one writes ended/ID. */
enum { JOB_COMPLETION_OPS = 2 };

void leader_mark_task_done(job_t *job, uint32_t task)
{
    if (task_bitmap_get(job->done_bits, task))
        return;
    task_bitmap_set(job->done_bits, task, true);
    job->done_count++;
}

void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t revision)
{
    job_t *job = g_hash_table_lookup(leader->jobs, id);
    if (!job || chunk >= job->chunk_revisions->len)
        return;
    g_array_index(job->chunk_revisions, uint64_t, chunk) = revision;
    uint32_t first = chunk * CHUNK_BITS;
    uint32_t count = MIN((uint32_t)CHUNK_BITS, job->spec.tasks - first);
    for (uint32_t i = 0; i < count && i / BITS_PER_BYTE < bytes; i++)
        if (task_bitmap_get(bits, i))
            leader_mark_task_done(job, first + i);
}

static void clear_progress(gpointer data)
{
    progress_t *progress = data;
    g_free(progress->bits);
    if (progress->chunk_revisions)
        g_array_unref(progress->chunk_revisions);
}

GArray *leader_progress_new(void)
{
    GArray *batch = g_array_new(FALSE, FALSE, sizeof(progress_t));
    g_array_set_clear_func(batch, clear_progress);
    return batch;
}

static bool has_capacity(const kv_txn_usage_t *usage, guint ops, gsize bytes)
{
    return usage->ops + ops <= usage->max_ops && usage->bytes + bytes <= usage->max_bytes;
}

/* Returns a progress entry with the fields that all entries of the job have in common. */
static progress_t make_progress_entry(const job_t *job)
{
    progress_t progress = {.done = job->done_count, .job_revision = job->revision};
    g_strlcpy(progress.job, job->spec.id, sizeof progress.job);
    return progress;
}

static void append_job_completion(job_t *job, GArray *batch, kv_txn_usage_t *usage)
{
    progress_t progress = make_progress_entry(job);
    progress.is_job_completion = true;
    progress.chunk_revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(progress.chunk_revisions, job->chunk_revisions->data,
                        job->chunk_revisions->len);
    usage->ops += JOB_COMPLETION_OPS;
    usage->bytes += PROGRESS_BYTES;
    for (guint i = 0; i < job->chunk_revisions->len; i++)
        usage->ops += g_array_index(job->chunk_revisions, uint64_t, i) != 0;
    job->is_completion_in_flight = true;
    g_array_append_val(batch, progress);
}

static void append_chunk_progress(const job_t *job, guint chunk, GArray *batch)
{
    uint32_t first = chunk * CHUNK_BITS;
    uint32_t count = MIN((uint32_t)CHUNK_BITS, job->spec.tasks - first);
    progress_t progress = make_progress_entry(job);
    progress.chunk = chunk;
    progress.revision = g_array_index(job->chunk_revisions, uint64_t, chunk);
    progress.bytes = task_bitmap_bytes(count);
    progress.bits = g_memdup2(job->done_bits + first / BITS_PER_BYTE, progress.bytes);
    g_array_append_val(batch, progress);
}

/* Marks all progress of the job as part of the batch that is about to be committed. */
static void mark_commit_in_flight(job_t *job)
{
    job->dirty_chunks = 0;
    job->committing_attempts = job->uncommitted_attempts;
    job->uncommitted_attempts = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
}

static void take_job_completions(leader_t *leader, GArray *batch, kv_txn_usage_t *usage)
{
    bool is_completion_blocked = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->done_count < job->spec.tasks || job->committing_attempts)
            continue;
        guint ops = JOB_COMPLETION_OPS + job->chunk_revisions->len;
        if (usage->ops + ops > usage->max_ops && ops <= usage->burst_ops)
            is_completion_blocked = true;
        if (!has_capacity(usage, ops, PROGRESS_BYTES))
            continue;
        append_job_completion(job, batch, usage);
        mark_commit_in_flight(job);
    }
    usage->has_blocked_completion = is_completion_blocked && usage->ops == 0;
}

static gint compare_dirty_since(gconstpointer left, gconstpointer right)
{
    msec_t first = (*(job_t *const *)left)->dirty_since_at;
    msec_t second = (*(job_t *const *)right)->dirty_since_at;
    return (first > second) - (first < second);
}

/* Returns an array of job_t, borrowed: the unfinished jobs whose oldest progress that is not
 * durable was received at due_before or earlier, oldest first. In the order of the hash table, the
 * jobs at its end would never be reached under a low rate limit. */
static GPtrArray *jobs_with_due_chunks(const leader_t *leader, msec_t due_before)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->dirty_chunks && !job->committing_attempts && job->dirty_since_at <= due_before &&
            job->done_count < job->spec.tasks)
            g_ptr_array_add(due, job);
    }
    g_ptr_array_sort(due, compare_dirty_since);
    return due;
}

/* Returns the size in bytes of one chunk of the job as a base64 value. The total size is limited
 * because the chunks of the largest jobs together with full pages of machine records exceed what a
 * transaction may hold. */
static gsize chunk_value_bytes(const job_t *job)
{
    return PROGRESS_BYTES + task_bitmap_bytes(MIN(job->spec.tasks, CHUNK_BITS)) * 4 / 3;
}

static void take_due_chunks(leader_t *leader, msec_t due_before, GArray *batch,
                            kv_txn_usage_t *usage)
{
    g_autoptr(GPtrArray) due = jobs_with_due_chunks(leader, due_before);
    for (guint i = 0; i < due->len; i++) {
        job_t *job = g_ptr_array_index(due, i);
        guint ops = (guint)__builtin_popcount(job->dirty_chunks);
        gsize bytes = ops * chunk_value_bytes(job);
        if (!has_capacity(usage, ops, bytes))
            break;
        for (guint chunk = 0; chunk < job->chunk_revisions->len; chunk++)
            if (job->dirty_chunks >> chunk & 1)
                append_chunk_progress(job, chunk, batch);
        usage->ops += ops;
        usage->bytes += bytes;
        mark_commit_in_flight(job);
    }
}

/* Progress of unfinished jobs may be delayed so that several changes share a write: until it is
 * durable, it can be recovered from the workers and the machines' records. Job completions are not
 * delayed, because users wait for them. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          kv_txn_usage_t *usage)
{
    take_job_completions(leader, batch, usage);
    if (!usage->has_blocked_completion)
        take_due_chunks(leader, now - min_age, batch, usage);
}

/* Called when the job's commit is no longer in flight: moves the attempts of that commit to the
 * array. */
static void release_committing_attempts(job_t *job, GArray *attempts)
{
    if (!job->committing_attempts)
        return;
    g_array_append_vals(attempts, job->committing_attempts->data, job->committing_attempts->len);
    g_clear_pointer(&job->committing_attempts, g_array_unref);
}

void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *acknowledged)
{
    for (guint i = 0; i < batch->len; i++) {
        const progress_t *progress = &g_array_index(batch, progress_t, i);
        job_t *job = g_hash_table_lookup(leader->jobs, progress->job);
        if (!job)
            continue;
        release_committing_attempts(job, acknowledged);
        if (progress->is_job_completion)
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
        job->is_completion_in_flight = false;
        job->dirty_chunks |= progress->is_job_completion ? 1U : 1U << progress->chunk;
        release_committing_attempts(job, job->uncommitted_attempts);
    }
}
