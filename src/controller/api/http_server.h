/** @file
 * Serves users and workers over HTTP.
 */
#ifndef PEPPERPULLEY_HTTP_SERVER_H
#define PEPPERPULLEY_HTTP_SERVER_H

#include "controller/controller_type.h"

#include <stdbool.h>

/** Starts the HTTP server and the request pool. Returns false, after logging an error, if the
 * server cannot listen on the address in the settings. Called once, by the thread that starts the
 * controller. */
bool http_server_start(controller_t *controller);

#endif
