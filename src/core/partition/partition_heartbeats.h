/** @file
 * Worker heartbeats, and the answers to pushed commands, which have the same form.
 *
 * Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_PARTITION_HEARTBEATS_H
#define PEPPERPULLEY_PARTITION_HEARTBEATS_H

#include "core/partition/partition_type.h"
#include "core/types.h"

/** What a heartbeat's order among those of its worker makes of it. */
typedef enum heartbeat_verdict {
    HEARTBEAT_ACCEPTED,     /**< It is the newest, and its content was applied. */
    HEARTBEAT_OUT_OF_ORDER, /**< It is older than what is known of this worker epoch, as when the
                               answer to a pushed command came first. Its content is not applied,
                               but its worker waits for an answer. */
    HEARTBEAT_UNVERIFIED,   /**< The first heartbeat to this partition, and sent before its view, so
                               perhaps a copy that comes minutes late. Its content is not applied;
                               the answer gives the worker the fencing token that its next heartbeat
                               will bear. */
    HEARTBEAT_DUPLICATE     /**< Of an earlier worker epoch or a terminated machine, or a copy of a
                               heartbeat received before. Its content is not applied. */
} heartbeat_verdict_t;

/** Handles a worker's heartbeat, or the body of the answer to a pushed command.
 *
 * @param partition the partition that owns the machine
 * @param heartbeat transfer none
 * @param is_push whether it is the answer to a pushed command
 * @param now the steady clock
 * @param commands array of worker_command_t, to which the commands of the answer are appended;
 * unused, and may be NULL, if @p is_push
 */
heartbeat_verdict_t partition_handle_heartbeat(partition_t *partition,
                                               const worker_heartbeat_t *heartbeat, bool is_push,
                                               msec_t now, GArray *commands);

/** Records that a heartbeat was received that could not be answered: its machine is not silent. */
void partition_record_unanswered_heartbeat(partition_t *partition,
                                           const worker_heartbeat_t *heartbeat, msec_t now);

/** Records that machine @p id executed a pushed command of this view, and that the body of its
 * answer was accepted: the machine is reachable for now, if it has sent no heartbeat in this view
 * yet. */
void partition_record_probe_answer(partition_t *partition, const char *id, msec_t now);

#endif
