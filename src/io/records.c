#include "io/records.h"

#include "io/codec/codec.h"

static void write_progress(kv_txn_t *txn, const progress_t *progress)
{
    char key[KV_KEY_BYTES];
    char job[KV_KEY_BYTES];
    g_snprintf(job, sizeof job, "jobs/%s", progress->job);
    if (!progress->is_job_end) {
        g_snprintf(key, sizeof key, "done/%s/%u", progress->job, progress->chunk);
        kv_txn_require_revision(txn, job, progress->job_revision);
        kv_txn_require_revision(txn, key, progress->revision);
        kv_txn_put(txn, key, codec_build_bits(progress->bits, progress->bytes, progress->done), 0);
        return;
    }
    kv_txn_require_revision(txn, job, progress->job_revision);
    kv_txn_delete(txn, job);
    g_snprintf(key, sizeof key, "ended/%s", progress->job);
    kv_txn_put(txn, key, codec_build_ended(true, progress->done), 0);
    for (guint i = 0; i < progress->old_revisions->len; i++) {
        uint64_t revision = g_array_index(progress->old_revisions, uint64_t, i);
        if (!revision)
            continue;
        g_snprintf(key, sizeof key, "done/%s/%u", progress->job, i);
        kv_txn_require_revision(txn, key, revision);
        kv_txn_delete(txn, key);
    }
}

static void write_machines(kv_txn_t *txn, const partition_batch_t *machines,
                           GHashTable *written_jobs)
{
    char key[KV_KEY_BYTES];
    char page[PAGE_NAME_BYTES];
    for (guint i = 0; i < machines->records->len; i++) {
        const page_record_t *record = &g_array_index(machines->records, page_record_t, i);
        page_name(record->shard, record->page, page, sizeof page);
        g_snprintf(key, sizeof key, "machines/%s", page);
        kv_txn_require_revision(txn, key, record->revision);
        if (record->machines->len)
            kv_txn_put(txn, key, codec_build_record(record), 0);
        else
            kv_txn_delete(txn, key);
    }
    GHashTableIter iter;
    gpointer id;
    gpointer revision;
    g_hash_table_iter_init(&iter, machines->jobs);
    while (g_hash_table_iter_next(&iter, &id, &revision)) {
        if (g_hash_table_contains(written_jobs, id))
            continue;
        g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
        kv_txn_require_revision(txn, key, GPOINTER_TO_SIZE(revision));
    }
}

kv_txn_t records_commit(const GArray *progress, const partition_batch_t *machines,
                        uint64_t view_revision)
{
    kv_txn_t txn = kv_txn_new();
    GHashTable *written = g_hash_table_new(g_str_hash, g_str_equal);
    kv_txn_require_revision(&txn, "view/number", view_revision);
    for (guint i = 0; progress && i < progress->len; i++) {
        const progress_t *entry = &g_array_index(progress, progress_t, i);
        write_progress(&txn, entry);
        g_hash_table_add(written, (gpointer)entry->job);
    }
    write_machines(&txn, machines, written);
    g_hash_table_unref(written);
    return txn;
}

kv_txn_t records_submit(const job_spec_t *spec)
{
    char live[KV_KEY_BYTES];
    char ended[KV_KEY_BYTES];
    g_snprintf(live, sizeof live, "jobs/%s", spec->id);
    g_snprintf(ended, sizeof ended, "ended/%s", spec->id);
    kv_txn_t txn = kv_txn_new();
    kv_txn_require_revision(&txn, live, 0);
    kv_txn_require_revision(&txn, ended, 0);
    kv_txn_put(&txn, live, codec_build_job(spec), 0);
    return txn;
}

kv_txn_t records_abort(const char *id, uint64_t revision, uint32_t tasks)
{
    char key[KV_KEY_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "jobs/%s", id);
    kv_txn_require_revision(&txn, key, revision);
    kv_txn_delete(&txn, key);
    g_snprintf(key, sizeof key, "ended/%s", id);
    kv_txn_put(&txn, key, codec_build_ended(false, 0), 0);
    /* A job of one task has no progress on the way, and each change is paid for. */
    for (uint32_t chunk = 0; tasks > 1 && chunk * CHUNK_BITS < tasks; chunk++) {
        g_snprintf(key, sizeof key, "done/%s/%u", id, chunk);
        kv_txn_delete(&txn, key);
    }
    return txn;
}

kv_txn_t records_member(const member_t *self, uint64_t revision, uint64_t lease)
{
    char key[KV_KEY_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "view/members/%s", self->name);
    kv_txn_require_revision(&txn, key, revision);
    kv_txn_put(&txn, key, codec_build_member(self), lease);
    return txn;
}
