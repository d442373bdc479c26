/* A token bucket for an outside service's limit. Thread-safe. */
#ifndef PEPPERPULLEY_BUDGET_H
#define PEPPERPULLEY_BUDGET_H

#include <pthread.h>

#include "core/types.h"

typedef struct {
    pthread_mutex_t lock;
    double rate; /* per second; bursts of one second's worth */
    double left;
    msec_t at;
} budget_t;

void budget_init(budget_t *budget, double rate, msec_t now);
void budget_set_rate(budget_t *budget, double rate);
bool budget_take(budget_t *budget, double amount, msec_t now);
double budget_left(budget_t *budget, msec_t now);
/* For what can't be put off: may go below zero. */
void budget_charge(budget_t *budget, double amount, msec_t now);

#endif
