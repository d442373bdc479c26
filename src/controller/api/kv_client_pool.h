/** @file
 * A pool of connections to the key-value store, shared by users' requests.
 */
#ifndef PEPPERPULLEY_KV_CLIENT_POOL_H
#define PEPPERPULLEY_KV_CLIENT_POOL_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "io/http_client.h"

/** The pool. Guarded by the controller's lock. */
typedef struct kv_client_pool {
    http_client_t *clients[API_KV_CLIENTS_COUNT]; /**< Owned. The first free_count entries are the
                                                     free clients; the others are not valid. */
    guint free_count;                             /**< Number of free clients. */
    pthread_cond_t available;                     /**< Signalled when a client is released. */
} kv_client_pool_t;

/** Acquires a client, waiting for a free one until @p deadline (steady clock, ms). Returns the
 * client (transfer none; kv_client_pool_release() must follow), or NULL if none became free. Called
 * without the lock. */
http_client_t *kv_client_pool_acquire(controller_t *controller, msec_t deadline);

/** Returns an acquired client to the pool. Called without the lock. */
void kv_client_pool_release(controller_t *controller, http_client_t *client);

#endif
