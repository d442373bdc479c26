/* The key-value store over loopback sockets, for tests that run whole controllers. It listens on a
 * port for each controller, so that one can be refused while the others are served. Never freed:
 * its threads do not end. */
#ifndef PEPPERPULLEY_FAKE_KV_SERVER_H
#define PEPPERPULLEY_FAKE_KV_SERVER_H

#include <pthread.h>

#include "fake_kv_store.h"

enum { FAKE_KV_SERVER_PORTS = 3 };

typedef struct fake_kv_server {
    pthread_mutex_t lock;   /* guards all that follows but the ports */
    pthread_cond_t changed; /* signalled when keys change, or a stall ends */
    fake_kv_store_t *store;
    GArray *changes; /* fake_kv_change_t, in the order of their revisions */
    uint16_t ports[FAKE_KV_SERVER_PORTS];
    bool is_refused[FAKE_KV_SERVER_PORTS]; /* every request to the port gets 503 */
    char *unanswered_key;    /* the next transaction that changes this key is executed, and its
                                connection closed without an answer; NULL: none; owned */
    guint unanswered_period; /* of so many executed transactions, one's connection is closed without
                                an answer; 0: none */
    guint executed_count;    /* transactions executed while there was such a period */
    bool is_stalled;         /* requests for users get no answer until that ends */
    guint user_requests;     /* requests for users so far */
    bool is_watch_silent;    /* watches return no changes */
    uint64_t lease_count;
} fake_kv_server_t;

fake_kv_server_t *fake_kv_server_new(void);
/* Executes a transaction, as another controller would; frees it. */
kv_result_t fake_kv_server_apply(fake_kv_server_t *server, kv_txn_t txn);
/* The key's revision; 0: there is no such key. */
uint64_t fake_kv_server_revision(fake_kv_server_t *server, const char *key);
/* Refuses every request to the port with that index, or no longer does. */
void fake_kv_server_refuse(fake_kv_server_t *server, guint port, bool is_refused);
/* Executes the next transaction that changes the key without answering it. */
void fake_kv_server_lose_answer_for_key(fake_kv_server_t *server, const char *key);
/* Leaves one of so many executed transactions without an answer. */
void fake_kv_server_lose_answers(fake_kv_server_t *server, guint period);
/* Leaves requests for users without an answer until the stall ends. */
void fake_kv_server_stall(fake_kv_server_t *server, bool is_stalled);
/* The requests for users so far. */
guint fake_kv_server_user_requests(fake_kv_server_t *server);
/* From now on no watch returns a change. */
void fake_kv_server_silence_watches(fake_kv_server_t *server);

#endif
