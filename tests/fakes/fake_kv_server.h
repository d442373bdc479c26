/* A fake of the key-value store on loopback sockets, for tests that run whole controllers. It has a
 * port for each controller, so that it can refuse one controller and serve the others. Never freed,
 * because its threads do not end. */
#ifndef PEPPERPULLEY_FAKE_KV_SERVER_H
#define PEPPERPULLEY_FAKE_KV_SERVER_H

#include <pthread.h>

#include "fake_kv_store.h"

enum { FAKE_KV_SERVER_PORTS = 3 };

typedef struct fake_kv_server {
    pthread_mutex_t lock;   /* guards all fields below except the ports */
    pthread_cond_t changed; /* signalled when keys change and when a stall ends */
    fake_kv_store_t *store;
    GArray *changes; /* of fake_kv_change_t, in the order of their revisions */
    uint16_t ports[FAKE_KV_SERVER_PORTS];
    bool is_refused[FAKE_KV_SERVER_PORTS]; /* whether every request to the port gets 503 */
    char *unanswered_key;    /* the next transaction that changes this key is executed, but its
                                connection is closed without an answer; owned, may be NULL */
    guint unanswered_period; /* of this many executed transactions, the connection of one is closed
                                without an answer; 0 if all are answered */
    guint executed_count;    /* transactions executed while unanswered_period was set */
    bool is_stalled;         /* requests on behalf of users wait until this is false */
    guint user_requests;     /* number of requests on behalf of users so far */
    bool are_changes_suppressed; /* watches return no changes */
    uint64_t lease_count;        /* leases granted so far */
} fake_kv_server_t;

fake_kv_server_t *fake_kv_server_new(void);
/* Executes a transaction as if another controller had sent it, and frees it. */
kv_result_t fake_kv_server_apply(fake_kv_server_t *server, kv_txn_t txn);
/* Returns the revision of the key, or 0 if the key does not exist. */
uint64_t fake_kv_server_revision(fake_kv_server_t *server, const char *key);
/* Sets whether every request to the port with this index is refused. */
void fake_kv_server_refuse(fake_kv_server_t *server, guint port, bool is_refused);
/* Executes the next transaction that changes the key, but does not answer it. */
void fake_kv_server_lose_answer_for_key(fake_kv_server_t *server, const char *key);
/* Leaves one in period executed transactions without an answer, or none if period is 0. */
void fake_kv_server_lose_answers(fake_kv_server_t *server, guint period);
/* Starts or ends a stall, in which requests on behalf of users get no answer. */
void fake_kv_server_stall_user_requests(fake_kv_server_t *server, bool is_stalled);
/* Returns the number of requests on behalf of users so far. */
guint fake_kv_server_user_requests(fake_kv_server_t *server);
/* Makes all watches return no changes from now on. */
void fake_kv_server_suppress_changes(fake_kv_server_t *server);

#endif
