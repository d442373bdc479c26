/** @file
 * Preemption: stopping attempts to make room for a placement request.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PREEMPTION_INTERNAL_H
#define PEPPERPULLEY_PREEMPTION_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/partition/placement_request.h"

/** Stops attempts on the machine where that loses least work, and returns the machine (transfer
 * none); NULL: no machine can make room. */
machine_t *partition_preempt_for(partition_t *partition, const placement_request_t *request,
                                 msec_t now);

#endif
