/** @file
 * The retained workers of all controllers. A retained worker cannot reach the controller that owns
 * its machine, so another controller renews its lease meanwhile. Each controller publishes the
 * workers that it retains in the key-value store, for the leader to read. Runs on the autoscaler
 * loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_RETAINED_WORKERS_H
#define PEPPERPULLEY_RETAINED_WORKERS_H

#include "controller/autoscaler/cloud_context.h"

/** Reads the retained workers of all controllers. Returns a set of machine ids (transfer full), or
 * NULL if they could not be read. */
GHashTable *retained_workers_read(cloud_context_t *context);

/** Publishes this controller's retained workers if there are any, at most once in
 * RETAINED_WRITE_GAP_MS, or in RETAINED_GROWN_GAP_MS if there are more of them than last time. */
void retained_workers_publish(cloud_context_t *context, msec_t now);

#endif
