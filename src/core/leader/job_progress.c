/* Job progress: the finished bits of jobs, and the batches that make them durable. */
#include "core/leader/leader_internal.h"

bool leader_bit_get(const uint8_t *bits, uint32_t at)
{
    return bits[at / BITS_PER_BYTE] >> (at % BITS_PER_BYTE) & 1;
}

void leader_bit_set(uint8_t *bits, uint32_t at, bool value)
{
    if (value)
        bits[at / BITS_PER_BYTE] |= (uint8_t)(1U << (at % BITS_PER_BYTE));
    else
        bits[at / BITS_PER_BYTE] &= (uint8_t) ~(1U << (at % BITS_PER_BYTE));
}

gsize leader_bits_bytes(uint32_t tasks)
{
    return (tasks + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
}

guint leader_chunk_count(uint32_t tasks)
{
    return (tasks + CHUNK_BITS - 1) / CHUNK_BITS;
}

void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t revision)
{
    job_t *job = g_hash_table_lookup(leader->jobs, id);
    if (!job || chunk >= job->chunk_revisions->len)
        return;
    g_array_index(job->chunk_revisions, uint64_t, chunk) = revision;
    uint32_t first = chunk * CHUNK_BITS;
    for (uint32_t i = 0; i < CHUNK_BITS && first + i < job->spec.tasks && i / BITS_PER_BYTE < bytes;
         i++) {
        if (!leader_bit_get(bits, i) || leader_bit_get(job->done, first + i))
            continue;
        leader_bit_set(job->done, first + i, true);
        job->done_count++;
    }
}

static void progress_clear(gpointer data)
{
    progress_t *progress = data;
    g_free(progress->bits);
    if (progress->old_revisions)
        g_array_unref(progress->old_revisions);
}

static void progress_end(job_t *job, GArray *batch, kv_txn_usage_t *usage)
{
    progress_t progress = {
        .is_job_end = true, .done = job->done_count, .job_revision = job->revision};
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
    progress_t progress = {
        .done = job->done_count, .chunk = chunk, .bytes = leader_bits_bytes(bits)};
    g_strlcpy(progress.job, job->spec.id, sizeof progress.job);
    progress.job_revision = job->revision;
    progress.revision = g_array_index(job->chunk_revisions, uint64_t, chunk);
    progress.bits = g_memdup2(job->done + first / BITS_PER_BYTE, progress.bytes);
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

static void take_ends(leader_t *leader, GArray *batch, kv_txn_usage_t *usage)
{
    bool left_out = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        if (job->done_count < job->spec.tasks || job->acknowledging)
            continue;
        guint ops = 2 + job->chunk_revisions->len;
        left_out = left_out || (usage->ops + ops > usage->max_ops && ops <= usage->full_ops);
        if (usage->ops + ops > usage->max_ops || usage->bytes + PROGRESS_BYTES > usage->max_bytes)
            continue;
        progress_end(job, batch, usage);
        progress_taken(job);
    }
    usage->has_waiting_end = left_out && usage->ops == 0;
}

static gint compare_dirty(gconstpointer left, gconstpointer right)
{
    const job_t *first = *(job_t *const *)left;
    const job_t *second = *(job_t *const *)right;
    return first->dirty_since < second->dirty_since ? -1 : first->dirty_since > second->dirty_since;
}

/* Oldest first: with a low rate limit, those at the end of the table would never be. */
static void take_chunks(leader_t *leader, msec_t before, GArray *batch, kv_txn_usage_t *usage)
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
            cost * (PROGRESS_BYTES + leader_bits_bytes(MIN(job->spec.tasks, CHUNK_BITS)) * 4 / 3);
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
                          kv_txn_usage_t *usage)
{
    take_ends(leader, batch, usage);
    if (!usage->has_waiting_end)
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
        if (progress->is_job_end)
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
        job->dirty_chunks |= progress->is_job_end ? 1U : 1U << progress->chunk;
        if (job->acknowledging) {
            g_array_append_vals(job->unacknowledged, job->acknowledging->data,
                                job->acknowledging->len);
            g_array_unref(job->acknowledging);
            job->acknowledging = NULL;
        }
    }
}
