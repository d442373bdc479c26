#include "io/rate_limiter.h"

void rate_limiter_init(rate_limiter_t *limiter, double rate, msec_t now)
{
    pthread_mutex_init(&limiter->lock, NULL);
    limiter->rate = rate;
    limiter->left = rate;
    limiter->at = now;
}

static void refill(rate_limiter_t *limiter, msec_t now)
{
    if (now > limiter->at) {
        limiter->left += limiter->rate * (double)(now - limiter->at) / MS_PER_S;
        limiter->at = now;
    }
    limiter->left = MIN(limiter->left, MAX(limiter->rate, 1));
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
    refill(limiter, now);
    /* An amount above a whole burst passes when the bucket is full. */
    bool taken = limiter->left >= MIN(amount, MAX(limiter->rate, 1));
    if (taken)
        limiter->left -= amount;
    pthread_mutex_unlock(&limiter->lock);
    return taken;
}

double rate_limiter_left(rate_limiter_t *limiter, msec_t now)
{
    pthread_mutex_lock(&limiter->lock);
    refill(limiter, now);
    double left = limiter->left;
    pthread_mutex_unlock(&limiter->lock);
    return left;
}

void rate_limiter_charge(rate_limiter_t *limiter, double amount, msec_t now)
{
    pthread_mutex_lock(&limiter->lock);
    refill(limiter, now);
    limiter->left -= amount;
    pthread_mutex_unlock(&limiter->lock);
}
