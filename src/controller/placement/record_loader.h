/** @file
 * Loads the records of a view from the key-value store into the partition and, at the leader, the
 * leader's data.
 */
#ifndef PEPPERPULLEY_RECORD_LOADER_H
#define PEPPERPULLEY_RECORD_LOADER_H

#include "controller/controller_type.h"
#include "io/http_client.h"

/** Reads all records and, unless the view changed meanwhile, replaces the loaded data by them. If
 * the key-value store can't be read, it sleeps a moment and nothing changes; if a record is
 * invalid, the data stay marked as not loaded. Called without the lock, by the placement loop. */
void record_loader_load(controller_t *controller, http_client_t *client);

#endif
