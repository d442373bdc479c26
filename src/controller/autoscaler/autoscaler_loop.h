/** @file
 * The loop that scales the fleet out and in.
 *
 * Every controller reads the machine types and publishes its retained workers; only the leader
 * lists, scales out and terminates machines.
 */
#ifndef PEPPERPULLEY_AUTOSCALER_LOOP_H
#define PEPPERPULLEY_AUTOSCALER_LOOP_H

/** The thread's loop. @p data is the controller_t; transfer none. Never returns. */
void *autoscaler_loop_run(void *data);

#endif
