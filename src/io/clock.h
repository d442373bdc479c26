/** @file
 * The process's clocks, in milliseconds. The core never reads them: it gets times as arguments.
 * Thread-safe.
 */
#ifndef PEPPERPULLEY_CLOCK_H
#define PEPPERPULLEY_CLOCK_H

#include <time.h>

#include "core/types.h"

/** Reads the clock @p id. */
static inline msec_t clock_read(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (msec_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/** Returns the monotonic clock's time, for intervals and deadlines within the process. */
static inline msec_t clock_steady(void)
{
    return clock_read(CLOCK_MONOTONIC);
}

/** Returns the time of day since 1970, for times that outlive the process or go to others. */
static inline int64_t clock_day(void)
{
    return clock_read(CLOCK_REALTIME);
}

#endif
