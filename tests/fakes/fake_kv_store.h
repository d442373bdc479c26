/* The key-value store in memory: conditional transactions on keys with revisions. */
#ifndef PEPPERPULLEY_FAKE_STORE_H
#define PEPPERPULLEY_FAKE_STORE_H

#include "io/kv_store.h"

typedef struct fake_kv_store {
    GHashTable *keys; /* key -> kv_entry_t, owned */
    uint64_t revision;
} fake_kv_store_t;

fake_kv_store_t *fake_kv_store_new(void);
void fake_kv_store_free(fake_kv_store_t *store);
/* Frees the transaction. */
kv_result_t fake_kv_store_apply(fake_kv_store_t *store, kv_txn_t txn);
const kv_entry_t *fake_kv_store_get(const fake_kv_store_t *store, const char *key);
uint64_t fake_kv_store_revision(const fake_kv_store_t *store, const char *key); /* 0: absent */

#endif
