/* A token bucket. */
#include "io/rate_limiter.h"

void rate_limiter_init(rate_limiter_t *limiter, double rate, msec_t now)
{
    pthread_mutex_init(&limiter->lock, NULL);
    limiter->rate = rate;
    limiter->tokens = rate;
    limiter->refilled_at = now;
}

static double capacity(const rate_limiter_t *limiter)
{
    return MAX(limiter->rate, 1);
}

/* Called with the limiter's lock held. */
static void refill_locked(rate_limiter_t *limiter, msec_t now)
{
    if (now > limiter->refilled_at) {
        limiter->tokens += limiter->rate * (double)(now - limiter->refilled_at) / MS_PER_S;
        limiter->refilled_at = now;
    }
    limiter->tokens = MIN(limiter->tokens, capacity(limiter));
}

void rate_limiter_set_rate(rate_limiter_t *limiter, double rate)
{
    pthread_mutex_lock(&limiter->lock);
    limiter->rate = rate;
    pthread_mutex_unlock(&limiter->lock);
}

bool rate_limiter_take(rate_limiter_t *limiter, double amount, msec_t now)
{
    pthread_mutex_lock(&limiter->lock);
    refill_locked(limiter, now);
    bool is_taken = limiter->tokens >= MIN(amount, capacity(limiter));
    if (is_taken)
        limiter->tokens -= amount;
    pthread_mutex_unlock(&limiter->lock);
    return is_taken;
}

double rate_limiter_available(rate_limiter_t *limiter, msec_t now)
{
    pthread_mutex_lock(&limiter->lock);
    refill_locked(limiter, now);
    double tokens = limiter->tokens;
    pthread_mutex_unlock(&limiter->lock);
    return tokens;
}

void rate_limiter_charge(rate_limiter_t *limiter, double amount, msec_t now)
{
    pthread_mutex_lock(&limiter->lock);
    refill_locked(limiter, now);
    limiter->tokens -= amount;
    pthread_mutex_unlock(&limiter->lock);
}
