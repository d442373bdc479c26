/* The reconciliation loop of a partition, and of the leader. */
#ifndef PEPPERPULLEY_PLACEMENT_LOOP_H
#define PEPPERPULLEY_PLACEMENT_LOOP_H

/* The loop; data is the controller_t. Never returns. */
void *placement_loop_run(void *data);

#endif
