/** @file
 * Keeps this controller a member of the view: maintains its lease in the key-value store and its
 * member key, view/members/NAME. Tries to become the leader when view/lease is vacant. While this
 * controller leads, changes the view when its members change.
 */
#ifndef PEPPERPULLEY_MEMBER_LOOP_H
#define PEPPERPULLEY_MEMBER_LOOP_H

/** The thread's loop. @p data is the controller_t, whose lock the thread must not hold. Never
 * returns. */
void *member_loop_run(void *data);

#endif
