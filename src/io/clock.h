/** @file
 * The system's clocks, read in milliseconds. The code in src/core never reads a clock: its callers
 * pass times as arguments. Thread-safe.
 */
#ifndef PEPPERPULLEY_CLOCK_H
#define PEPPERPULLEY_CLOCK_H

#include <time.h>

#include "core/types.h"

/** Returns the time of the clock @p id, in milliseconds. */
static inline msec_t clock_read(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (msec_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/** Returns the time of the steady (monotonic) clock, in milliseconds, for intervals and deadlines
 * within the process. */
static inline msec_t clock_steady(void)
{
    return clock_read(CLOCK_MONOTONIC);
}

/** Returns the wall-clock time in milliseconds since the Unix epoch, for times that are stored or
 * sent to other processes. */
static inline int64_t clock_realtime(void)
{
    return clock_read(CLOCK_REALTIME);
}

#endif
