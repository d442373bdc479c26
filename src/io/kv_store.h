/* The key-value store's client. Says apart what was not executed from what may have been. */
#ifndef PEPPERPULLEY_KV_STORE_H
#define PEPPERPULLEY_KV_STORE_H

#include <stdatomic.h>

#include "io/http_client.h"

typedef enum {
    KV_OK,
    KV_CONFLICT,      /* a condition did not hold: not executed */
    KV_NOT_FOUND,     /* no such key or lease */
    KV_NOT_EXECUTED,  /* certainly not executed: outage, over the limit, or not sent */
    KV_INDETERMINATE, /* no answer: may have been executed, or may still be */
    KV_COMPACTED,     /* a follow from too old a revision */
    KV_INVALID
} kv_result_t;

/* Before every moment of any clock; its age can be told to others. */
#define KV_NEVER_ANSWERED (INT64_MIN / 4)

/* Shared by all threads; each brings its own client. */
typedef struct kv_store {
    char base_url[BASE_URL_BYTES];
    _Atomic(msec_t) answered_at; /* when the newest request that was answered had been sent; a start
                                    is no answer */
} kv_store_t;

typedef struct kv_entry {
    char *key;
    json_t *value;
    uint64_t revision;
} kv_entry_t;

void kv_store_init(kv_store_t *kv_store, const char *address);
/* entries: array of kv_entry_t with a clear function. */
GArray *kv_entries_new(void);

kv_result_t kv_get(kv_store_t *kv_store, http_client_t *client, const char *key, long timeout_ms,
                   kv_entry_t *entry);
/* Reads everything under the prefix, page by page; *revision is of the first page, so that a follow
 * from it misses nothing. */
kv_result_t kv_list(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                    GArray *entries, uint64_t *revision);

/* A transaction under construction. */
typedef struct kv_txn {
    json_t *conditions;
    json_t *changes;
    bool is_invalid; /* a value could not be built: never sent */
} kv_txn_t;
kv_txn_t kv_txn_new(void);
void kv_txn_free(kv_txn_t *txn);
void kv_txn_require_revision(kv_txn_t *txn, const char *key, uint64_t revision);
void kv_txn_put(kv_txn_t *txn, const char *key, json_t *value, uint64_t lease); /* consumes value */
void kv_txn_delete(kv_txn_t *txn, const char *key);
/* failed (may be NULL): array of keys to append to. */
kv_result_t kv_commit(kv_store_t *kv_store, http_client_t *client, const kv_txn_t *txn,
                      long timeout_ms, uint64_t *revision, GPtrArray *failed);

kv_result_t kv_lease_create(kv_store_t *kv_store, http_client_t *client, guint life_ms,
                            uint64_t *lease);
kv_result_t kv_lease_extend(kv_store_t *kv_store, http_client_t *client, uint64_t lease);

/* changes: array of kv_entry_t; value NULL: deleted. *revision: from, then up to. */
kv_result_t kv_watch(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                     guint block_ms, uint64_t *revision, GArray *changes);

#endif
