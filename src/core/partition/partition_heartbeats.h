/** @file
 * Handles periodic worker heartbeats and the answers to pushed commands, whose bodies have the same
 * form.
 *
 * Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PARTITION_HEARTBEATS_H
#define PEPPERPULLEY_PARTITION_HEARTBEATS_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** The verdict on a heartbeat: whether its content was applied, and if not, why. */
typedef enum heartbeat_verdict {
    HEARTBEAT_ACCEPTED,     /**< The heartbeat is the newest, and its content was applied. */
    HEARTBEAT_OUT_OF_ORDER, /**< The heartbeat is older than the newest state received in this
                               worker epoch, for example because the answer to a pushed command
                               overtook it. Its content is not applied, but its worker waits for an
                               answer. */
    HEARTBEAT_UNVERIFIED,   /**< The heartbeat is the first that this partition receives from the
                               machine, and was sent before this view began. It may be a copy that
                               arrives minutes late, so its content is not applied. The answer gives
                               the worker the fencing token that its next heartbeat will carry. */
    HEARTBEAT_DUPLICATE /**< The heartbeat is from an earlier worker epoch or a terminated machine,
                           or it is periodic and not newer than the newest periodic heartbeat
                           received before. Its content is not applied. */
} heartbeat_verdict_t;

/** Handles a worker's periodic heartbeat, or the body of the answer to a pushed command.
 *
 * @param partition the partition that owns the machine
 * @param heartbeat the heartbeat (transfer none)
 * @param is_push_answer whether it is the body of the answer to a pushed command
 * @param now the current time of the steady clock
 * @param commands array of worker_command_t to which the commands for the worker are appended; may
 * be NULL if @p is_push_answer is true, as it is then not used
 */
heartbeat_verdict_t partition_handle_heartbeat(partition_t *partition,
                                               const worker_heartbeat_t *heartbeat,
                                               bool is_push_answer, msec_t now, GArray *commands);

/** Records that a heartbeat was received but could not be answered, so that its machine does not
 * count as silent. */
void partition_record_unanswered_heartbeat(partition_t *partition,
                                           const worker_heartbeat_t *heartbeat, msec_t now);

/** Records that machine @p id executed a pushed command of this view and that the body of its
 * answer was accepted. If the machine has not responded in this view yet, it counts as reachable
 * until the acknowledgement timeout has passed. */
void partition_record_probe_answer(partition_t *partition, const char *id, msec_t now);

#endif
