/** @file
 * Stops attempts on draining machines.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_DRAIN_INTERNAL_H
#define PEPPERPULLEY_DRAIN_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** If the machine is draining and mostly empty, stops those of its attempts that have checkpoints.
 */
void partition_evict_from_draining(partition_t *partition, machine_t *machine, msec_t now);

#endif
