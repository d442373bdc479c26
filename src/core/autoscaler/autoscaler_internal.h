/** @file
 * What the sources of the autoscaler share. Only they include it.
 *
 * As for autoscaler.h, every function is called with the lock of the controller held.
 */
#ifndef PEPPERPULLEY_AUTOSCALER_INTERNAL_H
#define PEPPERPULLEY_AUTOSCALER_INTERNAL_H

#include "core/autoscaler/autoscaler.h"

/** A machine that was scaled out or listed and has not sent a heartbeat yet. */
typedef struct booting_instance {
    char machine[ID_BYTES]; /**< The machine's id. */
    char type[LABEL_BYTES]; /**< The machine type's name. */
    char zone[LABEL_BYTES]; /**< The zone. */
    bool is_spot;           /**< A spot machine; false: an on-demand one. */
    msec_t requested_at;    /**< When it was scaled out. */
} booting_instance_t;

/** The state of the autoscaler. */
struct autoscaler {
    /** Machine id (in the value) -> booting_instance_t; values owned. */
    GHashTable *booting_instances;
    /** Since when there has been a machine to scale in at every look; 0: there is none. */
    msec_t surplus_since;
    /** Type, zone and kind (refusal_key) -> msec_t *: when they may be requested again; keys and
     * values owned. */
    GHashTable *refused_until;
    /** Zone -> msec_t *: when the zone is no longer taken for unreachable; keys and values owned.
     */
    GHashTable *unreachable_zones;
    /** Zone -> msec_t *: when the zone was reached again; keys and values owned. */
    GHashTable *recovered_zones;
};

/** The demand, in cpus and memory, against the running capacity and the booting instances. */
typedef struct autoscaler_balance {
    resources_t wanted;            /**< Requested by outstanding and pending tasks. */
    resources_t running;           /**< Of the machines that take starts. */
    resources_t booting;           /**< Of the booting instances. */
    double on_demand_cpus;         /**< Running and booting on on-demand machines. */
    double guaranteed_demand_cpus; /**< Requested within the teams' guarantees. */
    double pending_cpu_s;          /**< Cpu seconds of the tasks that have no machine. */
} autoscaler_balance_t;

/** Works out the balance. */
autoscaler_balance_t autoscaler_balance(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types, msec_t now, int64_t day_ms);

/** Returns the cpus of on-demand machines beyond the demand within the guarantees. */
double autoscaler_extra_on_demand_cpus(const autoscaler_balance_t *balance);

/** Returns how many cpus of on-demand machines beyond the guaranteed demand the pending work
 * justifies: as many as let it begin within @p patience_s, but no more than the policy's share of
 * what it needs or of the other capacity, whichever is larger. Where no spot machine is to be had
 * at all, work goes on in that share. */
double autoscaler_justified_on_demand_cpus(const leader_t *leader,
                                           const autoscaler_balance_t *balance, double patience_s);

/** Returns the machine type of this name; transfer none; NULL: there is none. */
const machine_type_t *autoscaler_find_machine_type(const GArray *machine_types, const char *name);

/** Returns the price of a machine of this type for each of its cpus. */
double autoscaler_price_per_cpu(const machine_type_t *machine_type, bool spot);

/** Returns whether such a machine was refused so lately that it is not requested again. */
bool autoscaler_is_refused(const autoscaler_t *autoscaler, const char *type, const char *zone,
                           bool spot, msec_t now);

#endif
