/* The state service's client. Says apart what was not executed from what may have been. */
#ifndef PEPPERPULLEY_STATE_H
#define PEPPERPULLEY_STATE_H

#include <stdatomic.h>

#include "io/http.h"

typedef enum {
    STATE_OK,
    STATE_FAILED,  /* a condition did not hold: not executed */
    STATE_ABSENT,  /* no such key or lease */
    STATE_REFUSED, /* certainly not executed: outage, over the limit, or not sent */
    STATE_UNKNOWN, /* no answer: may have been executed, or may still be */
    STATE_EXPIRED, /* a follow from too old a revision */
    STATE_INVALID
} state_result_t;

/* Before every moment of any clock; its age can be told to others. */
#define STATE_NEVER_ANSWERED (INT64_MIN / 4)

/* Shared by all threads; each brings its own client. */
typedef struct state {
    char base[BASE_URL_BYTES];
    _Atomic(msec_t) answered_at; /* when the newest request that was answered had been sent; a start
                                    is no answer */
} state_t;

typedef struct state_entry {
    char *key;
    json_t *value;
    uint64_t revision;
} state_entry_t;

void state_init(state_t *state, const char *address);
/* entries: array of state_entry_t with a clear function. */
GArray *state_entries_new(void);

state_result_t state_get(state_t *state, http_client_t *client, const char *key, long timeout_ms,
                         state_entry_t *entry);
/* Reads everything under the prefix, page by page; *revision is of the first page, so that a follow
 * from it misses nothing. */
state_result_t state_list(state_t *state, http_client_t *client, const char *prefix,
                          GArray *entries, uint64_t *revision);

/* A transaction under construction. */
typedef struct txn {
    json_t *conditions;
    json_t *changes;
    bool faulty; /* a value could not be built: never sent */
} txn_t;
txn_t txn_new(void);
void txn_free(txn_t *txn);
void txn_if(txn_t *txn, const char *key, uint64_t revision);
void txn_set(txn_t *txn, const char *key, json_t *value, uint64_t lease); /* consumes value */
void txn_delete(txn_t *txn, const char *key);
/* failed (may be NULL): array of keys to append to. */
state_result_t state_commit(state_t *state, http_client_t *client, const txn_t *txn,
                            long timeout_ms, uint64_t *revision, GPtrArray *failed);

state_result_t state_lease_create(state_t *state, http_client_t *client, guint life_ms,
                                  uint64_t *lease);
state_result_t state_lease_extend(state_t *state, http_client_t *client, uint64_t lease);

/* changes: array of state_entry_t; value NULL: deleted. *revision: from, then up to. */
state_result_t state_follow(state_t *state, http_client_t *client, const char *prefix,
                            guint block_ms, uint64_t *revision, GArray *changes);

#endif
