/* The threads of the process, by role, and the processor time that each role has taken.
 *
 * A role is a short constant string ("placement loop", "sender"). The registry is one for the
 * process and guards itself. Nothing is measured until somebody asks. */
#ifndef PEPPERPULLEY_THREADS_H
#define PEPPERPULLEY_THREADS_H

#include <pthread.h>

#include <glib.h>

/* Starts a thread with a small stack; ends the process where the system gives none. */
pthread_t threads_start(const char *role, void *(*run)(void *), void *data);
/* Counts the calling thread, which a library started and never ends, under the role. Cheap after
 * the first call of a thread. */
void threads_adopt(const char *role);
/* Appends a line for each role: threads alive, and processor time since the start in
 * microseconds. */
void threads_write(GString *text);

#endif
