/** @file
 * The items that the leader and the partitions exchange (channel_item_t), and what happens for
 * each: placement requests, acknowledgements, withdrawals and drains from the leader; attempt
 * results from the partitions.
 *
 * All functions are called with the controller's lock held, and the view's records loaded.
 */
#ifndef PEPPERPULLEY_PARTITION_ITEMS_H
#define PEPPERPULLEY_PARTITION_ITEMS_H

#include "controller/controller.h"

/** Returns summaries of this partition's machines, by which the leader chooses a partition
 * (projected least-loaded placement): array of machine_summary_t, transfer full. */
GArray *partition_items_summaries(const controller_t *controller, msec_t now);

/** Returns the cpus of each team's work that this partition is preempting: array of double in the
 * order of the teams in the settings, transfer full. */
GArray *partition_items_cpus_being_preempted(const controller_t *controller);

/** Handles, at the leader, the result of an attempt that the member with index @p partition sent.
 * @p result is transfer none. */
void partition_items_handle_result(controller_t *controller, guint partition,
                                   const attempt_result_t *result, msec_t now);

/** Sends, at the leader, an item to the member with index @p partition: through its channel or, to
 * this controller's own partition, at once. Transfer full. */
void partition_items_send(controller_t *controller, guint partition, channel_item_t item);

/** Carries out, at the partition, an item that the leader sent. Transfer none. */
void partition_items_handle(controller_t *controller, const channel_item_t *item, msec_t now);

#endif
