/** @file
 * The demand that only some of the machines can serve.
 *
 * The balance of all demand and all capacity (autoscaler_balance_t) says nothing about a job that
 * may use only one zone, some machine types or on-demand machines, or that fits only on large
 * machines: the capacity may be where the job cannot run. The same holds for a gang, whose tasks
 * must all fit at the same time. This demand is compared with the machines that can serve it.
 * Invariant: while a job has tasks that may be placed, a machine that can run them accepts starts
 * or is booting, or is requested; and it is not scaled in.
 *
 * Private to the autoscaler. Every function is called with the controller's lock held, and pointers
 * into the leader's data are valid until the lock is released.
 */
#ifndef PEPPERPULLEY_CONSTRAINED_DEMAND_INTERNAL_H
#define PEPPERPULLEY_CONSTRAINED_DEMAND_INTERNAL_H

#include "core/autoscaler/machine_pools_internal.h"
#include "core/leader/demand.h"

/** The jobs that can use the same pools, or a single gang. */
typedef struct demand_group {
    GArray *demand;  /**< Array of job_demand_t, owned: the jobs with tasks that may be placed. */
    GArray *can_use; /**< Array of bool, owned: for each pool, whether it can be used. */
    resources_t pending;       /**< Resources for the tasks that may be placed. */
    resources_t outstanding;   /**< Resources for the outstanding tasks. */
    resources_t smallest_need; /**< For each resource, the least that a pending task needs. */
    guint gang_tasks; /**< Number of tasks of the gang that have to fit at the same time; 0:
                         the group is not a gang. */
} demand_group_t;

/** The constrained demand, and the machines that it is compared with. */
typedef struct constrained_demand {
    const leader_t *leader; /**< Borrowed. */
    machine_pools_t pools;  /**< The machines. */
    GPtrArray *groups; /**< Of demand_group_t, owned. The group with the oldest job comes first. */
    resources_t unservable; /**< Resources for the pending tasks that no running and no booting
                               machine can serve, although there are machines. */
} constrained_demand_t;

/** Returns the constrained demand. Jobs that can use all machines that accept starts or are booting
 * are not part of it. Transfer full. */
constrained_demand_t *constrained_demand_new(const autoscaler_t *autoscaler, const leader_t *leader,
                                             const GArray *machine_types, msec_t now,
                                             int64_t wall_clock_ms);

/** Frees the constrained demand. */
void constrained_demand_free(constrained_demand_t *constrained);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(constrained_demand_t, constrained_demand_free)

/** Returns whether the group can use the machines of the pool. */
bool demand_group_can_use(const demand_group_t *group, guint pool);

/** Returns the resources that the group's machines lack for its pending tasks times @p headroom, or
 * for its gang. An amount that is not positive is not lacking. */
resources_t constrained_demand_missing(const constrained_demand_t *constrained,
                                       const demand_group_t *group, double headroom);

/** Returns whether any machine that the group can use accepts starts or is booting; @p group may be
 * NULL for any machine. */
bool constrained_demand_has_machines(const constrained_demand_t *constrained,
                                     const demand_group_t *group);

/** Returns whether the group can use machines of this type, zone and kind. */
bool constrained_demand_can_use(const constrained_demand_t *constrained,
                                const demand_group_t *group, const char *type, const char *zone,
                                bool is_spot);

/** Returns whether a machine in the zone would bring the group's gang closest to fitting, given the
 * zone constraints of the gang. Returns true if the group is not a gang. */
bool constrained_demand_prefers_zone(const constrained_demand_t *constrained,
                                     const demand_group_t *group, const char *zone);

/** Returns whether a group that can use the machine would lack capacity without it. @p headroom:
 * the capacity to keep, as a factor of the demand. */
bool constrained_demand_needs(const constrained_demand_t *constrained,
                              const machine_summary_t *summary, double headroom);

#endif
