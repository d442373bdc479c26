/** @file
 * The queue of machines for which commands or a probe may be due; see pushed_commands.h.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PUSH_QUEUE_INTERNAL_H
#define PEPPERPULLEY_PUSH_QUEUE_INTERNAL_H

#include "core/partition/partition_type.h"

/** Appends the machine to the push queue. A machine that is queued already keeps its position. */
void partition_queue_push(partition_t *partition, machine_t *machine);

#endif
