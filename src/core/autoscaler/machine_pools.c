/* Groups the machines into pools by type, zone and kind. */
#include "core/autoscaler/machine_pools_internal.h"

#include <math.h>
#include <string.h>

#include "core/autoscaler/autoscaler_internal.h"
#include "core/autoscaler/machine_summary_iter.h"

machine_pool_t *machine_pool_at(const machine_pools_t *pools, guint index)
{
    return &g_array_index(pools->pools, machine_pool_t, index);
}

/* Returns the index of the pool, or the number of pools if there is none. */
guint machine_pools_find(const machine_pools_t *pools, const char *type, const char *zone,
                         bool is_spot)
{
    for (guint i = 0; i < pools->pools->len; i++) {
        const machine_pool_t *pool = machine_pool_at(pools, i);
        if (pool->is_spot == is_spot && strcmp(pool->type, type) == 0 &&
            strcmp(pool->zone, zone) == 0)
            return i;
    }
    return pools->pools->len;
}

/* Returns the index of the pool, which is added first if there is none. */
static guint ensure_pool(machine_pools_t *pools, const char *type, const char *zone, bool is_spot,
                         resources_t capacity)
{
    guint index = machine_pools_find(pools, type, zone, is_spot);
    if (index == pools->pools->len) {
        machine_pool_t pool = {
            .type = type, .zone = zone, .is_spot = is_spot, .capacity = capacity};
        g_array_append_val(pools->pools, pool);
    }
    return index;
}

void machine_pools_reduce_to_smallest(resources_t *smallest, resources_t amount)
{
    smallest->cpus = MIN(smallest->cpus, amount.cpus);
    smallest->gpus = MIN(smallest->gpus, amount.gpus);
    smallest->memory = MIN(smallest->memory, amount.memory);
}

static void add_running_machines(machine_pools_t *pools, const leader_t *leader)
{
    machine_summary_iter_t iter = {.leader = leader};
    for (const machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter)) {
        if (!summary->accepts_starts)
            continue;
        running_machine_t machine = {.summary = summary};
        machine.pool =
            ensure_pool(pools, summary->type, summary->zone, summary->is_spot, summary->total);
        g_array_append_val(pools->machines, machine);
        machine_pool_at(pools, machine.pool)->count++;
        resources_add(&machine_pool_at(pools, machine.pool)->running, summary->total, 1);
        machine_pools_reduce_to_smallest(&pools->smallest_capacity, summary->total);
    }
}

static void add_booting_instances(machine_pools_t *pools, const autoscaler_t *autoscaler,
                                  const GArray *machine_types, msec_t now)
{
    GHashTableIter iter;
    const booting_instance_t *booting;
    const machine_type_t *machine_type;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while ((machine_type = autoscaler_next_booting(&iter, machine_types, now, &booting))) {
        resources_t capacity = machine_type->capacity;
        guint index = ensure_pool(pools, booting->type, booting->zone, booting->is_spot, capacity);
        machine_pool_at(pools, index)->count++;
        resources_add(&machine_pool_at(pools, index)->booting, capacity, 1);
        machine_pools_reduce_to_smallest(&pools->smallest_capacity, capacity);
    }
}

/* Adds the pools without machines, from which the cloud might provide some. */
static void add_empty_pools(machine_pools_t *pools, const GArray *machine_types)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        for (char **zone = machine_type->zones; zone && *zone; zone++) {
            ensure_pool(pools, machine_type->name, *zone, false, machine_type->capacity);
            ensure_pool(pools, machine_type->name, *zone, true, machine_type->capacity);
        }
    }
}

machine_pools_t machine_pools_new(const autoscaler_t *autoscaler, const leader_t *leader,
                                  const GArray *machine_types, msec_t now)
{
    machine_pools_t pools = {.pools = g_array_new(FALSE, FALSE, sizeof(machine_pool_t)),
                             .machines = g_array_new(FALSE, FALSE, sizeof(running_machine_t)),
                             .smallest_capacity = {INFINITY, INFINITY, INFINITY}};
    add_running_machines(&pools, leader);
    add_booting_instances(&pools, autoscaler, machine_types, now);
    add_empty_pools(&pools, machine_types);
    return pools;
}

void machine_pools_clear(machine_pools_t *pools)
{
    g_array_unref(pools->pools);
    g_array_unref(pools->machines);
}
