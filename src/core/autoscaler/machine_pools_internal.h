/** @file
 * The machines by pool: machines of one type in one zone, all spot or all on-demand. The
 * constraints of a job permit all machines of a pool or none.
 *
 * Private to the autoscaler. Every function is called with the controller's lock held, and pointers
 * into the leader's data are valid until the lock is released.
 */
#ifndef PEPPERPULLEY_MACHINE_POOLS_INTERNAL_H
#define PEPPERPULLEY_MACHINE_POOLS_INTERNAL_H

#include "core/autoscaler/autoscaler.h"

/** One pool: the machines that exist, and those that the cloud might provide. */
typedef struct machine_pool {
    const char *type;     /**< The machine type's name; borrowed. */
    const char *zone;     /**< The zone; borrowed. */
    bool is_spot;         /**< True for spot machines, false for on-demand machines. */
    resources_t capacity; /**< Of one machine. */
    guint count;          /**< Number of machines that accept starts or are booting. */
    resources_t running;  /**< Capacity of the machines that accept starts. */
    resources_t booting;  /**< Capacity of the booting instances. */
} machine_pool_t;

/** A machine that accepts starts. */
typedef struct running_machine {
    const machine_summary_t *summary; /**< Borrowed from the leader. */
    guint pool;                       /**< Index of its pool. */
} running_machine_t;

/** All pools. */
typedef struct machine_pools {
    GArray *pools;                 /**< Array of machine_pool_t, owned. */
    GArray *machines;              /**< Array of running_machine_t, owned. */
    resources_t smallest_capacity; /**< For each resource, the least that a machine that accepts
                                      starts or is booting has. */
} machine_pools_t;

/** Returns the pools of the machines that accept starts or are booting, and of the machine types
 * that the cloud might provide. Instances whose boot is overdue are left out. Transfer full. */
machine_pools_t machine_pools_new(const autoscaler_t *autoscaler, const leader_t *leader,
                                  const GArray *machine_types, msec_t now);

/** Frees what the struct owns. */
void machine_pools_clear(machine_pools_t *pools);

/** Returns the pool with this index; transfer none. */
machine_pool_t *machine_pool_at(const machine_pools_t *pools, guint index);

/** Returns the index of the pool, or the number of pools if there is none. */
guint machine_pools_find(const machine_pools_t *pools, const char *type, const char *zone,
                         bool is_spot);

/** Lowers each amount of @p smallest to that of @p amount, if the latter is less. */
void machine_pools_reduce_to_smallest(resources_t *smallest, resources_t amount);

#endif
