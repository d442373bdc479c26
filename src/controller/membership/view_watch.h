/** @file
 * Keeps the view and the election as the keys below view/ of the key-value store have them.
 */
#ifndef PEPPERPULLEY_VIEW_WATCH_H
#define PEPPERPULLEY_VIEW_WATCH_H

/** The thread's loop: reads view/ and watches its changes. @p data is the controller_t; the thread
 * must not hold its lock. Never returns. */
void *view_watch_run(void *data);

#endif
