/* A fake of the key-value store in memory, with conditional transactions on keys that have
 * revisions. */
#ifndef PEPPERPULLEY_FAKE_KV_STORE_H
#define PEPPERPULLEY_FAKE_KV_STORE_H

#include "io/kv_store.h"

typedef struct fake_kv_store {
    GHashTable *keys;  /* key (borrowed from the entry) -> kv_entry_t (owned) */
    uint64_t revision; /* revision of the last change */
} fake_kv_store_t;

fake_kv_store_t *fake_kv_store_new(void);
void fake_kv_store_free(fake_kv_store_t *store);
/* Executes the transaction and frees it. Returns KV_OK, or KV_CONFLICT if a condition does not
 * hold. */
kv_result_t fake_kv_store_apply(fake_kv_store_t *store, kv_txn_t txn);
/* Returns the entry of the key, borrowed until the next change, or NULL if there is none. */
const kv_entry_t *fake_kv_store_get(const fake_kv_store_t *store, const char *key);
/* Returns the revision of the key, or 0 if the key does not exist. */
uint64_t fake_kv_store_revision(const fake_kv_store_t *store, const char *key);

#endif
