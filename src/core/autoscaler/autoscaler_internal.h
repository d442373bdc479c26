/** @file
 * Types and functions shared by the autoscaler's source files; only those files include it.
 *
 * As in autoscaler.h, every function is called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_AUTOSCALER_INTERNAL_H
#define PEPPERPULLEY_AUTOSCALER_INTERNAL_H

#include "core/autoscaler/autoscaler.h"
#include "core/autoscaler/constrained_demand_internal.h"

/** A machine that was scaled out, or that appears in the cloud's list, and has not sent a heartbeat
 * yet. */
typedef struct booting_instance {
    char machine[ID_BYTES]; /**< The machine's id. */
    char type[LABEL_BYTES]; /**< The machine type's name. */
    char zone[LABEL_BYTES]; /**< The zone. */
    bool is_spot;           /**< True for a spot machine, false for an on-demand machine. */
    msec_t requested_at;    /**< Time from which its boot time counts. */
} booting_instance_t;

/** When a zone counts as unreachable. */
typedef struct unreachable_zone {
    msec_t since_at; /**< From when on, without interruption. */
    msec_t until_at; /**< Until when, unless its machines are found to be silent again. */
} unreachable_zone_t;

/** The state of the autoscaler. */
struct autoscaler {
    /** Machine id (stored in the value) -> booting_instance_t; values owned. */
    GHashTable *booting_instances;
    /** When the checks began to find a machine that may be scaled in; 0 if the last check found
     * none. */
    msec_t surplus_since;
    /** Type, zone and kind (see refusal_key) -> msec_t *: when such machines may be requested
     * again; keys and values owned. */
    GHashTable *refused_until;
    /** Zone -> unreachable_zone_t *; keys and values owned. */
    GHashTable *unreachable_zones;
    /** Zone -> msec_t *: when the zone last became reachable again; keys and values owned. */
    GHashTable *recovered_zones;
};

/** The demand for resources compared with the capacity that is running or booting. */
typedef struct autoscaler_balance {
    resources_t demand;            /**< Resources for the outstanding tasks, and for the pending
                                      tasks that some of the existing machines can serve. */
    resources_t running;           /**< Capacity of the machines that accept starts. */
    resources_t booting;           /**< Capacity of the booting instances. */
    double on_demand_cpus;         /**< Cpus of the running and booting on-demand machines. */
    double guaranteed_demand_cpus; /**< Cpus that the teams' tasks need within the guarantees. */
    double pending_cpu_s;          /**< Cpu seconds of the tasks that have no machine. */
} autoscaler_balance_t;

/** Computes the balance of demand and capacity. The demand that none of the existing machines can
 * serve is compared with them by constrained_demand_missing() only. */
autoscaler_balance_t autoscaler_balance(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types,
                                        const constrained_demand_t *constrained, msec_t now,
                                        int64_t wall_clock_ms);

/** Returns the resources that the pending tasks of the job need at the same time, so that each
 * starts within the maximum wait. */
resources_t autoscaler_pending_resources(const leader_t *leader, const job_demand_t *entry,
                                         int64_t wall_clock_ms);

/** Returns the number of on-demand cpus beyond the demand within the guarantees, or 0 if there are
 * none. */
double autoscaler_extra_on_demand_cpus(const autoscaler_balance_t *balance);

/** Returns how many on-demand cpus beyond the guaranteed demand the pending work justifies. These
 * are the cpus that, added to the other capacity, complete the pending work within @p max_wait_s.
 * The number is limited to the policy's on-demand share of the cpus needed for that or of the other
 * capacity, whichever is larger. Because the needed cpus count for the limit, work proceeds on that
 * share even if no spot machines are available at all. */
double autoscaler_justified_on_demand_cpus(const leader_t *leader,
                                           const autoscaler_balance_t *balance, double max_wait_s);

/** Finds the next booting instance that counts as capacity at @p now: its type is known and it is
 * not overdue. @p iter: an iteration over autoscaler_t.booting_instances. Stores the instance in
 * @p booting and returns its type (both transfer none), or returns NULL if none is left. */
const machine_type_t *autoscaler_next_booting(GHashTableIter *iter, const GArray *machine_types,
                                              msec_t now, const booting_instance_t **booting);

/** Returns the machine type with this name, or NULL if there is none; transfer none. */
const machine_type_t *autoscaler_find_machine_type(const GArray *machine_types, const char *name);

/** Returns the price per cpu of a machine of this type, spot or on-demand. */
double autoscaler_price_per_cpu(const machine_type_t *machine_type, bool spot);

/** Returns for how long the zone, which counts as unreachable, has done so without interruption. */
msec_t autoscaler_zone_unreachable_ms(const autoscaler_t *autoscaler, const char *zone, msec_t now);

/** Returns whether the cloud refused such machines so recently that they may not be requested again
 * yet. */
bool autoscaler_is_refused(const autoscaler_t *autoscaler, const char *type, const char *zone,
                           bool spot, msec_t now);

#endif
