/* Stand-ins for key-value store, cloud and workers over real loopback sockets, for tests that run
 * whole controllers. The key-value store listens on a port for each controller, so that one can be
 * refused while the others are served. Owns its store and threads; a process has one for
 * each test, and never ends it. */
#ifndef PEPPERPULLEY_FAKE_SERVICES_H
#define PEPPERPULLEY_FAKE_SERVICES_H

#include <pthread.h>

#include "fake_kv_store.h"
#include "worker.h"

enum { SERVICES_PORTS = 3 };

typedef struct services {
    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t changed;
    fake_kv_store_t *store;
    GArray *news; /* change_t, in order */
    uint16_t state_ports[SERVICES_PORTS];
    bool refused[SERVICES_PORTS]; /* every request there gets 503 */
    char *swallow;                /* the next transaction that changes this key is carried out, and
                                     its connection closed without an answer; owned */
    bool stalled;                 /* what is asked for users gets no answer until that ends */
    guint asked;                  /* requests for users, so far */
    guint lose_each;              /* of so many transactions that are carried out, one's connection
                                     is closed without an answer; 0: none */
    guint carried_out;
    bool mute;        /* who follows hears of no change any more */
    bool types_known; /* the cloud tells its machine types; else 503 */
    uint16_t cloud_port;
    uint64_t leases;
} services_t;

services_t *services_new(void);
/* Carries out a transaction, as another controller would; frees it. */
kv_result_t services_apply(services_t *services, kv_txn_t txn);
uint64_t services_revision(services_t *services, const char *key);
void services_refuse(services_t *services, guint port, bool refused);
void services_swallow(services_t *services, const char *key);
void services_stall(services_t *services, bool stalled);
guint services_asked(services_t *services);
void services_lose_answers(services_t *services, guint each);
void services_mute(services_t *services);
void services_publish_types(services_t *services);
/* A port that nobody listens on now. */
uint16_t services_free_port(void);

/* A worker: takes pushed commands on a port of its own, and reports when the test says so. Owns
 * its worker and thread; never ends. */
typedef struct fake_machine {
    pthread_mutex_t lock; /* guards the worker */
    fake_worker_t *worker;
    uint16_t port;
} fake_machine_t;

fake_machine_t *fake_machine_new(const char *id);
/* The body of its next heartbeat. */
json_t *fake_machine_heartbeat(fake_machine_t *machine);
/* Takes the answer to a heartbeat. */
void fake_machine_answer(fake_machine_t *machine, const json_t *answer);
guint fake_machine_active(fake_machine_t *machine);
/* All that runs there completes. */
void fake_machine_complete(fake_machine_t *machine);

#endif
