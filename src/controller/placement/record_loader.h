/** @file
 * Loads the records of a view from the key-value store into the partition's data and, at the
 * leader, into the leader's data.
 */
#ifndef PEPPERPULLEY_RECORD_LOADER_H
#define PEPPERPULLEY_RECORD_LOADER_H

#include "controller/controller_type.h"
#include "io/http_client.h"
#include "io/kv_store.h"

/** The entries of a view's records, as read from the key-value store. */
typedef struct record_listing {
    GArray *machines;            /**< Array of kv_entry_t, owned: machines/. */
    GArray *done;                /**< Array of kv_entry_t, owned: done/, read by the leader only. */
    GArray *jobs;                /**< Array of kv_entry_t, owned: jobs/, read after the others. */
    kv_coverage_t jobs_coverage; /**< What the list of jobs covers. */
} record_listing_t;

/** Returns a listing without entries (transfer full, record_listing_clear). */
record_listing_t record_listing_new(void);

/** Frees what the listing owns. */
void record_listing_clear(record_listing_t *listing);

/** Replaces the loaded data with the listing (transfer none), which was read in the installed view.
 * Called with the lock held. */
void record_loader_apply(controller_t *controller, const record_listing_t *listing, msec_t now);

/** Reads all records and replaces the loaded data with them, unless the view changed meanwhile. If
 * the key-value store can't be read, changes nothing and sleeps for KV_RETRY_DELAY_MS. If a record
 * is invalid, the data stay marked as not loaded. Called by the placement loop, without the lock.
 */
void record_loader_load(controller_t *controller, http_client_t *client);

#endif
