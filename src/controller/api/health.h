/** @file
 * Decides whether this controller serves users' requests, and serves its metrics.
 */
#ifndef PEPPERPULLEY_API_HEALTH_H
#define PEPPERPULLEY_API_HEALTH_H

#include "controller/api/reply.h"
#include "controller/controller_type.h"

/** Returns true if requests that need the key-value store must be shed. That is so while this
 * controller gets no answers from the key-value store, while other controllers get some or may get
 * some. Clients should then retry at another controller at once, instead of waiting here for a call
 * that will fail. Called without the lock. */
bool api_must_shed_load(controller_t *controller);

/** Serves GET /ready, the load balancer's health check. Never waits for the key-value store. Called
 * without the lock. */
reply_t api_ready(controller_t *controller);

/** Serves GET /metrics. Called without the lock. */
reply_t api_metrics(controller_t *controller);

#endif
