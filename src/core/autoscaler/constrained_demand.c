/* Groups the jobs that only some of the machines can serve. */
#include "core/autoscaler/constrained_demand_internal.h"

#include <math.h>
#include <string.h>

#include "core/autoscaler/autoscaler_internal.h"

bool demand_group_can_use(const demand_group_t *group, guint pool)
{
    return g_array_index(group->can_use, bool, pool);
}

/* Returns whether the constraints of the job permit one more task on a machine of the pool. */
static bool job_can_use(const job_t *job, const machine_pool_t *pool)
{
    const job_spec_t *spec = &job->spec;
    return job_spec_allows(spec, pool->type, pool->zone, pool->is_spot) &&
           resources_fit(spec->need, pool->capacity) && leader_job_admits_zone(job, pool->zone);
}

/* Sets for each pool whether the job can use it. */
static void find_usable_pools(const constrained_demand_t *constrained, const job_t *job,
                              GArray *can_use)
{
    g_array_set_size(can_use, constrained->pools.pools->len);
    for (guint i = 0; i < constrained->pools.pools->len; i++)
        g_array_index(can_use, bool, i) = job_can_use(job, machine_pool_at(&constrained->pools, i));
}

/* Returns whether a pool that has machines cannot be used. */
static bool is_constrained(const constrained_demand_t *constrained, const GArray *can_use)
{
    for (guint i = 0; i < can_use->len; i++)
        if (machine_pool_at(&constrained->pools, i)->count > 0 && !g_array_index(can_use, bool, i))
            return true;
    return false;
}

/* Returns whether no pool that has machines can be used, although there are machines. */
static bool is_unservable(const constrained_demand_t *constrained, const GArray *can_use)
{
    for (guint i = 0; i < can_use->len; i++)
        if (machine_pool_at(&constrained->pools, i)->count > 0 && g_array_index(can_use, bool, i))
            return false;
    return is_constrained(constrained, can_use);
}

static void free_group(gpointer data)
{
    demand_group_t *group = data;
    g_array_unref(group->demand);
    g_array_unref(group->can_use);
    g_free(group);
}

static demand_group_t *add_group(constrained_demand_t *constrained, const GArray *can_use)
{
    demand_group_t *group = g_new0(demand_group_t, 1);
    group->demand = g_array_new(FALSE, FALSE, sizeof(job_demand_t));
    group->can_use = g_array_copy((GArray *)can_use);
    group->smallest_need = (resources_t){INFINITY, INFINITY, INFINITY};
    g_ptr_array_add(constrained->groups, group);
    return group;
}

/* Returns the group of the jobs that can use the same pools, which is added if there is none. */
static demand_group_t *ensure_group(constrained_demand_t *constrained, const GArray *can_use)
{
    for (guint i = 0; i < constrained->groups->len; i++) {
        demand_group_t *group = g_ptr_array_index(constrained->groups, i);
        if (!group->gang_tasks &&
            memcmp(group->can_use->data, can_use->data, can_use->len * sizeof(bool)) == 0)
            return group;
    }
    return add_group(constrained, can_use);
}

/* Returns whether the job can use every machine that accepts starts or is booting. Faster than a
 * check of each pool, and sufficient for most jobs. */
static bool is_unconstrained(const constrained_demand_t *constrained, const job_t *job)
{
    const job_spec_t *spec = &job->spec;
    return !spec->zone[0] && !spec->types && spec->may_use_spot && !spec->needs_same_zone &&
           !spec->needs_spread && resources_fit(spec->need, constrained->pools.smallest_capacity);
}

static void add_pending(demand_group_t *group, const job_demand_t *entry, resources_t pending)
{
    g_array_append_val(group->demand, *entry);
    resources_add(&group->pending, pending, 1);
    machine_pools_reduce_to_smallest(&group->smallest_need, entry->job->spec.need);
}

/* Adds a gang as a group of its own, since the machines must have capacity for all of its tasks. */
static void add_gang(constrained_demand_t *constrained, const job_demand_t *entry,
                     const GArray *can_use)
{
    demand_group_t *group = add_group(constrained, can_use);
    g_array_append_val(group->demand, *entry);
    group->gang_tasks = entry->tasks;
}

/* Adds the pending tasks of a job, unless all machines can serve them. */
static void add_job_demand(constrained_demand_t *constrained, const job_demand_t *entry,
                           int64_t wall_clock_ms, GArray *can_use)
{
    bool is_gang = entry->job->spec.kind == KIND_GANG;
    if (!is_gang && is_unconstrained(constrained, entry->job))
        return;
    find_usable_pools(constrained, entry->job, can_use);
    if (is_gang)
        add_gang(constrained, entry, can_use);
    if (!is_constrained(constrained, can_use))
        return;
    resources_t pending = autoscaler_pending_resources(constrained->leader, entry, wall_clock_ms);
    if (is_unservable(constrained, can_use))
        resources_add(&constrained->unservable, pending, 1);
    if (!is_gang)
        add_pending(ensure_group(constrained, can_use), entry, pending);
}

/* Adds the outstanding tasks of the jobs that some of the machines cannot serve. If such a task is
 * moved from a machine that is scaled in, it needs another one that can serve it. */
static void add_outstanding(constrained_demand_t *constrained, GArray *can_use)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, constrained->leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const job_t *job = value;
        if (job->outstanding_count == 0 || is_unconstrained(constrained, job))
            continue;
        find_usable_pools(constrained, job, can_use);
        if (is_constrained(constrained, can_use))
            resources_add(&ensure_group(constrained, can_use)->outstanding, job->spec.need,
                          job->outstanding_count);
    }
}

static int64_t oldest_submission(const demand_group_t *group)
{
    int64_t oldest = G_MAXINT64;
    for (guint i = 0; i < group->demand->len; i++)
        oldest = MIN(oldest, g_array_index(group->demand, job_demand_t, i).job->spec.submitted_ms);
    return oldest;
}

static gint compare_groups(gconstpointer left, gconstpointer right)
{
    int64_t first = oldest_submission(*(demand_group_t *const *)left);
    int64_t second = oldest_submission(*(demand_group_t *const *)right);
    return (first > second) - (first < second);
}

static void add_groups(constrained_demand_t *constrained, msec_t now, int64_t wall_clock_ms)
{
    g_autoptr(GArray) can_use = g_array_new(FALSE, FALSE, sizeof(bool));
    g_autoptr(GArray) demand = leader_demand(constrained->leader, now); /* job_demand_t */
    for (guint i = 0; i < demand->len; i++)
        add_job_demand(constrained, &g_array_index(demand, job_demand_t, i), wall_clock_ms,
                       can_use);
    add_outstanding(constrained, can_use);
    g_ptr_array_sort(constrained->groups, compare_groups);
}

constrained_demand_t *constrained_demand_new(const autoscaler_t *autoscaler, const leader_t *leader,
                                             const GArray *machine_types, msec_t now,
                                             int64_t wall_clock_ms)
{
    constrained_demand_t *constrained = g_new0(constrained_demand_t, 1);
    constrained->leader = leader;
    constrained->groups = g_ptr_array_new_with_free_func(free_group);
    constrained->pools = machine_pools_new(autoscaler, leader, machine_types, now);
    add_groups(constrained, now, wall_clock_ms);
    return constrained;
}

void constrained_demand_free(constrained_demand_t *constrained)
{
    machine_pools_clear(&constrained->pools);
    g_ptr_array_unref(constrained->groups);
    g_free(constrained);
}
