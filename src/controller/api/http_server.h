/* Users and workers over HTTP. */
#ifndef PEPPERPULLEY_HTTP_SERVER_H
#define PEPPERPULLEY_HTTP_SERVER_H

#include "controller/controller.h"

/* Starts the HTTP server. False: it can't listen; a message was logged. */
bool http_server_start(controller_t *controller);

#endif
