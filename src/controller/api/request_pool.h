/** @file
 * The queue of requests that may have to wait for the key-value store, and the threads that serve
 * it.
 *
 * The connection of a queued request is suspended until its reply is ready. A request that no
 * thread has taken by its wait deadline is refused at that moment, even while all threads are busy,
 * so that its client can retry at once.
 */
#ifndef PEPPERPULLEY_REQUEST_POOL_H
#define PEPPERPULLEY_REQUEST_POOL_H

#include <pthread.h>
#include <stdatomic.h>

#include "controller/controller_type.h"
#include "core/request_queue.h"

struct request;

/** The pool. It has its own lock, which is never held together with the controller's lock. */
typedef struct request_pool {
    pthread_mutex_t lock;     /**< Guards the fields from here to idle_worker_count. */
    pthread_cond_t available; /**< Signalled for each request that is queued. */
    pthread_cond_t
        all_workers_busy;         /**< Signalled when more requests wait than threads are idle. */
    request_queue_t queue;        /**< Of request_t, transfer none. */
    guint worker_count;           /**< Threads started so far; they are started on demand. */
    guint idle_worker_count;      /**< Threads that wait for a request. */
    atomic_uint open_connections; /**< Open connections of users and workers; needs no lock. */
} request_pool_t;

/** Starts the thread that refuses requests whose wait deadline has passed. */
void request_pool_start(controller_t *controller);

/** Queues the request (transfer none) and suspends its connection. The request then belongs to the
 * pool until the pool has set the reply and resumed the connection. Starts another thread if all
 * are busy, up to REQUEST_WORKERS_COUNT. Returns true if the request was queued. Otherwise it sets
 * a refusal as the reply, and the request still belongs to the caller. Called without any lock, by
 * the HTTP thread of the connection. */
bool request_pool_enqueue(struct request *request, const char *method, const char *path);

#endif
