/** @file
 * Reads the cloud's lists: machine types, and machines with their state. Runs on the autoscaler
 * loop's thread; the lock is not held.
 */
#ifndef PEPPERPULLEY_MACHINE_LISTING_H
#define PEPPERPULLEY_MACHINE_LISTING_H

#include "controller/autoscaler/cloud_context.h"

/** Reads the machine types and hands them to the partition. Without a useful answer they stay as
 * they are. */
void machine_listing_refresh_types(cloud_context_t *context);

/** Lists the machines and, if this controller still leads, updates the listed and failed machines
 * and the booting instances. Without a complete list everything stays as it is. */
void machine_listing_refresh(cloud_context_t *context);

#endif
