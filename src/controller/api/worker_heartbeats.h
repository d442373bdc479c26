/** @file
 * Serves workers' heartbeats.
 */
#ifndef PEPPERPULLEY_API_WORKER_HEARTBEATS_H
#define PEPPERPULLEY_API_WORKER_HEARTBEATS_H

#include "controller/api/request.h"

/** Serves POST /hello, a worker's heartbeat. A reply with status 200 renews the worker's lease and
 * contains its commands. Called without the controller's lock, on an HTTP thread. Never waits for
 * another service. */
reply_t api_handle_worker_heartbeat(controller_t *controller, const request_t *request);

#endif
