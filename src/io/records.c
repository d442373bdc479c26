/* Builds the transactions that write jobs, progress, machine records and members. */
#include "io/records.h"

#include "io/codec/codec.h"

static void format_job_key(const char *id, char *key)
{
    g_snprintf(key, KV_KEY_BYTES, "jobs/%s", id);
}

static void format_ended_key(const char *id, char *key)
{
    g_snprintf(key, KV_KEY_BYTES, "ended/%s", id);
}

static void format_chunk_key(const char *id, guint chunk, char *key)
{
    g_snprintf(key, KV_KEY_BYTES, "done/%s/%u", id, chunk);
}

static void write_chunk(kv_txn_t *txn, const progress_t *progress)
{
    char key[KV_KEY_BYTES];
    char job[KV_KEY_BYTES];
    format_job_key(progress->job, job);
    format_chunk_key(progress->job, progress->chunk, key);
    kv_txn_require_revision(txn, job, progress->job_revision);
    kv_txn_require_revision(txn, key, progress->revision);
    kv_txn_put(txn, key,
               codec_build_progress_chunk(progress->bits, progress->bytes, progress->done), 0);
}

static void write_job_completion(kv_txn_t *txn, const progress_t *progress)
{
    char key[KV_KEY_BYTES];
    format_job_key(progress->job, key);
    kv_txn_require_revision(txn, key, progress->job_revision);
    kv_txn_delete(txn, key);
    format_ended_key(progress->job, key);
    kv_txn_put(txn, key, codec_build_terminal_state(true, progress->done), 0);
    for (guint chunk = 0; chunk < progress->chunk_revisions->len; chunk++) {
        uint64_t revision = g_array_index(progress->chunk_revisions, uint64_t, chunk);
        if (revision == 0) /* the chunk was never written */
            continue;
        format_chunk_key(progress->job, chunk, key);
        kv_txn_require_revision(txn, key, revision);
        kv_txn_delete(txn, key);
    }
}

/* Writes each page, or deletes it if it has no machines. */
static void write_pages(kv_txn_t *txn, const GArray *pages)
{
    char key[KV_KEY_BYTES];
    char page[PAGE_NAME_BYTES];
    for (guint i = 0; i < pages->len; i++) {
        const page_record_t *record = &g_array_index(pages, page_record_t, i);
        page_name(record->shard, record->page, page, sizeof page);
        g_snprintf(key, sizeof key, "machines/%s", page);
        kv_txn_require_revision(txn, key, record->revision);
        if (record->machines->len > 0)
            kv_txn_put(txn, key, codec_build_page_record(record), 0);
        else
            kv_txn_delete(txn, key);
    }
}

/* Adds a condition on the revision of each job in `jobs`, a map from ids to revisions. Skips the
 * jobs in `written_jobs`, a set of ids, because the transaction already has their conditions. */
static void require_jobs(kv_txn_t *txn, GHashTable *jobs, GHashTable *written_jobs)
{
    char key[KV_KEY_BYTES];
    GHashTableIter iter;
    gpointer id;
    gpointer revision;
    g_hash_table_iter_init(&iter, jobs);
    while (g_hash_table_iter_next(&iter, &id, &revision)) {
        if (g_hash_table_contains(written_jobs, id))
            continue;
        format_job_key(id, key);
        kv_txn_require_revision(txn, key, GPOINTER_TO_SIZE(revision));
    }
}

kv_txn_t records_build_commit(const GArray *progress, const partition_batch_t *machines,
                              uint64_t view_revision)
{
    kv_txn_t txn = kv_txn_new();
    g_autoptr(GHashTable) written_jobs = g_hash_table_new(g_str_hash, g_str_equal); /* job ids */
    kv_txn_require_revision(&txn, "view/number", view_revision);
    for (guint i = 0; progress && i < progress->len; i++) {
        const progress_t *entry = &g_array_index(progress, progress_t, i);
        if (entry->is_job_completion)
            write_job_completion(&txn, entry);
        else
            write_chunk(&txn, entry);
        g_hash_table_add(written_jobs, (gpointer)entry->job);
    }
    write_pages(&txn, machines->records);
    require_jobs(&txn, machines->jobs, written_jobs);
    return txn;
}

kv_txn_t records_build_submission(const job_spec_t *spec)
{
    char job[KV_KEY_BYTES];
    char ended[KV_KEY_BYTES];
    format_job_key(spec->id, job);
    format_ended_key(spec->id, ended);
    kv_txn_t txn = kv_txn_new();
    kv_txn_require_revision(&txn, job, 0);
    kv_txn_require_revision(&txn, ended, 0);
    kv_txn_put(&txn, job, codec_build_job(spec), 0);
    return txn;
}

kv_txn_t records_build_cancellation(const char *id, uint64_t revision, uint32_t tasks)
{
    char key[KV_KEY_BYTES];
    kv_txn_t txn = kv_txn_new();
    format_job_key(id, key);
    kv_txn_require_revision(&txn, key, revision);
    kv_txn_delete(&txn, key);
    format_ended_key(id, key);
    kv_txn_put(&txn, key, codec_build_terminal_state(false, 0), 0);
    /* A job with a single task has no progress before it ends, so there are no chunks to delete,
     * and each change counts towards the write rate limit. */
    for (uint32_t chunk = 0; tasks > 1 && chunk * CHUNK_BITS < tasks; chunk++) {
        format_chunk_key(id, chunk, key);
        kv_txn_delete(&txn, key);
    }
    return txn;
}

kv_txn_t records_build_member(const member_t *self, uint64_t revision, uint64_t lease)
{
    char key[KV_KEY_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "view/members/%s", self->name);
    kv_txn_require_revision(&txn, key, revision);
    kv_txn_put(&txn, key, codec_build_member(self), lease);
    return txn;
}
