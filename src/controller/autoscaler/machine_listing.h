/** @file
 * Reads the cloud's lists of machine types and of machines with their states. Runs on the
 * autoscaler loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_MACHINE_LISTING_H
#define PEPPERPULLEY_MACHINE_LISTING_H

#include "controller/autoscaler/cloud_context.h"

/** Reads the machine types and applies them to the partition. If the call fails or its answer has
 * no valid machine types, the current types stay in effect. */
void machine_listing_refresh_types(cloud_context_t *context);

/** Reads the list of machines and, if this controller may still act as the leader, updates the
 * listed and failed machines and the booting instances. Changes nothing if the list could not be
 * read completely. */
void machine_listing_refresh(cloud_context_t *context);

#endif
