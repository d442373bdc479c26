/** @file
 * The queue of requests that may have to wait for the key-value store, and the threads that serve
 * it.
 *
 * The connection of a queued request is suspended until its reply is ready. A request that gets no
 * thread by its wait deadline is refused at that moment, even while all threads are busy: no client
 * is kept waiting for a reply that is certain already.
 */
#ifndef PEPPERPULLEY_REQUEST_POOL_H
#define PEPPERPULLEY_REQUEST_POOL_H

#include <pthread.h>
#include <stdatomic.h>

#include "controller/controller_type.h"
#include "core/request_queue.h"

struct request;

/** The pool. Has its own lock, which is never taken together with the controller's. */
typedef struct request_pool {
    pthread_mutex_t lock;         /**< Guards the fields up to idle_worker_count. */
    pthread_cond_t available;     /**< Signalled for each request that is queued. */
    pthread_cond_t workers_busy;  /**< Signalled when more requests wait than workers are idle. */
    request_queue_t queue;        /**< Of request_t, transfer none. */
    guint worker_count;           /**< Threads so far; they are started as they are needed. */
    guint idle_worker_count;      /**< Threads that wait for a request. */
    atomic_uint open_connections; /**< Of users and workers; needs no lock. */
} request_pool_t;

/** Starts the thread that refuses requests whose wait deadline has passed. */
void request_pool_start(controller_t *controller);

/** Queues the request, transfer none, and suspends its connection: from then on it belongs to the
 * pool, until the connection is resumed with the reply set. Starts a thread if all are busy.
 * Returns whether it was queued; if not, its reply is set and the caller still holds it. Called
 * without any lock, by the HTTP thread of the connection. */
bool request_pool_enqueue(struct request *request, const char *method, const char *path);

#endif
