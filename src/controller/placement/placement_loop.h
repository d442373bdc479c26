/** @file
 * The placement loop: the reconciliation loop of this controller's partition, and of the leader.
 */
#ifndef PEPPERPULLEY_PLACEMENT_LOOP_H
#define PEPPERPULLEY_PLACEMENT_LOOP_H

/** The thread's loop. @p data is the controller_t. Never returns. */
void *placement_loop_run(void *data);

#endif
