/** @file
 * Loads the records of a view from the key-value store into the partition's data and, at the
 * leader, into the leader's data.
 */
#ifndef PEPPERPULLEY_RECORD_LOADER_H
#define PEPPERPULLEY_RECORD_LOADER_H

#include "controller/controller_type.h"
#include "io/http_client.h"

/** Reads all records and replaces the loaded data with them, unless the view changed meanwhile. If
 * the key-value store can't be read, changes nothing and sleeps for KV_RETRY_DELAY_MS. If a record
 * is invalid, the data stay marked as not loaded. Called by the placement loop, without the lock.
 */
void record_loader_load(controller_t *controller, http_client_t *client);

#endif
