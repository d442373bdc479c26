/** @file
 * Keeps this controller a member of the view: its lease in the key-value store and its key below
 * view/members/. Elects it leader when view/lease is vacant, and at the leader keeps the members of
 * the view.
 */
#ifndef PEPPERPULLEY_MEMBER_LOOP_H
#define PEPPERPULLEY_MEMBER_LOOP_H

/** The thread's loop. @p data is the controller_t; the thread must not hold its lock. Never
 * returns.
 */
void *member_loop_run(void *data);

#endif
