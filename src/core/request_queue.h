/* Requests that wait for a thread to serve them: a bounded queue, first come, first served. Each
 * has a time until which it waits; then it is given up and has to be answered at that moment, even
 * while all threads are busy. Owned by its creator, who guards it; the requests are borrowed. */
#ifndef PEPPERPULLEY_REQUEST_QUEUE_H
#define PEPPERPULLEY_REQUEST_QUEUE_H

#include "core/types.h"

typedef struct request_queue {
    GQueue waiting; /* waiting_t, owned */
    guint most;
} request_queue_t;

void request_queue_init(request_queue_t *queue, guint most);
/* False: the queue is full, and the request is to be refused at once. */
bool request_queue_push(request_queue_t *queue, void *request, msec_t until);
/* The oldest request; NULL: none. */
void *request_queue_pop(request_queue_t *queue);
/* A request that is to be given up now; NULL: none. */
void *request_queue_pop_expired(request_queue_t *queue, msec_t now);
/* When the next request is to be given up; G_MAXINT64: none waits. */
msec_t request_queue_next(const request_queue_t *queue);

#endif
