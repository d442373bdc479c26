/** @file
 * Starts threads and keeps a registry of them by role, with the processor time used by each role.
 *
 * A role is a constant string such as "placement" or "dispatcher"; startup.h lists them. There is
 * one registry per process, which has a lock of its own. Processor time is read only when the
 * metrics are written and when a thread ends.
 */
#ifndef PEPPERPULLEY_THREADS_H
#define PEPPERPULLEY_THREADS_H

#include <pthread.h>

#include <glib.h>

/** Starts a thread with a stack of THREAD_STACK_BYTES that calls @p run with @p data, and returns
 * its id. Aborts the process if the thread can't be created. @p role: transfer none; it must live
 * as long as the process. */
pthread_t threads_start(const char *role, void *(*run)(void *), void *data);

/** Registers the calling thread under the role. For threads that a library starts and that live as
 * long as the process. Further calls by the same thread do nothing and are cheap. */
void threads_register_current(const char *role);

/** Appends two lines for each role: the number of its running threads, and the processor time that
 * all its threads have used since the start of the process, in microseconds. */
void threads_write(GString *text);

#endif
