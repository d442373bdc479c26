/** @file
 * Pushes commands to workers without waiting for their heartbeats.
 *
 * Each machine has one dispatcher, a thread that keeps connections to its machines; while it is
 * busy, idle dispatchers serve its machines.
 */
#ifndef PEPPERPULLEY_COMMAND_DISPATCHER_H
#define PEPPERPULLEY_COMMAND_DISPATCHER_H

#include "controller/controller_type.h"

/** Wakes the dispatchers of machines that have commands to push, and an idle one in place of each
 * that is busy. Starts threads as they are first needed. Called with the lock held. */
void command_dispatcher_notify(controller_t *controller);

#endif
