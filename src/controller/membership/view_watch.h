/** @file
 * Keeps the installed view and the election up to date with the keys below view/ of the key-value
 * store.
 */
#ifndef PEPPERPULLEY_VIEW_WATCH_H
#define PEPPERPULLEY_VIEW_WATCH_H

/** The thread's loop: reads the keys below view/ and then watches their changes. @p data is the
 * controller_t, whose lock the thread must not hold. Never returns. */
void *view_watch_run(void *data);

#endif
