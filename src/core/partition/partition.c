#include "core/partition/partition.h"
#include "core/partition/drain_internal.h"
#include "core/partition/partition_internal.h"
#include "core/partition/push_queue_internal.h"

partition_t *partition_new(const GArray *machine_types, const GArray *teams,
                           msec_t reservation_ttl_ms)
{
    partition_t *partition = g_new0(partition_t, 1);
    partition->machines = machines_new();
    partition->shards = shards_new();
    partition->terminated_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    partition->draining = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    partition->push_queue = g_queue_new();
    partition->attempts = g_hash_table_new(task_ref_hash, task_ref_equal);
    partition->machine_types = machine_types;
    partition->teams = teams;
    partition->results = g_array_new(FALSE, TRUE, sizeof(attempt_result_t));
    partition->reservation_ttl_ms = reservation_ttl_ms;
    partition->acknowledgement_timeout_ms = ACKNOWLEDGEMENT_TIMEOUT_MS;
    return partition;
}

void partition_free(partition_t *partition)
{
    g_hash_table_unref(partition->attempts);
    g_hash_table_unref(partition->machines);
    g_hash_table_unref(partition->shards);
    g_hash_table_unref(partition->terminated_machines);
    g_hash_table_unref(partition->draining);
    g_queue_free(partition->push_queue);
    g_array_unref(partition->results);
    g_free(partition);
}

void partition_set_view(partition_t *partition, uint64_t view)
{
    partition->view = view;
}

guint partition_machine_count(const partition_t *partition)
{
    return g_hash_table_size(partition->machines);
}

guint partition_attempt_count(const partition_t *partition)
{
    return g_hash_table_size(partition->attempts);
}

uint64_t partition_change_count(const partition_t *partition)
{
    return partition->change_count;
}

const GArray *partition_results(const partition_t *partition)
{
    return partition->results;
}

void partition_clear_results(partition_t *partition)
{
    g_array_set_size(partition->results, 0);
}

/* Returns the longest expected time between the arrivals of two successive heartbeats. With a fixed
 * timeout of 4 s, machines would look silent between two heartbeats if the interval is 3 s and some
 * heartbeats are half an interval late. */
static msec_t max_heartbeat_gap_ms(double heartbeat_interval_s)
{
    return (msec_t)(heartbeat_interval_s * HEARTBEAT_GAP_MAX_FACTOR * MS_PER_S) +
           HEARTBEAT_DELAY_MAX_MS;
}

void partition_set_heartbeat_interval(partition_t *partition, double heartbeat_interval_s)
{
    msec_t max_gap_ms = max_heartbeat_gap_ms(heartbeat_interval_s);
    partition->acknowledgement_timeout_ms = MAX(ACKNOWLEDGEMENT_TIMEOUT_MS, max_gap_ms);
}

void partition_delay_probes(partition_t *partition, double heartbeat_interval_s)
{
    partition->probe_delay_ms = max_heartbeat_gap_ms(heartbeat_interval_s);
}

void partition_apply_machine_types(partition_t *partition)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        partition_look_up_capacity(partition, value);
}

static void load_attempt(partition_t *partition, machine_t *machine, const record_entry_t *entry,
                         msec_t now)
{
    attempt_t *attempt = partition_add_attempt(partition, machine, entry);
    attempt->phase = ATTEMPT_RECORDED;
    attempt->worker_epoch = machine->worker_epoch;
    attempt->is_in_record = true;
    reservation_add(machine->reservations, attempt->reservation_id, attempt->entry.need, 0, now);
}

static void load_machine(partition_t *partition, const machine_record_t *record, page_t *page,
                         msec_t now)
{
    machine_t *machine = partition_add_machine(partition, record->machine, record->zone, page, now);
    g_strlcpy(machine->address, record->address, sizeof machine->address);
    g_strlcpy(machine->type, record->type, sizeof machine->type);
    machine->is_spot = record->is_spot;
    machine->worker_epoch = record->worker_epoch;
    partition_look_up_capacity(partition, machine);
    machine->needs_probe = true;
    partition_queue_push(partition, machine);
    for (guint i = 0; i < record->entries->len; i++)
        load_attempt(partition, machine, &g_array_index(record->entries, record_entry_t, i), now);
}

void partition_load_record(partition_t *partition, const page_record_t *record, msec_t now)
{
    shard_t *shard = partition_ensure_shard(partition, record->shard);
    page_t *page = shard_ensure_page(shard, record->page);
    page->revision = record->revision;
    for (guint i = 0; i < record->machines->len; i++)
        load_machine(partition, &g_array_index(record->machines, machine_record_t, i), page, now);
}

void partition_record_machine_terminated(partition_t *partition, const char *id)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine)
        return;
    machine->is_draining = true;
    g_hash_table_remove(partition->draining, id);
    for (guint i = 0; i < machine->attempts->len; i++)
        partition_terminate_attempt(partition, machine_attempt(machine, i), CAUSE_NONE);
    machine->has_responded = false;
    machine->is_terminated = true;
    partition_request_flush(partition, machine);
}

static void tick_machines(partition_t *partition, msec_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        machine_t *machine = value;
        reservation_expire(machine->reservations, now, partition->reservation_ttl_ms);
        partition_evict_from_draining(partition, machine, now);
    }
}

/* Sets the time from which a deferred flush waits, for each page that has none yet. The wait of a
 * deferred flush is thus counted from the last tick before the flush was deferred. */
static void tick_pages(const partition_t *partition, msec_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const shard_t *shard = value;
        for (guint i = 0; i < shard->pages->len; i++) {
            page_t *page = shard_page(shard, i);
            if (!page->is_flush_deferred)
                page->flush_deferred_at = now;
        }
    }
}

void partition_tick(partition_t *partition, msec_t now)
{
    tick_machines(partition, now);
    tick_pages(partition, now);
}
