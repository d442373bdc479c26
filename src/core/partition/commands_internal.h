/** @file
 * Builds the commands that bring a worker to the desired state.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_COMMANDS_INTERNAL_H
#define PEPPERPULLEY_COMMANDS_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** Appends a command for attempt @p ref to @p commands, an array of worker_command_t. @p grace_s is
 * the time in seconds that a stop gives the task to save. */
void commands_append(GArray *commands, worker_command_op_t op, command_reason_t reason,
                     const task_ref_t *ref, double grace_s);
/** Appends the commands that bring the machine to the desired state: first the stops, then the
 * runs. A start that waits for the resources of preempted attempts is appended once they are free,
 * or right after the stops that free them. */
void commands_append_for_desired_state(const partition_t *partition, const machine_t *machine,
                                       msec_t now, GArray *commands);

#endif
