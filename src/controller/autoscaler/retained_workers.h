/** @file
 * Retained workers: workers that can't reach the controller that owns their machine, and whose
 * leases another controller renews meanwhile. Each controller publishes its own through the
 * key-value store, for the leader. Runs on the autoscaler loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_RETAINED_WORKERS_H
#define PEPPERPULLEY_RETAINED_WORKERS_H

#include "controller/autoscaler/cloud_context.h"

/** Reads the retained workers of all controllers: a set of machine ids, transfer full; NULL: they
 * could not be read. */
GHashTable *retained_workers_read(cloud_context_t *context);

/** Publishes this controller's retained workers, if there are any: at most once in
 * RETAINED_WRITE_GAP_MS, or in RETAINED_GROWN_GAP_MS when there are more than last time. */
void retained_workers_publish(cloud_context_t *context, msec_t now);

#endif
