/** @file
 * Which handler serves a path.
 */
#ifndef PEPPERPULLEY_API_ROUTES_H
#define PEPPERPULLEY_API_ROUTES_H

#include "controller/api/request.h"

/** Returns whether the path is served without waiting for another service, so that an HTTP thread
 * may call api_route() for it. */
bool api_is_served_without_waiting(const char *path);

/** Serves a request whose body has arrived, and returns its reply, transfer full. Called without
 * the controller's lock. */
reply_t api_route(request_t *request, const char *method, const char *path);

#endif
