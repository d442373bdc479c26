/** @file
 * Scales machines in: chooses those to drain and to terminate. Runs on the autoscaler loop's
 * thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_SCALE_IN_H
#define PEPPERPULLEY_SCALE_IN_H

#include "controller/autoscaler/cloud_context.h"

/** Drains surplus and quarantined machines, and terminates the machines that are drained, failed,
 * stuck in their boot, or silent and not retained by another controller. Returns whether there were
 * any to terminate. */
bool scale_in_run(cloud_context_t *context);

#endif
