#include "core/partition/page_split_internal.h"
#include "core/partition/partition_batch.h"
#include "core/partition/partition_internal.h"
#include "core/partition/push_queue_internal.h"
#include "core/partition/record_writer_internal.h"

static void page_record_clear(gpointer data)
{
    page_record_t *record = data;
    g_array_unref(record->machines);
}

static partition_batch_t *batch_new(void)
{
    partition_batch_t *batch = g_new0(partition_batch_t, 1);
    batch->records = g_array_new(FALSE, FALSE, sizeof(page_record_t));
    g_array_set_clear_func(batch->records, page_record_clear);
    batch->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return batch;
}

void partition_batch_free(partition_batch_t *batch)
{
    g_array_unref(batch->records);
    g_hash_table_unref(batch->jobs);
    g_free(batch);
}

static bool is_page_due(const page_t *page, msec_t now)
{
    return page->flush_order ||
           (page->is_flush_deferred && now - page->flush_deferred_at >= RECORD_FLUSH_DELAY_MS);
}

/* Orders pages by flush order. Pages for which only the deferred flush is due come last. */
static gint compare_pages(gconstpointer left, gconstpointer right)
{
    const page_t *first = *(page_t *const *)left;
    const page_t *second = *(page_t *const *)right;
    uint64_t first_order = first->flush_order ? first->flush_order : UINT64_MAX;
    uint64_t second_order = second->flush_order ? second->flush_order : UINT64_MAX;
    if (first_order < second_order)
        return -1;
    return first_order > second_order;
}

/* Returns the pages that are due now, in the order in which their flush was first requested: array
 * of page_t (transfer container). In any other order, some pages might never be written under a low
 * rate limit. */
static GPtrArray *due_pages(const partition_t *partition, msec_t now)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const shard_t *shard = value;
        for (guint i = 0; i < shard->pages->len; i++) {
            page_t *page = shard_page(shard, i);
            if (is_page_due(page, now))
                g_ptr_array_add(due, page);
        }
    }
    g_ptr_array_sort(due, compare_pages);
    return due;
}

/* Returns whether the attempt is over or is to be stopped, and is neither in the record nor in the
 * batch. */
static bool ended_before_recording(const attempt_t *attempt)
{
    return !attempt->is_in_record && attempt->batch_change == BATCH_NONE &&
           (attempt->phase == ATTEMPT_TERMINATED || attempt->is_stop_requested);
}

/* Drops the attempts that ended before they were recorded. This needs no commit. */
static void drop_unrecorded(partition_t *partition, machine_t *machine)
{
    for (guint i = machine->attempts->len; i-- > 0;) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (!ended_before_recording(attempt))
            continue;
        attempt->cause = CAUSE_NONE;
        partition_add_result(partition, attempt);
        partition_drop_attempt(partition, attempt);
    }
}

static void drop_if_terminated(partition_t *partition, machine_t *machine)
{
    if (machine->is_terminated && machine->attempts->len == 0)
        partition_drop_machine(partition, machine);
}

/* Drops the attempts and machines of the page whose removal needs no commit. */
static void clean_page(partition_t *partition, page_t *page)
{
    for (guint i = page->machines->len; i-- > 0;) {
        machine_t *machine = page_machine(page, i);
        drop_unrecorded(partition, machine);
        drop_if_terminated(partition, machine);
    }
}

static gsize count_unrecorded(const page_t *page)
{
    gsize count = 0;
    for (guint i = 0; i < page->machines->len; i++) {
        const machine_t *machine = page_machine(page, i);
        for (guint k = 0; k < machine->attempts->len; k++)
            count += !machine_attempt(machine, k)->is_in_record;
    }
    return count;
}

/* Returns an upper bound of the current size of the page's record, in bytes. */
static gsize page_bytes_bound(const page_t *page, gsize value_max)
{
    const gsize start_bytes_max =
        RECORD_ATTEMPT_BYTES + RECORD_MACHINE_BYTES + RECORD_JOB_BYTES + 4 * LABEL_BYTES;
    if (page->record_bytes == 0)
        return value_max;
    return MIN(value_max, page->record_bytes + count_unrecorded(page) * start_bytes_max);
}

/* Returns whether the page has anything to write. A page whose record had no room for a start is
 * split first. */
static bool prepare_page(partition_t *partition, page_t *page)
{
    if (page->is_in_batch)
        return false; /* it was added to the batch with its split sibling */
    clean_page(partition, page);
    if (page->is_full && !page->split_sibling)
        partition_split_page(partition, page);
    if (page->split_sibling || page_has_changes(page))
        return true;
    page->flush_order = 0;
    page->is_flush_deferred = false;
    return false;
}

/* Adds the page's record to the batch, and that of its split sibling if it has one. */
static void batch_add_pages(partition_t *partition, partition_batch_t *batch, page_t *page,
                            const partition_limits_t *limits)
{
    batch_add_page(batch, page, limits);
    if (page->split_sibling) {
        clean_page(partition, page->split_sibling);
        batch_add_page(batch, page->split_sibling, limits);
    }
}

partition_batch_t *partition_batch_take(partition_t *partition, const partition_limits_t *limits,
                                        msec_t now)
{
    partition_batch_t *batch = batch_new();
    g_autoptr(GPtrArray) due = due_pages(partition, now);
    for (guint i = 0; i < due->len && batch->records->len < limits->ops; i++) {
        page_t *page = g_ptr_array_index(due, i);
        if (!prepare_page(partition, page))
            continue;
        gsize bound = page_bytes_bound(page, limits->value_max);
        if (page->split_sibling)
            bound += limits->value_max;
        if (page->split_sibling && batch->records->len + 2 > limits->ops)
            continue;
        if (batch->bytes > 0 && batch->bytes + bound > limits->bytes)
            break;
        batch_add_pages(partition, batch, page, limits);
    }
    return batch;
}

static void commit_start(partition_t *partition, machine_t *machine, attempt_t *attempt)
{
    attempt->batch_change = BATCH_NONE;
    attempt->is_in_record = true;
    /* If the attempt was proven to be over while the commit was in flight, its `run` is not sent,
     * and the next commit removes it from the record. */
    if (attempt->phase == ATTEMPT_PLACED)
        attempt->phase = ATTEMPT_RECORDED;
    else
        partition_request_flush(partition, machine);
    partition_queue_push(partition, machine);
}

static void commit_drop(partition_t *partition, machine_t *machine, attempt_t *attempt)
{
    machine->fills_page = false;
    if (!attempt->is_done_reported)
        partition_add_result(partition, attempt);
    partition_drop_attempt(partition, attempt);
}

static void commit_attempt(partition_t *partition, machine_t *machine, attempt_t *attempt)
{
    switch (attempt->batch_change) {
    case BATCH_ADD:
        commit_start(partition, machine, attempt);
        break;
    case BATCH_DROP:
        commit_drop(partition, machine, attempt);
        break;
    case BATCH_NONE:
        /* The attempt was omitted from the batch, or placed after the batch was taken. */
        if (!attempt->is_in_record)
            partition_request_flush(partition, machine);
        break;
    }
}

static void commit_machine(partition_t *partition, machine_t *machine, msec_t now)
{
    bool is_changed = false;
    for (guint i = machine->attempts->len; i-- > 0;) {
        attempt_t *attempt = machine_attempt(machine, i);
        is_changed = is_changed || attempt->batch_change != BATCH_NONE;
        commit_attempt(partition, machine, attempt);
    }
    if (is_changed)
        machine->idle_since_at = now;
}

static page_t *page_of_record(const partition_t *partition, const page_record_t *record)
{
    const shard_t *shard = g_hash_table_lookup(partition->shards, record->shard);
    return shard_find_page(shard, record->page);
}

void partition_batch_commit(partition_t *partition, partition_batch_t *batch, uint64_t revision,
                            msec_t now)
{
    for (guint i = 0; i < batch->records->len; i++) {
        const page_record_t *record = &g_array_index(batch->records, page_record_t, i);
        page_t *page = page_of_record(partition, record);
        page->revision = record->machines->len ? revision : 0;
        page->is_in_batch = false;
        page->split_sibling = NULL; /* the record of the sibling was in the same commit */
        for (guint k = page->machines->len; k-- > 0;) {
            machine_t *machine = page_machine(page, k);
            commit_machine(partition, machine, now);
            drop_if_terminated(partition, machine);
        }
    }
}

static void undo_machine(machine_t *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        machine_attempt(machine, i)->batch_change = BATCH_NONE;
}

void partition_batch_undo(partition_t *partition, partition_batch_t *batch)
{
    for (guint i = 0; i < batch->records->len; i++) {
        const page_record_t *record = &g_array_index(batch->records, page_record_t, i);
        page_t *page = page_of_record(partition, record);
        partition_request_page_flush(partition, page);
        page->is_in_batch = false;
        for (guint k = 0; k < page->machines->len; k++)
            undo_machine(page_machine(page, k));
    }
}
