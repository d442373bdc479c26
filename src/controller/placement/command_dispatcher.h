/* Pushes commands to workers, without waiting for their heartbeats. */
#ifndef PEPPERPULLEY_COMMAND_DISPATCHER_H
#define PEPPERPULLEY_COMMAND_DISPATCHER_H

#include "controller/controller.h"

/* Wakes the dispatchers of machines with commands to push; for one that is busy, another. Starts
 * threads as they are first needed. Called with the lock held. */
void command_dispatcher_notify(controller_t *controller);

#endif
