/** @file
 * Pushed commands: commands that a command dispatcher sends to a worker without waiting for its
 * next heartbeat.
 *
 * Each machine belongs to one dispatcher, which keeps a connection to it; another may serve it
 * while that one is busy. A machine that has not responded in this view is probed first: sent a
 * push without commands, whose answer shows its state. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PUSHED_COMMANDS_H
#define PEPPERPULLEY_PUSHED_COMMANDS_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** What became of a push. */
typedef enum push_result {
    PUSH_EXECUTED, /**< The worker executed the commands. */
    PUSH_REFUSED,  /**< The worker refused them: another worker epoch, or a higher fencing token. */
    PUSH_DISCARDED, /**< They were not sent, since the process stalled before: the machine is due
                       again at once. */
    PUSH_NOT_SENT,  /**< They certainly did not reach the worker. */
    PUSH_UNANSWERED /**< It is not known whether they reached the worker; they may still. */
} push_result_t;

/** Takes the next machine that is due a push, in the order in which they became due.
 *
 * @param partition the partition
 * @param dispatchers a bit for each dispatcher whose machines are considered
 * @param now the steady clock
 * @param commands array of worker_command_t, to which the machine's commands are appended; none:
 * the push is a probe
 * @return the machine (transfer none), or NULL if none is due; partition_finish_push() must follow
 */
machine_t *partition_take_push(partition_t *partition, uint32_t dispatchers, msec_t now,
                               GArray *commands);

/** Returns a bit for each dispatcher that has a machine due a push at @p now. */
uint32_t partition_due_dispatchers(const partition_t *partition, msec_t now);

/** Records what became of a push to machine @p id, with the commands that partition_take_push()
 * appended and the fencing token under which they were sent. */
void partition_finish_push(partition_t *partition, const char *id, const GArray *commands,
                           uint64_t fencing_token, push_result_t result);

/** Whether attempts can be forgotten or proved over only under a higher fencing token, since an
 * unanswered `run` under the present one may still arrive. */
bool partition_needs_new_fencing_token(const partition_t *partition);

/** Sets whether starts are withheld. While cancellations may be unknown here no `run` is sent;
 * recorded attempts wait. */
void partition_pause_starts(partition_t *partition, bool are_starts_paused);

#endif
