/** @file
 * Selects the handler for a path and a method.
 */
#ifndef PEPPERPULLEY_API_ROUTES_H
#define PEPPERPULLEY_API_ROUTES_H

#include "controller/api/request.h"

/** Returns true if requests for the path are served without waiting for another service, so that an
 * HTTP thread may call api_route() for them. */
bool api_is_served_without_waiting(const char *path);

/** Serves a request whose whole body has arrived. Returns the reply, transfer full. Called without
 * the controller's lock. */
reply_t api_route(request_t *request, const char *method, const char *path);

#endif
