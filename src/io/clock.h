/* The clocks of the process. Core code is handed times and never reads them. */
#ifndef PEPPERPULLEY_CLOCK_H
#define PEPPERPULLEY_CLOCK_H

#include <time.h>

#include "core/types.h"

static inline msec_t clock_read(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (msec_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static inline msec_t clock_steady(void)
{
    return clock_read(CLOCK_MONOTONIC);
}

static inline int64_t clock_day(void)
{
    return clock_read(CLOCK_REALTIME);
}

#endif
