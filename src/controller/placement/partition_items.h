/* The items that the leader and a partition exchange.
 *
 * All functions are called with the controller's lock held. */
#ifndef PEPPERPULLEY_PARTITION_ITEMS_H
#define PEPPERPULLEY_PARTITION_ITEMS_H

#include "controller/controller.h"

/* Summaries of this partition's machines: array of machine_summary_t; transfer full. */
GArray *partition_items_summaries(const controller_t *controller, msec_t now);
/* Cpus of each team's work that this partition is preempting: array of double in the order of the
 * teams in the settings; transfer full. */
GArray *partition_items_cpus_being_preempted(const controller_t *controller);
/* The leader's side: handles an attempt's result that a partition sent. */
void partition_items_handle_result(controller_t *controller, guint partition,
                                   const attempt_result_t *result, msec_t now);
/* The leader's side: sends an item to a partition, which may be its own. Takes the item over. */
void partition_items_send(controller_t *controller, guint partition, channel_item_t item);
/* The partition's side: carries out an item of the leader's. */
void partition_items_handle(controller_t *controller, const channel_item_t *item, msec_t now);

#endif
