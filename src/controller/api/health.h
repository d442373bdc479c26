/** @file
 * Decides whether this controller serves users' requests.
 */
#ifndef PEPPERPULLEY_API_HEALTH_H
#define PEPPERPULLEY_API_HEALTH_H

#include "controller/api/reply.h"
#include "controller/controller_type.h"

/** Returns true if requests that need the key-value store must be shed. That is so while this
 * controller is isolated from the key-value store and the other controllers are, or may be, served:
 * clients should retry there at once instead of waiting here for a call that fails. Called without
 * the lock. */
bool api_must_shed_load(controller_t *controller);

/** Serves GET /ready, the load balancer's health check. Never waits for the key-value store. Called
 * without the lock. */
reply_t api_ready(controller_t *controller);

#endif
