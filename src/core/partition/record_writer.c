#include "core/partition/partition_internal.h"
#include "core/partition/record_writer_internal.h"

#include <string.h>

bool attempt_leaves_record(const attempt_t *attempt)
{
    return attempt->phase == ATTEMPT_TERMINATED &&
           (!attempt->is_done_reported || attempt->is_acknowledged);
}

static bool machine_has_changes(const machine_t *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = machine_attempt(machine, i);
        if (attempt_leaves_record(attempt) || !attempt->is_in_record)
            return true;
    }
    return false;
}

bool page_has_changes(const page_t *page)
{
    for (guint i = 0; i < page->machines->len; i++)
        if (machine_has_changes(page_machine(page, i)))
            return true;
    return false;
}

/* The state of a record while it is being built. */
typedef struct writer {
    partition_batch_t *batch;         /* transfer none */
    const partition_limits_t *limits; /* transfer none */
    GHashTable *headers;              /* set of ids (owned by attempts) of jobs with a header */
    gsize size;                       /* estimated size so far, in bytes */
    bool is_full; /* a start was omitted because the record has no room for it */
} writer_t;

static gsize job_header_size(const record_entry_t *entry)
{
    return RECORD_JOB_BYTES + strlen(entry->job) + strlen(entry->team) + strlen(entry->image);
}

static gsize attempt_size(const writer_t *writer, const attempt_t *attempt)
{
    const record_entry_t *entry = &attempt->entry;
    if (g_hash_table_contains(writer->headers, entry->job))
        return RECORD_ATTEMPT_BYTES;
    return RECORD_ATTEMPT_BYTES + job_header_size(entry);
}

static gsize machine_size(const machine_t *machine)
{
    return RECORD_MACHINE_BYTES + strlen(machine->id) + strlen(machine->address) +
           strlen(machine->type) + strlen(machine->zone);
}

/* Returns whether a start fits into the record and the batch. A start that does not fit stays in
 * the phase ATTEMPT_PLACED until a later commit. */
static bool start_fits(writer_t *writer, const attempt_t *attempt)
{
    GHashTable *jobs = writer->batch->jobs;
    if (writer->size + attempt_size(writer, attempt) > writer->limits->value_max) {
        writer->is_full = true;
        return false;
    }
    return g_hash_table_size(jobs) < writer->limits->jobs ||
           g_hash_table_contains(jobs, attempt->entry.job);
}

static void write_attempt(writer_t *writer, const attempt_t *attempt, machine_record_t *record)
{
    writer->size += attempt_size(writer, attempt);
    g_hash_table_add(writer->headers, (gpointer)attempt->entry.job);
    g_array_append_val(record->entries, attempt->entry);
}

/* Writes the attempts that stay in the record, without regard to the size limit, because the record
 * must contain them. Starts get the remaining room. */
static void write_recorded(writer_t *writer, machine_t *machine, machine_record_t *record)
{
    if (machine->attempts->len)
        writer->size += machine_size(machine);
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (attempt_leaves_record(attempt))
            attempt->batch_change = BATCH_DROP;
        else if (attempt->is_in_record)
            write_attempt(writer, attempt, record);
    }
}

static void write_starts(writer_t *writer, machine_t *machine, machine_record_t *record)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (attempt->is_in_record || attempt_leaves_record(attempt) || !start_fits(writer, attempt))
            continue;
        attempt->batch_change = BATCH_ADD;
        g_hash_table_insert(writer->batch->jobs, g_strdup(attempt->entry.job),
                            GSIZE_TO_POINTER(attempt->job_revision));
        write_attempt(writer, attempt, record);
    }
}

/* Returns the machine's record without its attempts. */
static machine_record_t machine_record_of(const machine_t *machine)
{
    machine_record_t record = {.is_spot = machine->is_spot,
                               .worker_epoch = machine->worker_epoch,
                               .entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t))};
    g_strlcpy(record.machine, machine->id, sizeof record.machine);
    g_strlcpy(record.address, machine->address, sizeof record.address);
    g_strlcpy(record.type, machine->type, sizeof record.type);
    g_strlcpy(record.zone, machine->zone, sizeof record.zone);
    return record;
}

/* Writes the machines of the page that have attempts to record. */
static void write_machines(writer_t *writer, const page_t *page, GArray *records)
{
    for (guint i = 0; i < page->machines->len; i++) {
        machine_t *machine = page_machine(page, i);
        machine_record_t record = machine_record_of(machine);
        write_recorded(writer, machine, &record);
        g_array_append_val(records, record);
    }
    for (guint i = page->machines->len; i-- > 0;) {
        machine_record_t *record = &g_array_index(records, machine_record_t, i);
        write_starts(writer, page_machine(page, i), record);
        if (record->entries->len == 0)
            g_array_remove_index(records, i);
    }
}

void batch_add_page(partition_batch_t *batch, page_t *page, const partition_limits_t *limits)
{
    page_record_t record = {
        .page = page->number, .revision = page->revision, .machines = machine_records_new()};
    g_autoptr(GHashTable) headers = g_hash_table_new(g_str_hash, g_str_equal);
    writer_t writer = {
        .batch = batch, .limits = limits, .headers = headers, .size = RECORD_RESERVE_BYTES};
    g_strlcpy(record.shard, page->shard, sizeof record.shard);
    write_machines(&writer, page, record.machines);
    g_array_append_val(batch->records, record);
    batch->bytes += writer.size;
    page->record_bytes = writer.size;
    page->is_full = writer.is_full;
    page->is_in_batch = true;
    page->flush_order = 0;
    page->is_flush_deferred = false;
}
