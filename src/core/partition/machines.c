#include "core/membership/fencing_token.h"
#include "core/partition/machine_internal.h"
#include "core/partition/partition_internal.h"

#include <string.h>

#include <xxhash.h>

static void machine_free(gpointer data)
{
    machine_t *machine = data;
    g_ptr_array_unref(machine->attempts);
    g_array_unref(machine->reservations);
    g_hash_table_unref(machine->images);
    g_hash_table_unref(machine->exited);
    g_free(machine);
}

GHashTable *machines_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
}

static page_t *page_for_new_machine(partition_t *partition, const char *id, const char *zone)
{
    char shard[SHARD_NAME_BYTES];
    shard_of(id, zone, shard, sizeof shard);
    return shard_smallest_page(partition_ensure_shard(partition, shard));
}

machine_t *partition_add_machine(partition_t *partition, const char *id, const char *zone,
                                 page_t *page, msec_t now)
{
    machine_t *machine = g_new0(machine_t, 1);
    g_strlcpy(machine->id, id, sizeof machine->id);
    machine->dispatcher_index =
        (guint)(XXH64(id, strlen(id), DISPATCHERS_COUNT) % DISPATCHERS_COUNT);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->page = page ? page : page_for_new_machine(partition, id, zone);
    g_ptr_array_add(machine->page->machines, machine);
    machine->attempts = g_ptr_array_new_with_free_func(g_free);
    machine->reservations = g_array_new(FALSE, FALSE, sizeof(reservation_t));
    machine->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine->exited = exited_attempts_new();
    machine->first_seen_at = now;
    machine->last_heartbeat_at = now;
    machine->last_acknowledged_at = now;
    machine->idle_since_at = now;
    machine->is_draining = g_hash_table_contains(partition->draining, id);
    g_hash_table_insert(partition->machines, machine->id, machine);
    return machine;
}

void partition_drop_machine(partition_t *partition, machine_t *machine)
{
    g_ptr_array_remove(machine->page->machines, machine);
    if (machine->is_push_queued)
        g_queue_remove(partition->push_queue, machine);
    g_hash_table_add(partition->terminated_machines, g_strdup(machine->id));
    g_hash_table_remove(partition->machines, machine->id);
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

void partition_request_flush(partition_t *partition, const machine_t *machine)
{
    partition_request_page_flush(partition, machine->page);
}

resources_t machine_free_resources(const machine_t *machine)
{
    resources_t resources = machine->capacity;
    resources_add(&resources, machine->listed_resources, -1);
    resources_add(&resources, reservation_sum(machine->reservations), -1);
    return resources;
}

/* Heartbeats of a machine may arrive here although the answers and commands sent to it are lost. A
 * worker that gets no answer waits 4 s, and sends to another controller a second later. A worker
 * that sends its next heartbeat here within that time has therefore received the answer. */
bool partition_is_reachable(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return machine->has_responded && !machine->is_push_failing &&
           now - machine->last_acknowledged_at < partition->acknowledgement_timeout_ms;
}

bool partition_accepts_starts(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return partition_is_reachable(partition, machine, now) && machine->is_capacity_known &&
           !machine->is_draining && !machine->interruption_at &&
           machine->unforgotten < EXITED_ATTEMPTS_MAX_COUNT;
}

uint64_t partition_fencing_token(const partition_t *partition, const char *id)
{
    const machine_t *machine = g_hash_table_lookup(partition->machines, id);
    uint64_t first = fencing_token_first(partition->view);
    return machine ? MAX(machine->fencing_token, first) : first;
}

static void add_exited(exited_statistics_t *statistics, const machine_t *machine, msec_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, machine->exited);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const exited_attempt_t *attempt = value;
        statistics->count++;
        statistics->oldest_ms = MAX(statistics->oldest_ms, now - attempt->since_at);
    }
}

exited_statistics_t partition_exited_statistics(const partition_t *partition, msec_t now)
{
    exited_statistics_t statistics = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        add_exited(&statistics, value, now);
    return statistics;
}

const char *machine_id(const machine_t *machine)
{
    return machine->id;
}

const char *machine_address(const machine_t *machine)
{
    return machine->address;
}

uint64_t machine_worker_epoch(const machine_t *machine)
{
    return machine->worker_epoch;
}

static machine_status_t machine_status(const partition_t *partition, const machine_t *machine,
                                       msec_t now)
{
    return (machine_status_t){.id = machine->id,
                              .type = machine->type,
                              .zone = machine->zone,
                              .is_spot = machine->is_spot,
                              .accepts_starts = partition_accepts_starts(partition, machine, now),
                              .is_draining = machine->is_draining,
                              .total = machine->capacity,
                              .free = machine_free_resources(machine),
                              .attempts = machine->attempts->len,
                              .unacknowledged_ms = now - machine->last_acknowledged_at,
                              .idle_ms = now - machine->idle_since_at,
                              .known_ms = now - machine->first_seen_at};
}

void partition_visit_machines(const partition_t *partition, msec_t now, machine_status_func_t visit,
                              gpointer data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->is_terminated)
            continue;
        machine_status_t status = machine_status(partition, machine, now);
        visit(&status, data);
    }
}
