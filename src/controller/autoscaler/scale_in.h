/** @file
 * Scales machines in: chooses the machines to drain and the machines to terminate. Runs on the
 * autoscaler loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_SCALE_IN_H
#define PEPPERPULLEY_SCALE_IN_H

#include "controller/autoscaler/cloud_context.h"

/** Drains surplus and quarantined machines. Terminates the machines that have been drained, have
 * failed, are stuck while booting, or are silent while no controller retains their workers. Returns
 * whether there were any machines to terminate. */
bool scale_in_run(cloud_context_t *context);

#endif
