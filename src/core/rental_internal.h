/* What the sources of the rental share among themselves. Nobody else includes it.
 *
 * As for rental.h: the caller holds the lock of the node. */
#ifndef PEPPERPULLEY_RENTAL_INTERNAL_H
#define PEPPERPULLEY_RENTAL_INTERNAL_H

#include "core/rental.h"

/* The machine type of this name, borrowed; NULL: there is none. machine_types: array of
 * machine_type_t. */
const machine_type_t *rental_machine_type(const GArray *machine_types, const char *name);
/* Whether such a machine was refused so lately that it is not asked for again. */
bool rental_is_refused(const rental_t *rental, const char *type, const char *zone, bool spot,
                       msec_t now);
/* Cpus of ordinary machines, beyond those promised, that the waiting work justifies: as many as let
 * it begin within the patience, but a share only of what it needs or of what stands; where no spot
 * machine is to be had at all, work goes on in that share. */
double rental_extra_cpus(const leader_t *leader, const rental_balance_t *balance,
                         double patience_s);

#endif
