/* Scales the fleet out and in, at the leader. */
#ifndef PEPPERPULLEY_AUTOSCALER_LOOP_H
#define PEPPERPULLEY_AUTOSCALER_LOOP_H

/* The loop; data is the controller_t. Never returns. */
void *autoscaler_loop_run(void *data);

#endif
