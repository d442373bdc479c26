/** @file
 * Stops attempts on draining machines.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_DRAIN_INTERNAL_H
#define PEPPERPULLEY_DRAIN_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** Stops those attempts on the machine that have checkpoints, if the machine is draining and mostly
 * empty. */
void partition_evict_from_draining(partition_t *partition, machine_t *machine, msec_t now);

#endif
