/* Record pages: what the durable records are to hold, and the batches that are committed. */
#include "core/partition/partition_internal.h"

#include <string.h>

static void record_clear(gpointer data)
{
    g_array_unref(((machine_record_t *)data)->entries);
}

GArray *machine_records_new(void)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(machine_record_t));
    g_array_set_clear_func(records, record_clear);
    return records;
}

/* Whether the attempt is to leave the record. */
static bool leaves(const attempt_t *attempt)
{
    return attempt->phase == ATTEMPT_TERMINATED &&
           (!attempt->is_done_reported || attempt->is_acknowledged);
}

/* What never got into the record goes without a commit. */
static void drop_unrecorded(partition_t *partition, machine_t *machine)
{
    for (guint i = machine->attempts->len; i-- > 0;) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->is_in_record || attempt->batch != BATCH_NONE ||
            (attempt->phase != ATTEMPT_TERMINATED && !attempt->is_stop_requested))
            continue;
        attempt->cause = CAUSE_NONE;
        partition_add_result(partition, attempt);
        partition_attempt_drop(partition, attempt);
    }
}

/* Whether what the record is to hold differs from what it holds. */
static bool has_change(const page_t *page)
{
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(page->machines, i);
        for (guint k = 0; k < machine->attempts->len; k++) {
            const attempt_t *attempt = g_ptr_array_index(machine->attempts, k);
            if (leaves(attempt) || !attempt->is_in_record)
                return true;
        }
    }
    return false;
}

/* A record while it is put together. */
typedef struct writer {
    partition_batch_t *batch;
    GHashTable *headers; /* jobs that it has a header for */
    gsize size;
    gsize value_max;
    guint max_jobs;
    bool full; /* a start was left out for the size */
} writer_t;

static gsize attempt_size(writer_t *writer, const attempt_t *attempt)
{
    const record_entry_t *entry = &attempt->entry;
    bool known = g_hash_table_contains(writer->headers, entry->job);
    return RECORD_ATTEMPT_BYTES + (known ? 0
                                         : RECORD_JOB_BYTES + strlen(entry->job) +
                                               strlen(entry->team) + strlen(entry->image));
}

static gsize machine_size(const machine_t *machine)
{
    return RECORD_MACHINE_BYTES + strlen(machine->id) + strlen(machine->address) +
           strlen(machine->type) + strlen(machine->zone);
}

/* A start that the limits leave no room for stays placed until a later commit. */
static bool admit_start(writer_t *writer, const attempt_t *attempt)
{
    GHashTable *jobs = writer->batch->jobs;
    if (writer->size + attempt_size(writer, attempt) > writer->value_max) {
        writer->full = true;
        return false;
    }
    return g_hash_table_size(jobs) < writer->max_jobs ||
           g_hash_table_contains(jobs, attempt->entry.job);
}

static void write_attempt(writer_t *writer, const attempt_t *attempt, machine_record_t *record)
{
    writer->size += attempt_size(writer, attempt);
    g_hash_table_add(writer->headers, (gpointer)attempt->entry.job);
    g_array_append_val(record->entries, attempt->entry);
}

/* What stays in the record must be in it, whatever the room; starts come into what that leaves. */
static void write_recorded(writer_t *writer, machine_t *machine, machine_record_t *record)
{
    if (machine->attempts->len)
        writer->size += machine_size(machine);
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (leaves(attempt))
            attempt->batch = BATCH_DROP;
        else if (attempt->is_in_record)
            write_attempt(writer, attempt, record);
    }
}

static void write_starts(writer_t *writer, machine_t *machine, machine_record_t *record)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->is_in_record || leaves(attempt) || !admit_start(writer, attempt))
            continue;
        attempt->batch = BATCH_ADD;
        g_hash_table_insert(writer->batch->jobs, g_strdup(attempt->entry.job),
                            GSIZE_TO_POINTER(attempt->job_revision));
        write_attempt(writer, attempt, record);
    }
}

static machine_record_t machine_record(const machine_t *machine)
{
    machine_record_t record = {.spot = machine->spot,
                               .worker_epoch = machine->worker_epoch,
                               .entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t))};
    g_strlcpy(record.machine, machine->id, sizeof record.machine);
    g_strlcpy(record.address, machine->address, sizeof record.address);
    g_strlcpy(record.type, machine->type, sizeof record.type);
    g_strlcpy(record.zone, machine->zone, sizeof record.zone);
    return record;
}

/* Appends the page's record to the batch. Only machines with attempts are listed. */
static void batch_page(partition_batch_t *batch, page_t *page, guint max_jobs, gsize value_max)
{
    page_record_t record = {
        .page = page->number, .revision = page->revision, .machines = machine_records_new()};
    writer_t writer = {.batch = batch,
                       .headers = g_hash_table_new(g_str_hash, g_str_equal),
                       .size = RECORD_RESERVE_BYTES,
                       .value_max = value_max,
                       .max_jobs = max_jobs};
    g_strlcpy(record.shard, page->shard, sizeof record.shard);
    for (guint i = 0; i < page->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        machine_record_t entry = machine_record(machine);
        write_recorded(&writer, machine, &entry);
        g_array_append_val(record.machines, entry);
    }
    for (guint i = page->machines->len; i-- > 0;) {
        machine_record_t *entry = &g_array_index(record.machines, machine_record_t, i);
        write_starts(&writer, g_ptr_array_index(page->machines, i), entry);
        if (entry->entries->len == 0)
            g_array_remove_index(record.machines, i);
    }
    g_hash_table_unref(writer.headers);
    g_array_append_val(batch->records, record);
    page->size = writer.size;
    page->is_full = writer.full;
    page->is_in_batch = true;
    page->flush_order = 0;
    page->is_flush_deferred = false;
}

/* Half of a full page's machines go to another page of the shard. Both records are written in one
 * transaction, so that each machine stands under one key at every moment. Without it a shard that
 * nears the value limit would refuse its starts for as long as the fleet is that large. */
static void divide(partition_t *partition, page_t *page)
{
    shard_t *shard = g_hash_table_lookup(partition->shards, page->shard);
    guint total = 0;
    guint busy = 0;
    guint number = 0;
    guint moved = 0;
    page->is_full = false;
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(page->machines, i);
        total += machine->attempts->len;
        busy += machine->attempts->len > 0;
    }
    for (guint i = 0; busy == 1 && i < page->machines->len; i++) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        machine->is_page_full = machine->attempts->len > 0;
    }
    if (busy < 2)
        return;
    while (partition_page_lookup(shard, number))
        number++;
    page_t *half = partition_page(shard, number);
    for (guint i = page->machines->len; i-- > 0 && 2 * moved < total;) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        if (moved > 0 && moved + machine->attempts->len >= total)
            break; /* the last with any work stays */
        moved += machine->attempts->len;
        machine->page = half;
        g_ptr_array_remove_index(page->machines, i);
        g_ptr_array_add(half->machines, machine);
    }
    page->split_sibling = half;
    half->split_sibling = page;
}

static gint compare_pages(gconstpointer left, gconstpointer right)
{
    const page_t *first = *(page_t *const *)left;
    const page_t *second = *(page_t *const *)right;
    uint64_t first_turn = first->flush_order ? first->flush_order : UINT64_MAX;
    uint64_t second_turn = second->flush_order ? second->flush_order : UINT64_MAX;
    return first_turn < second_turn ? -1 : first_turn > second_turn;
}

/* Pages to write now, first come first: else, with a low rate limit, the last would never be. */
static GPtrArray *pages_due(const partition_t *partition, msec_t now)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const shard_t *shard = value;
        for (guint i = 0; i < shard->pages->len; i++) {
            page_t *page = g_ptr_array_index(shard->pages, i);
            if (page->flush_order ||
                (page->is_flush_deferred && now - page->flush_deferred_at >= RECORD_FLUSH_DELAY_MS))
                g_ptr_array_add(due, page);
        }
    }
    g_ptr_array_sort(due, compare_pages);
    return due;
}

static void drop_idle_terminated(partition_t *partition, page_t *page)
{
    for (guint i = page->machines->len; i-- > 0;) {
        machine_t *machine = g_ptr_array_index(page->machines, i);
        drop_unrecorded(partition, machine);
        if (machine->is_terminated && machine->attempts->len == 0)
            partition_machine_drop(partition, machine);
    }
}

static void page_record_clear(gpointer data)
{
    g_array_unref(((page_record_t *)data)->machines);
}

/* What the page's record may take at most now. */
static gsize page_bound(const page_t *page, gsize value_max)
{
    gsize fresh = 0;
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = g_ptr_array_index(page->machines, i);
        for (guint k = 0; k < machine->attempts->len; k++)
            fresh += !((const attempt_t *)g_ptr_array_index(machine->attempts, k))->is_in_record;
    }
    gsize each = RECORD_ATTEMPT_BYTES + RECORD_MACHINE_BYTES + RECORD_JOB_BYTES + 4 * LABEL_BYTES;
    return page->size ? MIN(value_max, page->size + fresh * each) : value_max;
}

/* Whether there is something of the page to write. One in which a start found no room is divided.
 */
static bool prepare_page(partition_t *partition, page_t *page)
{
    if (page->is_in_batch)
        return false; /* with its half */
    drop_idle_terminated(partition, page);
    if (page->is_full && !page->split_sibling)
        divide(partition, page);
    if (page->split_sibling || has_change(page))
        return true;
    page->flush_order = 0;
    page->is_flush_deferred = false;
    return false;
}

partition_batch_t *partition_batch_take(partition_t *partition, const partition_limits_t *limits,
                                        msec_t now)
{
    gsize value_max = limits->value_max;
    partition_batch_t *batch = g_new0(partition_batch_t, 1);
    batch->records = g_array_new(FALSE, FALSE, sizeof(page_record_t));
    g_array_set_clear_func(batch->records, page_record_clear);
    batch->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GPtrArray *due = pages_due(partition, now);
    for (guint i = 0; i < due->len && batch->records->len < limits->ops; i++) {
        page_t *page = g_ptr_array_index(due, i);
        if (!prepare_page(partition, page))
            continue;
        gsize bound = page_bound(page, value_max) + (page->split_sibling ? value_max : 0);
        if (page->split_sibling && batch->records->len + 2 > limits->ops)
            continue;
        if (batch->bytes > 0 && batch->bytes + bound > limits->bytes)
            break;
        batch_page(batch, page, limits->jobs, value_max);
        batch->bytes += page->size;
        if (page->split_sibling) {
            drop_idle_terminated(partition, page->split_sibling);
            batch_page(batch, page->split_sibling, limits->jobs, value_max);
            batch->bytes += page->split_sibling->size;
        }
    }
    g_ptr_array_unref(due);
    return batch;
}

static void machine_committed(partition_t *partition, machine_t *machine, msec_t now)
{
    bool changed = false;
    for (guint i = machine->attempts->len; i-- > 0;) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        changed = changed || attempt->batch != BATCH_NONE;
        if (attempt->batch == BATCH_ADD) {
            attempt->is_in_record = true;
            /* It may have been proved over while the commit was under way: then it is not sent, and
             * leaves with the next one. */
            if (attempt->phase == ATTEMPT_PLACED)
                attempt->phase = ATTEMPT_RECORDED;
            else
                partition_flush_machine(partition, machine);
            partition_queue_push(partition, machine);
        } else if (attempt->batch == BATCH_DROP) {
            machine->is_page_full = false;
            if (!attempt->is_done_reported)
                partition_add_result(partition, attempt);
            partition_attempt_drop(partition, attempt);
            continue;
        } else if (!attempt->is_in_record) {
            partition_flush_machine(partition, machine); /* left out, or placed since */
        }
        attempt->batch = BATCH_NONE;
    }
    if (changed)
        machine->idle_since = now;
}

static page_t *page_of_record(const partition_t *partition, const page_record_t *record)
{
    return partition_page_lookup(g_hash_table_lookup(partition->shards, record->shard),
                                 record->page);
}

void partition_batch_commit(partition_t *partition, partition_batch_t *batch, uint64_t revision,
                            msec_t now)
{
    for (guint i = 0; i < batch->records->len; i++) {
        const page_record_t *record = &g_array_index(batch->records, page_record_t, i);
        page_t *page = page_of_record(partition, record);
        page->revision = record->machines->len ? revision : 0;
        page->is_in_batch = false;
        page->split_sibling = NULL; /* its half was in the same commit */
        for (guint k = page->machines->len; k-- > 0;) {
            machine_t *machine = g_ptr_array_index(page->machines, k);
            machine_committed(partition, machine, now);
            if (machine->is_terminated && machine->attempts->len == 0)
                partition_machine_drop(partition, machine);
        }
    }
}

static void machine_undone(machine_t *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        ((attempt_t *)g_ptr_array_index(machine->attempts, i))->batch = BATCH_NONE;
}

void partition_batch_undo(partition_t *partition, partition_batch_t *batch)
{
    for (guint i = 0; i < batch->records->len; i++) {
        page_t *page = page_of_record(partition, &g_array_index(batch->records, page_record_t, i));
        partition_flush_page(partition, page);
        page->is_in_batch = false;
        for (guint k = 0; k < page->machines->len; k++)
            machine_undone(g_ptr_array_index(page->machines, k));
    }
}

void partition_batch_free(partition_batch_t *batch)
{
    g_array_unref(batch->records);
    g_hash_table_unref(batch->jobs);
    g_free(batch);
}
