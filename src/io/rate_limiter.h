/** @file
 * A token bucket that keeps requests within an outside service's rate limit. Its capacity is one
 * second's tokens, at least one. Thread-safe: it has a lock of its own.
 */
#ifndef PEPPERPULLEY_RATE_LIMITER_H
#define PEPPERPULLEY_RATE_LIMITER_H

#include <pthread.h>

#include "core/types.h"

/** A token bucket. Its fields are private. */
typedef struct rate_limiter {
    pthread_mutex_t lock; /**< Guards the other fields. */
    double rate;          /**< Tokens per second. */
    double tokens;        /**< Tokens left; below 0 after a charge beyond them. */
    msec_t refilled_at;   /**< When tokens were last added. */
} rate_limiter_t;

/** Initializes a full bucket. */
void rate_limiter_init(rate_limiter_t *limiter, double rate, msec_t now);

/** Changes the rate; it applies to the time since the last refill as well. */
void rate_limiter_set_rate(rate_limiter_t *limiter, double rate);

/** Takes @p amount tokens if there are enough; an amount above the capacity needs a full bucket.
 * Returns whether they were taken. */
bool rate_limiter_take(rate_limiter_t *limiter, double amount, msec_t now);

/** Returns the tokens left; below 0 after a charge beyond them. */
double rate_limiter_left(rate_limiter_t *limiter, msec_t now);

/** Takes @p amount tokens in any case, for requests that can't be delayed. */
void rate_limiter_charge(rate_limiter_t *limiter, double amount, msec_t now);

#endif
