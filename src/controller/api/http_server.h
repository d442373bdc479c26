/** @file
 * Serves users and workers over HTTP.
 */
#ifndef PEPPERPULLEY_HTTP_SERVER_H
#define PEPPERPULLEY_HTTP_SERVER_H

#include "controller/controller_type.h"

#include <stdbool.h>

/** Starts the HTTP server and the request pool. Returns false if it can't listen on the address in
 * the settings; an error was logged. Called once, by the starting thread. */
bool http_server_start(controller_t *controller);

#endif
