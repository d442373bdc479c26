/** @file
 * Sends and handles the items that the leader and the partitions exchange (channel_item_t). The
 * leader sends placement requests, acknowledgements, withdrawals, drains and notices of terminated
 * machines; the partitions send attempt results.
 *
 * All functions are called with the controller's lock held and with the view's records loaded.
 */
#ifndef PEPPERPULLEY_PARTITION_ITEMS_H
#define PEPPERPULLEY_PARTITION_ITEMS_H

#include "controller/controller.h"

/** Returns the summaries of this partition's machines: array of machine_summary_t, transfer full.
 * The leader uses them to choose a partition for each task (projected least-loaded placement). */
GArray *partition_items_summaries(const controller_t *controller, msec_t now);

/** Returns, for each team, the cpus of its tasks that this partition is preempting: array of double
 * in the order of the teams in the settings, transfer full. */
GArray *partition_items_cpus_being_preempted(const controller_t *controller);

/** Called at the leader: handles an attempt result sent by the member with index @p partition.
 * @p result is transfer none. */
void partition_items_handle_result(controller_t *controller, guint partition,
                                   const attempt_result_t *result, msec_t now);

/** Called at the leader: sends an item (transfer full) to the member with index @p partition. An
 * item for this controller's own partition is handled at once, any other is put into the member's
 * channel. */
void partition_items_send(controller_t *controller, guint partition, channel_item_t item);

/** Called at the partition: handles an item (transfer none) that the leader sent. */
void partition_items_handle(controller_t *controller, const channel_item_t *item, msec_t now);

#endif
