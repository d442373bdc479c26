/** @file
 * The connections to the key-value store that users' requests share.
 */
#ifndef PEPPERPULLEY_KV_CLIENT_POOL_H
#define PEPPERPULLEY_KV_CLIENT_POOL_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "io/http_client.h"

/** The pool. Guarded by the controller's lock. */
typedef struct kv_client_pool {
    http_client_t *clients[API_KV_CLIENTS_COUNT]; /**< Owned; those below free_count are free. */
    guint free_count;                             /**< How many are free. */
    pthread_cond_t available;                     /**< Signalled when a client is returned. */
} kv_client_pool_t;

/** Borrows a client, waiting for one until @p deadline. Returns transfer none, to be given back by
 * kv_client_pool_release(); NULL: none became free. Called without the lock. */
http_client_t *kv_client_pool_acquire(controller_t *controller, msec_t deadline);

/** Gives back a client that was acquired. Called without the lock. */
void kv_client_pool_release(controller_t *controller, http_client_t *client);

#endif
