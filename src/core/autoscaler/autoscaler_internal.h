/* What the sources of the autoscaler share among themselves. Nobody else includes it.
 *
 * As for autoscaler.h: the caller holds the lock of the controller. */
#ifndef PEPPERPULLEY_AUTOSCALER_INTERNAL_H
#define PEPPERPULLEY_AUTOSCALER_INTERNAL_H

#include "core/autoscaler/autoscaler.h"

/* The machine type of this name, borrowed; NULL: there is none. machine_types: array of
 * machine_type_t. */
const machine_type_t *autoscaler_find_machine_type(const GArray *machine_types, const char *name);
/* Whether such a machine was refused so lately that it is not asked for again. */
bool autoscaler_is_refused(const autoscaler_t *autoscaler, const char *type, const char *zone,
                           bool spot, msec_t now);
/* Cpus of on-demand machines, beyond those promised, that the waiting work justifies: as many as
 * let it begin within the patience, but a share only of what it needs or of what stands; where no
 * spot machine is to be had at all, work goes on in that share. */
double autoscaler_extra_on_demand_cpus(const leader_t *leader, const autoscaler_balance_t *balance,
                                       double patience_s);

#endif
