/* Keeps this controller's lease in the key-value store, and at the leader the members of the view.
 */
#ifndef PEPPERPULLEY_MEMBER_LOOP_H
#define PEPPERPULLEY_MEMBER_LOOP_H

/* The loop; data is the controller_t. Never returns. */
void *member_loop_run(void *data);

#endif
