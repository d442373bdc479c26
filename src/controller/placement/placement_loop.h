/** @file
 * The placement loop: the reconciliation loop of this controller's partition and, if this
 * controller is the leader, of the leader's data.
 */
#ifndef PEPPERPULLEY_PLACEMENT_LOOP_H
#define PEPPERPULLEY_PLACEMENT_LOOP_H

/** The thread's loop. @p data is the controller_t. Never returns. */
void *placement_loop_run(void *data);

#endif
