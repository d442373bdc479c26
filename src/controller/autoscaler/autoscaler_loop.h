/** @file
 * The loop that scales the fleet of machines out and in.
 *
 * Every controller reads the machine types and publishes its retained workers. Only the leader
 * lists machines, scales them out and terminates them.
 */
#ifndef PEPPERPULLEY_AUTOSCALER_LOOP_H
#define PEPPERPULLEY_AUTOSCALER_LOOP_H

/** Runs the autoscaler loop on the calling thread and never returns. @p data is the controller_t;
 * transfer none. */
void *autoscaler_loop_run(void *data);

#endif
