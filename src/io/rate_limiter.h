/* A token bucket for an outside service's limit. Thread-safe. */
#ifndef PEPPERPULLEY_RATE_LIMITER_H
#define PEPPERPULLEY_RATE_LIMITER_H

#include <pthread.h>

#include "core/types.h"

typedef struct rate_limiter {
    pthread_mutex_t lock;
    double rate; /* per second; bursts of one second's worth */
    double left;
    msec_t at;
} rate_limiter_t;

void rate_limiter_init(rate_limiter_t *limiter, double rate, msec_t now);
void rate_limiter_set_rate(rate_limiter_t *limiter, double rate);
bool rate_limiter_take(rate_limiter_t *limiter, double amount, msec_t now);
double rate_limiter_left(rate_limiter_t *limiter, msec_t now);
/* For what can't be put off: may go below zero. */
void rate_limiter_charge(rate_limiter_t *limiter, double amount, msec_t now);

#endif
