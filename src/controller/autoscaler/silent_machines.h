/** @file
 * Finds the machines to terminate because their workers are silent. Runs on the autoscaler loop's
 * thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_SILENT_MACHINES_H
#define PEPPERPULLEY_SILENT_MACHINES_H

#include "controller/autoscaler/cloud_context.h"

/** Returns the ids of the machines to terminate for their silence unless another controller retains
 * their workers: silent for longer than a lease, or for a shorter while and no longer listed by the
 * cloud. Those of an unreachable zone have longer: a cut ends, and then they are available, where
 * new ones would have to be scaled out and booted; their tasks have missed the nearest SLOs either
 * way. Transfer full, with the strings. */
GPtrArray *silent_machines_find(cloud_context_t *context);

#endif
