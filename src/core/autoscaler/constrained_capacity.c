/* Compares the constrained demand with the machines that can serve it. */
#include "core/autoscaler/constrained_demand_internal.h"

#include <string.h>

/* Returns whether every pool that the first group can use can be used by the second one, too. */
static bool is_subset(const demand_group_t *first, const demand_group_t *second)
{
    for (guint i = 0; i < first->can_use->len; i++)
        if (demand_group_can_use(first, i) && !demand_group_can_use(second, i))
            return false;
    return true;
}

/* The demand of all groups that can use no other pools than a given group. All of it competes for
 * the machines of that group. */
typedef struct confined_demand {
    resources_t pending;
    resources_t outstanding;
    resources_t smallest_need;
} confined_demand_t;

static confined_demand_t confined_demand(const constrained_demand_t *constrained,
                                         const demand_group_t *group)
{
    confined_demand_t confined = {.smallest_need = group->smallest_need};
    for (guint i = 0; i < constrained->groups->len; i++) {
        const demand_group_t *other = g_ptr_array_index(constrained->groups, i);
        if (other->gang_tasks || !is_subset(other, group))
            continue;
        resources_add(&confined.pending, other->pending, 1);
        resources_add(&confined.outstanding, other->outstanding, 1);
        machine_pools_reduce_to_smallest(&confined.smallest_need, other->smallest_need);
    }
    return confined;
}

/* Returns whether the machine is one of the group's and the smallest pending task fits on it now.
 */
static bool is_free_for(const demand_group_t *group, const running_machine_t *machine,
                        resources_t smallest_need)
{
    return demand_group_can_use(group, machine->pool) &&
           resources_fit(smallest_need, machine->summary->free);
}

/* Returns the resources that are free for the group's pending tasks. */
static resources_t free_resources(const constrained_demand_t *constrained,
                                  const demand_group_t *group, resources_t smallest_need)
{
    resources_t total = {0};
    for (guint i = 0; i < constrained->pools.machines->len; i++) {
        const running_machine_t *machine =
            &g_array_index(constrained->pools.machines, running_machine_t, i);
        if (is_free_for(group, machine, smallest_need))
            resources_add(&total, machine->summary->free, 1);
    }
    return total;
}

/* Returns how many tasks with this need a machine of the capacity can run at the same time. */
static guint count_fitting_tasks(resources_t need, resources_t capacity)
{
    double tasks = TASKS_MAX_COUNT;
    if (need.cpus > 0)
        tasks = MIN(tasks, capacity.cpus / need.cpus);
    if (need.gpus > 0)
        tasks = MIN(tasks, capacity.gpus / need.gpus);
    if (need.memory > 0)
        tasks = MIN(tasks, capacity.memory / need.memory);
    return (guint)(tasks + RESOURCE_EPSILON);
}

/* Returns how many tasks of the gang the machines in the zone can run at the same time. without: a
 * machine that is left out; NULL: none. */
static guint count_gang_tasks_in_zone(const constrained_demand_t *constrained,
                                      const demand_group_t *group, const char *zone,
                                      const machine_summary_t *without)
{
    resources_t need = g_array_index(group->demand, job_demand_t, 0).job->spec.need;
    guint count = 0;
    for (guint i = 0; i < constrained->pools.pools->len; i++) {
        const machine_pool_t *pool = machine_pool_at(&constrained->pools, i);
        if (!demand_group_can_use(group, i) || strcmp(pool->zone, zone) != 0)
            continue;
        count += pool->count * count_fitting_tasks(need, pool->capacity);
        if (without && i == machine_pools_find(&constrained->pools, without->type, without->zone,
                                               without->is_spot))
            count -= count_fitting_tasks(need, pool->capacity);
    }
    return count;
}

static const job_spec_t *gang_spec(const demand_group_t *group)
{
    return &g_array_index(group->demand, job_demand_t, 0).job->spec;
}

/* Returns the most tasks of the gang that may be in one zone. */
static guint most_gang_tasks_per_zone(const demand_group_t *group)
{
    const job_spec_t *spec = gang_spec(group);
    return spec->needs_spread ? (spec->tasks + 1) / 2 : TASKS_MAX_COUNT;
}

/* Returns whether the pool is the first one in its zone. */
static bool is_first_of_zone(const constrained_demand_t *constrained, guint pool)
{
    for (guint i = 0; i < pool; i++)
        if (strcmp(machine_pool_at(&constrained->pools, i)->zone,
                   machine_pool_at(&constrained->pools, pool)->zone) == 0)
            return false;
    return true;
}

/* Returns how many tasks of the gang can run at the same time, given its zone constraints. */
static guint count_gang_tasks(const constrained_demand_t *constrained, const demand_group_t *group,
                              const machine_summary_t *without)
{
    guint most_per_zone = most_gang_tasks_per_zone(group);
    guint total = 0;
    for (guint i = 0; i < constrained->pools.pools->len; i++) {
        if (!is_first_of_zone(constrained, i))
            continue;
        guint count = count_gang_tasks_in_zone(
            constrained, group, machine_pool_at(&constrained->pools, i)->zone, without);
        count = MIN(count, most_per_zone);
        total = gang_spec(group)->needs_same_zone ? MAX(total, count) : total + count;
    }
    return total;
}

bool constrained_demand_prefers_zone(const constrained_demand_t *constrained,
                                     const demand_group_t *group, const char *zone)
{
    if (!group->gang_tasks)
        return true;
    guint count = count_gang_tasks_in_zone(constrained, group, zone, NULL);
    if (gang_spec(group)->needs_same_zone)
        return count >= count_gang_tasks(constrained, group, NULL);
    return count < most_gang_tasks_per_zone(group);
}

static resources_t gang_missing(const constrained_demand_t *constrained,
                                const demand_group_t *group)
{
    resources_t missing = {0};
    guint count = count_gang_tasks(constrained, group, NULL);
    if (count < group->gang_tasks)
        resources_add(&missing, gang_spec(group)->need, group->gang_tasks - count);
    return missing;
}

resources_t constrained_demand_missing(const constrained_demand_t *constrained,
                                       const demand_group_t *group, double headroom)
{
    resources_t missing = {0};
    if (group->gang_tasks)
        return gang_missing(constrained, group);
    confined_demand_t confined = confined_demand(constrained, group);
    resources_add(&missing, confined.pending, headroom);
    resources_add(&missing, free_resources(constrained, group, confined.smallest_need), -1);
    for (guint i = 0; i < constrained->pools.pools->len; i++)
        if (demand_group_can_use(group, i))
            resources_add(&missing, machine_pool_at(&constrained->pools, i)->booting, -1);
    return missing;
}

bool constrained_demand_has_machines(const constrained_demand_t *constrained,
                                     const demand_group_t *group)
{
    for (guint i = 0; i < constrained->pools.pools->len; i++)
        if (machine_pool_at(&constrained->pools, i)->count > 0 &&
            (!group || demand_group_can_use(group, i)))
            return true;
    return false;
}

bool constrained_demand_can_use(const constrained_demand_t *constrained,
                                const demand_group_t *group, const char *type, const char *zone,
                                bool is_spot)
{
    guint pool = machine_pools_find(&constrained->pools, type, zone, is_spot);
    return pool < constrained->pools.pools->len && demand_group_can_use(group, pool);
}

/* Returns whether the capacity is less than the demand. */
static bool is_insufficient(resources_t capacity, resources_t demand)
{
    return !resources_fit(demand, capacity);
}

/* Returns whether the group would lack capacity without the machine. Outstanding tasks count as
 * well, because they may be moved from the machine. */
static bool group_needs(const constrained_demand_t *constrained, const demand_group_t *group,
                        const running_machine_t *machine, double headroom)
{
    if (group->gang_tasks)
        return count_gang_tasks(constrained, group, machine->summary) < group->gang_tasks;
    confined_demand_t confined = confined_demand(constrained, group);
    resources_t free = free_resources(constrained, group, confined.smallest_need);
    if (is_free_for(group, machine, confined.smallest_need))
        resources_add(&free, machine->summary->free, -1);
    if (is_insufficient(free, confined.pending))
        return true;
    resources_t running = {0};
    for (guint i = 0; i < constrained->pools.pools->len; i++)
        if (demand_group_can_use(group, i))
            resources_add(&running, machine_pool_at(&constrained->pools, i)->running, 1);
    resources_add(&running, machine->summary->total, -1);
    resources_t demand = {0};
    resources_add(&demand, confined.pending, headroom);
    resources_add(&demand, confined.outstanding, headroom);
    return is_insufficient(running, demand);
}

bool constrained_demand_needs(const constrained_demand_t *constrained,
                              const machine_summary_t *summary, double headroom)
{
    running_machine_t machine = {.summary = summary};
    machine.pool =
        machine_pools_find(&constrained->pools, summary->type, summary->zone, summary->is_spot);
    for (guint i = 0; i < constrained->groups->len && machine.pool < constrained->pools.pools->len;
         i++) {
        const demand_group_t *group = g_ptr_array_index(constrained->groups, i);
        if (demand_group_can_use(group, machine.pool) &&
            group_needs(constrained, group, &machine, headroom))
            return true;
    }
    return false;
}
