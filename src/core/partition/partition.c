/* The machine table: machines, their shards and pages, and what is loaded from the records. */
#include "core/partition/partition_internal.h"

#include <string.h>

#include <xxhash.h>

static void machine_free(gpointer data)
{
    machine_t *machine = data;
    g_ptr_array_unref(machine->attempts);
    g_array_unref(machine->reservations);
    g_hash_table_unref(machine->images);
    g_free(machine);
}

static void page_free(gpointer data)
{
    g_ptr_array_unref(((page_t *)data)->machines);
    g_free(data);
}

static void shard_free(gpointer data)
{
    g_ptr_array_unref(((shard_t *)data)->pages);
    g_free(data);
}

partition_t *partition_new(const GArray *machine_types, const GArray *teams, msec_t reservation_ttl)
{
    partition_t *partition = g_new0(partition_t, 1);
    partition->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    partition->shards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shard_free);
    partition->terminated_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    partition->draining = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    partition->push_queue = g_queue_new();
    partition->attempts = g_hash_table_new(task_ref_hash, task_ref_equal);
    partition->machine_types = machine_types;
    partition->teams = teams;
    partition->results = g_array_new(FALSE, TRUE, sizeof(attempt_result_t));
    partition->reservation_ttl = reservation_ttl;
    partition->acknowledgement_timeout = ACKNOWLEDGEMENT_TIMEOUT_MS;
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

/* Fleets that heartbeat every 3 s, some of them late by a half, looked silent between two reports.
 */
void partition_set_heartbeat_interval(partition_t *partition, double heartbeat_interval_s)
{
    partition->acknowledgement_timeout = MAX(
        ACKNOWLEDGEMENT_TIMEOUT_MS,
        (msec_t)(heartbeat_interval_s * HEARTBEAT_SPREAD_FACTOR * MS_PER_S) + HEARTBEAT_LATE_MS);
}

void partition_delay_probes(partition_t *partition, double heartbeat_interval_s)
{
    partition->probe_delay =
        (msec_t)(heartbeat_interval_s * HEARTBEAT_SPREAD_FACTOR * MS_PER_S) + HEARTBEAT_LATE_MS;
}

void partition_look_up_capacity(const partition_t *partition, machine_t *machine)
{
    for (guint i = 0; i < partition->machine_types->len; i++) {
        const machine_type_t *machine_type =
            &g_array_index(partition->machine_types, machine_type_t, i);
        if (strcmp(machine_type->name, machine->type) == 0) {
            machine->capacity = machine_type->capacity;
            machine->is_capacity_known = true;
        }
    }
}

void partition_inherit_drains(partition_t *partition, const partition_t *earlier)
{
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, earlier->draining);
    while (g_hash_table_iter_next(&iter, &id, NULL))
        if (g_hash_table_contains(earlier->machines, id))
            g_hash_table_add(partition->draining, g_strdup(id));
}

void partition_set_draining(partition_t *partition, const char *id, bool is_draining)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->is_terminated)
        return;
    machine->is_draining = is_draining;
    if (is_draining)
        g_hash_table_add(partition->draining, g_strdup(id));
    else
        g_hash_table_remove(partition->draining, id);
}

void partition_apply_machine_types(partition_t *partition)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        partition_look_up_capacity(partition, value);
}

shard_t *partition_shard(partition_t *partition, const char *name)
{
    shard_t *shard = g_hash_table_lookup(partition->shards, name);
    if (!shard) {
        shard = g_new0(shard_t, 1);
        g_strlcpy(shard->name, name, sizeof shard->name);
        shard->pages = g_ptr_array_new_with_free_func(page_free);
        g_hash_table_insert(partition->shards, shard->name, shard);
    }
    return shard;
}

page_t *partition_page_lookup(const shard_t *shard, guint number)
{
    for (guint i = 0; shard && i < shard->pages->len; i++) {
        page_t *page = g_ptr_array_index(shard->pages, i);
        if (page->number == number)
            return page;
    }
    return NULL;
}

page_t *partition_page(shard_t *shard, guint number)
{
    page_t *page = partition_page_lookup(shard, number);
    if (!page) {
        page = g_new0(page_t, 1);
        g_strlcpy(page->shard, shard->name, sizeof page->shard);
        page->number = number;
        page->machines = g_ptr_array_new();
        g_ptr_array_add(shard->pages, page);
    }
    return page;
}

/* The page with the fewest machines; the first one is there from the start. */
static page_t *page_for_new(shard_t *shard)
{
    page_t *best = partition_page(shard, 0);
    for (guint i = 0; i < shard->pages->len; i++) {
        page_t *page = g_ptr_array_index(shard->pages, i);
        if (page->machines->len < best->machines->len)
            best = page;
    }
    return best;
}

void partition_flush_page(partition_t *partition, page_t *page)
{
    if (!page->flush_order)
        page->flush_order = ++partition->last_flush_order;
    partition->changes++;
}

void partition_flush_machine(partition_t *partition, const machine_t *machine)
{
    partition_flush_page(partition, machine->page);
}

machine_t *partition_machine_add(partition_t *partition, const char *id, const char *zone,
                                 page_t *page, msec_t now)
{
    machine_t *machine = g_new0(machine_t, 1);
    g_strlcpy(machine->id, id, sizeof machine->id);
    machine->dispatcher_index =
        (guint)(XXH64(id, strlen(id), DISPATCHERS_COUNT) % DISPATCHERS_COUNT);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->page = page;
    if (!page) {
        char shard[SHARD_NAME_BYTES];
        shard_of(id, zone, shard, sizeof shard);
        machine->page = page_for_new(partition_shard(partition, shard));
    }
    g_ptr_array_add(machine->page->machines, machine);
    machine->attempts = g_ptr_array_new_with_free_func(g_free);
    machine->reservations = g_array_new(FALSE, FALSE, sizeof(reservation_t));
    machine->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine->first_seen_at = machine->last_heartbeat_at = machine->last_acknowledged_at =
        machine->idle_since = now;
    machine->is_draining = g_hash_table_contains(partition->draining, id);
    g_hash_table_insert(partition->machines, machine->id, machine);
    return machine;
}

void partition_machine_drop(partition_t *partition, machine_t *machine)
{
    g_ptr_array_remove(machine->page->machines, machine);
    if (machine->is_push_queued)
        g_queue_remove(partition->push_queue, machine);
    g_hash_table_add(partition->terminated_machines, g_strdup(machine->id));
    g_hash_table_remove(partition->machines, machine->id);
}

static void load_machine(partition_t *partition, const machine_record_t *record, page_t *page,
                         msec_t now)
{
    machine_t *machine = partition_machine_add(partition, record->machine, record->zone, page, now);
    g_strlcpy(machine->address, record->address, sizeof machine->address);
    g_strlcpy(machine->type, record->type, sizeof machine->type);
    machine->spot = record->spot;
    machine->worker_epoch = record->worker_epoch;
    partition_look_up_capacity(partition, machine);
    machine->needs_probe = true;
    partition_queue_push(partition, machine);
    for (guint i = 0; i < record->entries->len; i++) {
        attempt_t *attempt = partition_attempt_add(
            partition, machine, &g_array_index(record->entries, record_entry_t, i));
        attempt->phase = ATTEMPT_RECORDED;
        attempt->worker_epoch = record->worker_epoch;
        attempt->is_in_record = true;
        reservation_add(machine->reservations, attempt->reservation_id, attempt->entry.need, 0,
                        now);
    }
}

void partition_load(partition_t *partition, const page_record_t *record, msec_t now)
{
    page_t *page = partition_page(partition_shard(partition, record->shard), record->page);
    page->revision = record->revision;
    for (guint i = 0; i < record->machines->len; i++)
        load_machine(partition, &g_array_index(record->machines, machine_record_t, i), page, now);
}

resources_t partition_free_resources(const machine_t *machine)
{
    resources_t resources = machine->capacity;
    resources_add(&resources, machine->booked, -1);
    resources_add(&resources, reservation_sum(machine->reservations), -1);
    return resources;
}

/* A machine can be heard and not reached: its heartbeats come, our answers and commands are lost. A
 * worker without an answer waits 4 s and turns to another controller a second later, so one that
 * heartbeats here again within that time has had the answer. */
bool partition_is_reachable(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return machine->has_responded && !machine->is_push_failing &&
           now - machine->last_acknowledged_at < partition->acknowledgement_timeout;
}

void partition_machine_terminated(partition_t *partition, const char *id)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine)
        return;
    machine->is_draining = true;
    g_hash_table_remove(partition->draining, id);
    for (guint i = 0; i < machine->attempts->len; i++)
        partition_terminate_attempt(partition, g_ptr_array_index(machine->attempts, i), CAUSE_NONE);
    machine->has_responded = false;
    machine->is_terminated = true;
    partition_flush_machine(partition, machine);
}

void partition_tick(partition_t *partition, msec_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        machine_t *machine = value;
        reservation_expire(machine->reservations, now, partition->reservation_ttl);
        partition_empty_drained(partition, machine, now);
    }
    g_hash_table_iter_init(&iter, partition->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const shard_t *shard = value;
        for (guint i = 0; i < shard->pages->len; i++) {
            page_t *page = g_ptr_array_index(shard->pages, i);
            if (!page->is_flush_deferred)
                page->flush_deferred_at = now;
        }
    }
}
