/** @file
 * A request's calls to the key-value store: within its deadlines and counted against the rate limit
 * for users' requests.
 *
 * All functions are called without the controller's lock, by the thread that serves the request.
 */
#ifndef PEPPERPULLEY_API_KV_ACCESS_H
#define PEPPERPULLEY_API_KV_ACCESS_H

#include "controller/api/request.h"
#include "io/kv_store.h"

/** Returns whether the request has a connection to the key-value store; waits for one until its
 * wait deadline. It keeps the connection until api_release_client(). */
bool api_acquire_client(request_t *request);

/** Gives the request's connection back, if it has one. */
void api_release_client(request_t *request);

/** Commits the transaction, transfer none, on the request's connection. Returns as kv_commit(), and
 * KV_NOT_EXECUTED also after the deadline. @p failed: as for kv_commit(). */
kv_result_t api_commit(request_t *request, const kv_txn_t *txn, GPtrArray *failed);

/** Reads the key `<prefix>/<id>` on the request's connection. @p entry must be cleared by
 * api_entry_clear(). Returns as kv_get(), and KV_NOT_EXECUTED also after the deadline. */
kv_result_t api_read_key(request_t *request, const char *prefix, const char *id, kv_entry_t *entry);

/** Frees what the entry holds. An entry of zeros holds nothing. */
void api_entry_clear(kv_entry_t *entry);

#endif
