/** @file
 * Preemption: stops attempts to make room for a placement request.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PREEMPTION_INTERNAL_H
#define PEPPERPULLEY_PREEMPTION_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/partition/placement_request.h"

/** Makes room for the request by stopping attempts on the machine where this loses the least work.
 * Returns that machine (transfer none), or NULL if no machine can make room. */
machine_t *partition_preempt_for(partition_t *partition, const placement_request_t *request,
                                 msec_t now);

#endif
