#include "io/budget.h"

void budget_init(budget_t *budget, double rate, msec_t now)
{
    pthread_mutex_init(&budget->lock, NULL);
    budget->rate = rate;
    budget->left = rate;
    budget->at = now;
}

static void refill(budget_t *budget, msec_t now)
{
    if (now > budget->at) {
        budget->left += budget->rate * (double)(now - budget->at) / 1000.0;
        budget->at = now;
    }
    budget->left = MIN(budget->left, MAX(budget->rate, 1));
}

void budget_set_rate(budget_t *budget, double rate)
{
    pthread_mutex_lock(&budget->lock);
    budget->rate = rate;
    pthread_mutex_unlock(&budget->lock);
}

bool budget_take(budget_t *budget, double amount, msec_t now)
{
    pthread_mutex_lock(&budget->lock);
    refill(budget, now);
    /* An amount above a whole burst passes when the bucket is full. */
    bool taken = budget->left >= MIN(amount, MAX(budget->rate, 1));
    if (taken)
        budget->left -= amount;
    pthread_mutex_unlock(&budget->lock);
    return taken;
}

double budget_left(budget_t *budget, msec_t now)
{
    pthread_mutex_lock(&budget->lock);
    refill(budget, now);
    double left = budget->left;
    pthread_mutex_unlock(&budget->lock);
    return left;
}

void budget_charge(budget_t *budget, double amount, msec_t now)
{
    pthread_mutex_lock(&budget->lock);
    refill(budget, now);
    budget->left -= amount;
    pthread_mutex_unlock(&budget->lock);
}
