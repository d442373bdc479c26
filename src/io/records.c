#include "io/records.h"

#include "io/wire.h"

static void write_progress(txn_t *txn, const progress_t *progress)
{
    char key[STATE_KEY_BYTES];
    char job[STATE_KEY_BYTES];
    g_snprintf(job, sizeof job, "jobs/%s", progress->job);
    if (!progress->end) {
        g_snprintf(key, sizeof key, "done/%s/%u", progress->job, progress->chunk);
        txn_if(txn, job, progress->job_revision);
        txn_if(txn, key, progress->revision);
        txn_set(txn, key, wire_build_bits(progress->bits, progress->bytes, progress->done), 0);
        return;
    }
    txn_if(txn, job, progress->job_revision);
    txn_delete(txn, job);
    g_snprintf(key, sizeof key, "ended/%s", progress->job);
    txn_set(txn, key, wire_build_ended(true, progress->done), 0);
    for (guint i = 0; i < progress->old_revisions->len; i++) {
        uint64_t revision = g_array_index(progress->old_revisions, uint64_t, i);
        if (!revision)
            continue;
        g_snprintf(key, sizeof key, "done/%s/%u", progress->job, i);
        txn_if(txn, key, revision);
        txn_delete(txn, key);
    }
}

static void write_machines(txn_t *txn, const partition_batch_t *machines, GHashTable *written_jobs)
{
    char key[STATE_KEY_BYTES];
    char page[PAGE_NAME_BYTES];
    for (guint i = 0; i < machines->records->len; i++) {
        const page_record_t *record = &g_array_index(machines->records, page_record_t, i);
        page_name(record->shard, record->page, page, sizeof page);
        g_snprintf(key, sizeof key, "machines/%s", page);
        txn_if(txn, key, record->revision);
        if (record->machines->len)
            txn_set(txn, key, wire_build_record(record), 0);
        else
            txn_delete(txn, key);
    }
    GHashTableIter iter;
    gpointer id;
    gpointer revision;
    g_hash_table_iter_init(&iter, machines->jobs);
    while (g_hash_table_iter_next(&iter, &id, &revision)) {
        if (g_hash_table_contains(written_jobs, id))
            continue;
        g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
        txn_if(txn, key, GPOINTER_TO_SIZE(revision));
    }
}

txn_t records_commit(const GArray *progress, const partition_batch_t *machines,
                     uint64_t view_revision)
{
    txn_t txn = txn_new();
    GHashTable *written = g_hash_table_new(g_str_hash, g_str_equal);
    txn_if(&txn, "view/number", view_revision);
    for (guint i = 0; progress && i < progress->len; i++) {
        const progress_t *entry = &g_array_index(progress, progress_t, i);
        write_progress(&txn, entry);
        g_hash_table_add(written, (gpointer)entry->job);
    }
    write_machines(&txn, machines, written);
    g_hash_table_unref(written);
    return txn;
}

txn_t records_submit(const job_spec_t *spec)
{
    char live[STATE_KEY_BYTES];
    char ended[STATE_KEY_BYTES];
    g_snprintf(live, sizeof live, "jobs/%s", spec->id);
    g_snprintf(ended, sizeof ended, "ended/%s", spec->id);
    txn_t txn = txn_new();
    txn_if(&txn, live, 0);
    txn_if(&txn, ended, 0);
    txn_set(&txn, live, wire_build_job(spec), 0);
    return txn;
}

txn_t records_abort(const char *id, uint64_t revision, uint32_t tasks)
{
    char key[STATE_KEY_BYTES];
    txn_t txn = txn_new();
    g_snprintf(key, sizeof key, "jobs/%s", id);
    txn_if(&txn, key, revision);
    txn_delete(&txn, key);
    g_snprintf(key, sizeof key, "ended/%s", id);
    txn_set(&txn, key, wire_build_ended(false, 0), 0);
    /* A job of one task has no progress on the way, and each change is paid for. */
    for (uint32_t chunk = 0; tasks > 1 && chunk * CHUNK_BITS < tasks; chunk++) {
        g_snprintf(key, sizeof key, "done/%s/%u", id, chunk);
        txn_delete(&txn, key);
    }
    return txn;
}

txn_t records_member(const member_t *self, uint64_t revision, uint64_t lease)
{
    char key[STATE_KEY_BYTES];
    txn_t txn = txn_new();
    g_snprintf(key, sizeof key, "view/members/%s", self->name);
    txn_if(&txn, key, revision);
    txn_set(&txn, key, wire_build_member(self), lease);
    return txn;
}
