/** @file
 * Pushed commands: commands that a command dispatcher sends to a worker without waiting for its
 * next heartbeat.
 *
 * Each machine is assigned to one dispatcher, which keeps a connection to it open. Another
 * dispatcher may serve the machine while that one is busy. A machine that has not responded in this
 * view is probed first: it is sent a push without commands, whose answer shows its state. Called
 * with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PUSHED_COMMANDS_H
#define PEPPERPULLEY_PUSHED_COMMANDS_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** The result of a push. */
typedef enum push_result {
    PUSH_EXECUTED,  /**< The worker executed the commands. */
    PUSH_REFUSED,   /**< The worker refused the commands, because it has another worker epoch or has
                       seen a higher fencing token. */
    PUSH_DISCARDED, /**< The commands were not sent, because the process stalled before sending
                       them. The machine is due again at once. */
    PUSH_NOT_SENT,  /**< The commands definitely did not reach the worker. */
    PUSH_UNANSWERED /**< It is unknown whether the commands reached the worker. They may still reach
                       it. */
} push_result_t;

/** Takes the next machine for which a push is due, in the order in which they became due.
 *
 * @param partition the partition
 * @param dispatchers bit mask of the dispatchers whose machines are considered
 * @param now the current time of the steady clock
 * @param commands array of worker_command_t to which the machine's commands are appended; if none
 * is appended, the push is a probe
 * @return the machine (transfer none), for which partition_finish_push() must be called afterwards,
 * or NULL if no push is due
 */
machine_t *partition_take_push(partition_t *partition, uint32_t dispatchers, msec_t now,
                               GArray *commands);

/** Returns a bit mask of the dispatchers that have a machine for which a push is due at @p now. */
uint32_t partition_due_dispatchers(const partition_t *partition, msec_t now);

/** Records the result of a push to machine @p id. @p commands are those that partition_take_push()
 * appended, and @p fencing_token is the one under which they were sent. */
void partition_finish_push(partition_t *partition, const char *id, const GArray *commands,
                           uint64_t fencing_token, push_result_t result);

/** Returns whether a new view is needed before attempts can be forgotten or proven to be over,
 * because the fencing token of a machine cannot be raised any further in this view. */
bool partition_needs_new_view(const partition_t *partition);

/** Sets whether starts are paused. They are paused while this controller may not know of all
 * cancellations. No `run` is sent then, and recorded attempts wait. */
void partition_pause_starts(partition_t *partition, bool are_starts_paused);

#endif
