/** @file
 * Client of the key-value store. Its results distinguish requests that were certainly not executed,
 * which the caller may repeat, from requests that may have been executed, whose outcome the caller
 * must find out.
 *
 * Functions that take an HTTP client block. A kv_store_t is shared by all threads without a lock;
 * each thread passes an HTTP client of its own. The field names of the store's protocol occur in
 * kv_store.c only.
 */
#ifndef PEPPERPULLEY_KV_STORE_H
#define PEPPERPULLEY_KV_STORE_H

#include <stdatomic.h>

#include "io/http_client.h"

/** The outcome of a request. */
typedef enum {
    KV_OK,            /**< Executed. */
    KV_CONFLICT,      /**< Not executed: a condition did not hold. */
    KV_NOT_FOUND,     /**< Not executed: the key or the lease does not exist. */
    KV_NOT_EXECUTED,  /**< Certainly not executed: the request was not sent, or the store
                         refused it because of an outage or the rate limit. */
    KV_INDETERMINATE, /**< No usable answer: the request may have been executed, or may be
                         executed later. */
    KV_COMPACTED,     /**< Not executed: the store no longer has all changes after the revision
                         at which the watch starts. */
    KV_INVALID        /**< Not executed: the request is malformed. */
} kv_result_t;

/** The value of answered_at before the first answer: earlier than any reading of the clock, but
 * late enough that its age fits in a 64-bit field of a message. */
#define KV_NEVER_ANSWERED (INT64_MIN / 4)

/** The key-value store, shared by all threads. */
typedef struct kv_store {
    char base_url[BASE_URL_BYTES]; /**< Scheme and address. */
    _Atomic(msec_t) answered_at;   /**< Steady clock, ms: when the latest request that has been
                                      answered was sent, or KV_NEVER_ANSWERED. */
} kv_store_t;

/** A key with its value, or a change of a key. */
typedef struct kv_entry {
    char *key;         /**< Owned. */
    json_t *value;     /**< Owned. In a change, NULL means that the key was deleted. */
    uint64_t revision; /**< Revision of the key's last change. */
} kv_entry_t;

/** How much the answer to a list or a watch covers: once its entries are applied, every change up
 * to the revision, and every change made before the request was sent, is known. */
typedef struct kv_coverage {
    uint64_t revision; /**< Store revision: of a list, when its first page was read; of a watch, up
                          to which its changes are complete. */
    msec_t sent_at;    /**< When the request was sent (steady clock, ms). */
} kv_coverage_t;

/** Initializes the client of the store at @p address ("host:port"). Makes no request. */
void kv_store_init(kv_store_t *kv_store, const char *address);

/** Returns an empty GArray of kv_entry_t that frees what its entries own (transfer full). */
GArray *kv_entries_new(void);

/** Reads a key. On KV_OK, *entry holds the key and its value, which the caller frees (transfer
 * full). */
kv_result_t kv_get(kv_store_t *kv_store, http_client_t *client, const char *key, long timeout_ms,
                   kv_entry_t *entry);

/** Reads all keys with the prefix, page by page, and appends them to @p entries. Sets *revision
 * (may be NULL) to the store's revision when the first page was read: a watch that starts there
 * misses no change. */
kv_result_t kv_list(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                    GArray *entries, uint64_t *revision);

/** A transaction under construction. */
typedef struct kv_txn {
    json_t *conditions; /**< JSON array of the required revisions; owned. */
    json_t *changes;    /**< JSON array of the changes; owned. */
    bool is_invalid;    /**< Whether a value could not be built; kv_commit() does not send the
                            transaction then. */
} kv_txn_t;

/** Returns an empty transaction (transfer full, kv_txn_free). */
kv_txn_t kv_txn_new(void);

/** Frees what the transaction holds. */
void kv_txn_free(kv_txn_t *txn);

/** Adds the condition that the key has this revision; 0: that the key does not exist. */
void kv_txn_require_revision(kv_txn_t *txn, const char *key, uint64_t revision);

/** Returns the key of the condition number @p index, counted from 0 in the order in which
 * conditions were added (transfer none). */
const char *kv_txn_required_key(const kv_txn_t *txn, size_t index);

/** Adds a change that sets the key to @p value (transfer full; NULL makes the transaction invalid).
 * Unless @p lease is 0, the store deletes the key when that lease ends. */
void kv_txn_put(kv_txn_t *txn, const char *key, json_t *value, uint64_t lease);

/** Adds a change that deletes the key. */
void kv_txn_delete(kv_txn_t *txn, const char *key);

/** Commits the transaction: all changes or none. On KV_OK, sets *revision (may be NULL) to the
 * revision of the changes. On KV_CONFLICT, appends the keys whose conditions failed to @p failed, a
 * GPtrArray of char * that owns them (may be NULL). */
kv_result_t kv_commit(kv_store_t *kv_store, http_client_t *client, const kv_txn_t *txn,
                      long timeout_ms, uint64_t *revision, GPtrArray *failed);

/** Creates a lease that ends @p life_ms after its creation or its last extension. On KV_OK, sets
 * *lease to its id. */
kv_result_t kv_lease_create(kv_store_t *kv_store, http_client_t *client, guint life_ms,
                            uint64_t *lease);

/** Extends the lease. Returns KV_NOT_FOUND if it has ended. */
kv_result_t kv_lease_extend(kv_store_t *kv_store, http_client_t *client, uint64_t lease);

/** Waits up to @p block_ms for changes after *revision to keys with the prefix, and appends them in
 * order to @p changes, an array from kv_entries_new(). On KV_OK, sets *revision to the revision up
 * to which the changes are complete. */
kv_result_t kv_watch(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                     guint block_ms, uint64_t *revision, GArray *changes);

#endif
