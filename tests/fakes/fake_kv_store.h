/* The key-value store in memory: conditional transactions on keys with revisions. */
#ifndef PEPPERPULLEY_FAKE_KV_STORE_H
#define PEPPERPULLEY_FAKE_KV_STORE_H

#include "io/kv_store.h"

typedef struct fake_kv_store {
    GHashTable *keys;  /* key (in the value) -> kv_entry_t; values owned */
    uint64_t revision; /* of the last change */
} fake_kv_store_t;

fake_kv_store_t *fake_kv_store_new(void);
void fake_kv_store_free(fake_kv_store_t *store);
/* Executes the transaction, and frees it: KV_OK, or KV_CONFLICT. */
kv_result_t fake_kv_store_apply(fake_kv_store_t *store, kv_txn_t txn);
/* The key's entry, borrowed until the next change; NULL: there is no such key. */
const kv_entry_t *fake_kv_store_get(const fake_kv_store_t *store, const char *key);
/* The key's revision; 0: there is no such key. */
uint64_t fake_kv_store_revision(const fake_kv_store_t *store, const char *key);

#endif
