/** @file
 * Pushes commands to workers without waiting for their heartbeats.
 *
 * Each machine is assigned to one dispatcher, a thread that keeps connections to its machines open.
 * While a dispatcher is busy, idle dispatchers push to its machines.
 */
#ifndef PEPPERPULLEY_COMMAND_DISPATCHER_H
#define PEPPERPULLEY_COMMAND_DISPATCHER_H

#include "controller/controller_type.h"

/** Wakes the dispatchers of the machines that have commands to push, and an idle dispatcher in
 * place of each one that is busy. Starts a dispatcher's thread when it is first needed. Called with
 * the lock held. */
void command_dispatcher_notify(controller_t *controller);

#endif
