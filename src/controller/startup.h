/* Starts a controller. */
#ifndef PEPPERPULLEY_STARTUP_H
#define PEPPERPULLEY_STARTUP_H

#include "controller/controller.h"

/* Starts every loop and the HTTP server. False: it can't listen; a message was logged. */
bool controller_start(controller_t *controller);

#endif
