/* The connections to the key-value store that users' requests share. Guarded by the controller's
 * lock. */
#ifndef PEPPERPULLEY_KV_CLIENT_POOL_H
#define PEPPERPULLEY_KV_CLIENT_POOL_H

#include <pthread.h>

#include "io/http_client.h"

typedef struct kv_client_pool {
    http_client_t *clients[API_KV_CLIENTS_COUNT]; /* those below free_count are free */
    guint free_count;
    pthread_cond_t available; /* signalled when a client is returned */
} kv_client_pool_t;

#endif
