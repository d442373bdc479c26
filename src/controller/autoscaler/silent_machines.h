/** @file
 * Finds the machines to terminate because their workers are silent. Runs on the autoscaler loop's
 * thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_SILENT_MACHINES_H
#define PEPPERPULLEY_SILENT_MACHINES_H

#include "controller/autoscaler/cloud_context.h"

/** Returns the ids of the machines to terminate because of their silence, unless another controller
 * retains their workers. These are the machines that have been silent for longer than a lease, and
 * those that have been silent for a shorter time and that the cloud no longer lists. Machines in an
 * unreachable zone are kept longer: when the network recovers they are available at once, whereas
 * new machines would first have to be scaled out and booted. The tasks on the silent machines have
 * missed their nearest SLOs in either case. Transfer full, including the strings. */
GPtrArray *silent_machines_find(cloud_context_t *context);

#endif
