/* The state service in memory: conditional transactions on keys with revisions. */
#ifndef PEPPERPULLEY_FAKE_STORE_H
#define PEPPERPULLEY_FAKE_STORE_H

#include "io/state.h"

typedef struct fake_store {
    GHashTable *keys; /* key -> state_entry_t, owned */
    uint64_t revision;
} fake_store_t;

fake_store_t *fake_store_new(void);
void fake_store_free(fake_store_t *store);
/* Frees the transaction. */
state_result_t fake_store_apply(fake_store_t *store, txn_t txn);
const state_entry_t *fake_store_get(const fake_store_t *store, const char *key);
uint64_t fake_store_revision(const fake_store_t *store, const char *key); /* 0: absent */

#endif
