/** @file
 * Calls to the key-value store on behalf of a request. They end by the request's deadline and count
 * against the rate limit for users' requests.
 *
 * All functions are called without the controller's lock, by the thread that serves the request.
 */
#ifndef PEPPERPULLEY_API_KV_ACCESS_H
#define PEPPERPULLEY_API_KV_ACCESS_H

#include "controller/api/request.h"
#include "io/kv_store.h"

/** Acquires a connection to the key-value store for the request, unless it has one. Waits for a
 * free connection until the request's wait deadline. Returns false if none became free. The request
 * keeps the connection until api_release_kv_client(). */
bool api_acquire_kv_client(request_t *request);

/** Returns the request's connection to the key-value store to the pool, if the request has one. */
void api_release_kv_client(request_t *request);

/** Commits the transaction (transfer none) on the request's connection. Returns the result of
 * kv_commit(), or KV_NOT_EXECUTED if the request's deadline has passed. @p failed receives the keys
 * whose conditions failed, as in kv_commit(); it may be NULL. */
kv_result_t api_commit(request_t *request, const kv_txn_t *txn, GPtrArray *failed);

/** Reads the key `<prefix>/<id>` on the request's connection. Returns the result of kv_get(), or
 * KV_NOT_EXECUTED if the request's deadline has passed. @p entry must be initialized with zeros;
 * the caller clears it with api_entry_clear(). */
kv_result_t api_read_key(request_t *request, const char *prefix, const char *id, kv_entry_t *entry);

/** Frees the entry's key and value and sets the entry to zeros. Does nothing to an entry of zeros.
 */
void api_entry_clear(kv_entry_t *entry);

#endif
