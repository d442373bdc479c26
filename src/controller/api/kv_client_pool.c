/* A pool of connections to the key-value store. */
#include "controller/api/kv_client_pool.h"

#include "controller/controller.h"
#include "io/clock.h"

http_client_t *kv_client_pool_acquire(controller_t *controller, msec_t deadline)
{
    kv_client_pool_t *pool = &controller->kv_clients;
    http_client_t *client = NULL;
    msec_t now = clock_steady();
    pthread_mutex_lock(&controller->lock);
    while (pool->free_count == 0 && now < deadline) {
        controller_wait(controller, &pool->available, deadline - now);
        now = clock_steady();
    }
    if (pool->free_count > 0)
        client = pool->clients[--pool->free_count];
    pthread_mutex_unlock(&controller->lock);
    return client;
}

void kv_client_pool_release(controller_t *controller, http_client_t *client)
{
    kv_client_pool_t *pool = &controller->kv_clients;
    pthread_mutex_lock(&controller->lock);
    pool->clients[pool->free_count++] = client;
    pthread_cond_signal(&pool->available);
    pthread_mutex_unlock(&controller->lock);
}
