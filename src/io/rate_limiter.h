/** @file
 * A token bucket that keeps requests within the rate limit of an external service. Its capacity is
 * the tokens of one second, but at least one token. Thread-safe: each bucket has its own lock.
 */
#ifndef PEPPERPULLEY_RATE_LIMITER_H
#define PEPPERPULLEY_RATE_LIMITER_H

#include <pthread.h>

#include "core/types.h"

/** A token bucket. Its fields are private. */
typedef struct rate_limiter {
    pthread_mutex_t lock; /**< Guards the other fields. */
    double rate;          /**< Tokens per second. */
    double tokens;        /**< Available tokens; negative if more were taken than there were. */
    msec_t refilled_at;   /**< When tokens were last added. */
} rate_limiter_t;

/** Initializes a bucket that holds the tokens of one second. @p rate: tokens per second. */
void rate_limiter_init(rate_limiter_t *limiter, double rate, msec_t now);

/** Changes the rate. The new rate also applies to the time since the last refill. */
void rate_limiter_set_rate(rate_limiter_t *limiter, double rate);

/** Takes @p amount tokens if that many are available. An amount above the capacity is taken if the
 * bucket is full. Returns whether the tokens were taken. */
bool rate_limiter_take(rate_limiter_t *limiter, double amount, msec_t now);

/** Returns the number of available tokens; negative if more were taken than there were. */
double rate_limiter_available(rate_limiter_t *limiter, msec_t now);

/** Takes @p amount tokens even if fewer are available, for requests that cannot be delayed. */
void rate_limiter_charge(rate_limiter_t *limiter, double amount, msec_t now);

#endif
