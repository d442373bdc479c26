/** @file
 * Keeps the job directory in sync with jobs/ in the key-value store.
 */
#ifndef PEPPERPULLEY_JOB_WATCH_H
#define PEPPERPULLEY_JOB_WATCH_H

/** The thread's loop: reads jobs/, then watches its changes. @p data is the controller_t; the
 * thread must not hold its lock. Never returns. */
void *job_watch_run(void *data);

#endif
