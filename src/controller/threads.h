/** @file
 * The threads of the process by role, and the processor time that each role has taken.
 *
 * A role is a constant string ("placement", "dispatcher"); startup.h lists them. There is one
 * registry for the process, which has a lock of its own. Processor time is read only when the
 * registry is written out.
 */
#ifndef PEPPERPULLEY_THREADS_H
#define PEPPERPULLEY_THREADS_H

#include <pthread.h>

#include <glib.h>

/** Starts a thread with a stack of THREAD_STACK_BYTES that calls @p run with @p data, and returns
 * its id. Aborts the process if the system gives no thread. @p role: transfer none; it lives as
 * long as the process. */
pthread_t threads_start(const char *role, void *(*run)(void *), void *data);

/** Registers the calling thread under the role. For threads that a library starts and that live as
 * long as the process. Further calls of the same thread do nothing and cost little. */
void threads_adopt(const char *role);

/** Appends two lines for each role: the threads that run, and the processor time of all its threads
 * since the start of the process, in microseconds. */
void threads_write(GString *text);

#endif
