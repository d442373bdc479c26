/** @file
 * Client of the key-value store. Its results tell apart what was not executed from what may have
 * been: a caller may repeat the former and must find out about the latter.
 *
 * All functions block. A kv_store_t is shared by all threads without a lock; each thread brings an
 * HTTP client of its own. The names of the store's own protocol occur in kv_store.c only.
 */
#ifndef PEPPERPULLEY_KV_STORE_H
#define PEPPERPULLEY_KV_STORE_H

#include <stdatomic.h>

#include "io/http_client.h"

/** The outcome of a request. */
typedef enum {
    KV_OK,            /**< Executed. */
    KV_CONFLICT,      /**< Not executed: a condition did not hold. */
    KV_NOT_FOUND,     /**< Not executed: there is no such key or lease. */
    KV_NOT_EXECUTED,  /**< Certainly not executed: outage, over the rate limit, or not sent. */
    KV_INDETERMINATE, /**< No usable answer: may have been executed, or may still be. */
    KV_COMPACTED,     /**< A watch from a revision that the store no longer has. */
    KV_INVALID        /**< Not executed: the request is malformed. */
} kv_result_t;

/** A time before all others of any clock, whose age still fits in a message. */
#define KV_NEVER_ANSWERED (INT64_MIN / 4)

/** The key-value store, shared by all threads. */
typedef struct kv_store {
    char base_url[BASE_URL_BYTES]; /**< Scheme and address. */
    _Atomic(msec_t) answered_at;   /**< When the newest answered request was sent, or
                                      KV_NEVER_ANSWERED. */
} kv_store_t;

/** A key with its value, or a change of it. */
typedef struct kv_entry {
    char *key;         /**< Owned. */
    json_t *value;     /**< Owned; NULL in a change: the key was deleted. */
    uint64_t revision; /**< Of the key's last change. */
} kv_entry_t;

/** Initializes the client; makes no request. */
void kv_store_init(kv_store_t *kv_store, const char *address);

/** Returns an empty GArray of kv_entry_t, which clears its entries (transfer full). */
GArray *kv_entries_new(void);

/** Reads a key into *entry (transfer full: its key and value are the caller's on KV_OK). */
kv_result_t kv_get(kv_store_t *kv_store, http_client_t *client, const char *key, long timeout_ms,
                   kv_entry_t *entry);

/** Reads all keys with the prefix, page by page, and appends them to @p entries. *revision (may be
 * NULL) is the store's revision at the first page: a watch from it misses no change. */
kv_result_t kv_list(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                    GArray *entries, uint64_t *revision);

/** A transaction under construction. */
typedef struct kv_txn {
    json_t *conditions; /**< List of required revisions; owned. */
    json_t *changes;    /**< List of changes; owned. */
    bool is_invalid;    /**< Whether a value could not be built: it is never sent then. */
} kv_txn_t;

/** Returns an empty transaction (transfer full, kv_txn_free). */
kv_txn_t kv_txn_new(void);

/** Frees what the transaction holds. */
void kv_txn_free(kv_txn_t *txn);

/** Requires that the key has this revision; 0: that it does not exist. */
void kv_txn_require_revision(kv_txn_t *txn, const char *key, uint64_t revision);

/** Returns the key of a condition, in the order in which they were required (transfer none). */
const char *kv_txn_required_key(const kv_txn_t *txn, size_t index);

/** Sets the key to @p value (transfer full; NULL makes the transaction invalid). @p lease: the key
 * is deleted when the lease ends; 0: none. */
void kv_txn_put(kv_txn_t *txn, const char *key, json_t *value, uint64_t lease);

/** Deletes the key. */
void kv_txn_delete(kv_txn_t *txn, const char *key);

/** Commits the transaction: all changes or none. On KV_OK *revision (may be NULL) is theirs; on
 * KV_CONFLICT the keys whose condition failed are appended to @p failed, a GPtrArray of char * that
 * owns them (may be NULL). */
kv_result_t kv_commit(kv_store_t *kv_store, http_client_t *client, const kv_txn_t *txn,
                      long timeout_ms, uint64_t *revision, GPtrArray *failed);

/** Creates a lease that ends @p life_ms after its last extension; *lease is its id. */
kv_result_t kv_lease_create(kv_store_t *kv_store, http_client_t *client, guint life_ms,
                            uint64_t *lease);

/** Extends the lease; KV_NOT_FOUND: it has ended. */
kv_result_t kv_lease_extend(kv_store_t *kv_store, http_client_t *client, uint64_t lease);

/** Waits up to @p block_ms for changes of keys with the prefix after *revision, and appends them in
 * order to @p changes, an array of kv_entries_new. On KV_OK *revision is the revision up to which
 * the changes are complete. */
kv_result_t kv_watch(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                     guint block_ms, uint64_t *revision, GArray *changes);

#endif
