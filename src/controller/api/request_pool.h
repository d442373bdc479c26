/* The pool of threads that answer users' requests which may have to wait.
 *
 * Guarded by its own lock, which is never taken together with the controller's. */
#ifndef PEPPERPULLEY_REQUEST_POOL_H
#define PEPPERPULLEY_REQUEST_POOL_H

#include <pthread.h>
#include <stdatomic.h>

#include "core/request_queue.h"

typedef struct request_pool {
    pthread_mutex_t lock;        /* guards the fields up to idle_worker_count */
    pthread_cond_t available;    /* signalled for each request that is queued */
    pthread_cond_t workers_busy; /* signalled when more requests wait than workers are idle */
    request_queue_t queue;       /* of request_t, borrowed */
    guint worker_count;          /* threads so far; they are started as they are needed */
    guint idle_worker_count;
    atomic_uint open_connections; /* of users and workers; needs no lock */
} request_pool_t;

#endif
