/** @file
 * Whether this controller should get users' requests.
 */
#ifndef PEPPERPULLEY_API_HEALTH_H
#define PEPPERPULLEY_API_HEALTH_H

#include "controller/api/reply.h"
#include "controller/controller_type.h"

/** Returns whether requests that need the key-value store are shed: this controller is isolated
 * from it while others are served, or may be, so clients should retry there at once rather than
 * wait here in vain. Called without the lock. */
bool api_must_shed(controller_t *controller);

/** Serves GET /ready, the load balancer's health check. Called without the lock. */
reply_t api_ready(controller_t *controller);

#endif
