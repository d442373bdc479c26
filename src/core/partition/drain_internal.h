/** @file
 * Draining: emptying machines that take no more starts.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_DRAIN_INTERNAL_H
#define PEPPERPULLEY_DRAIN_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** If the machine is draining and mostly empty, stops its attempts that can save. */
void partition_empty_drained(partition_t *partition, machine_t *machine, msec_t now);

#endif
