/** @file
 * Requests that wait for a request worker: a bounded queue, first come, first served.
 *
 * Each request has a deadline for its wait. When that has passed, the request is shed: it has to be
 * answered at that moment, even while all request workers are busy. The queue is owned and guarded
 * by its creator; the requests are borrowed (transfer none).
 */
#ifndef PEPPERPULLEY_REQUEST_QUEUE_H
#define PEPPERPULLEY_REQUEST_QUEUE_H

#include "core/types.h"

/** The queue. Embedded by its creator; the fields are private. */
typedef struct request_queue {
    GQueue waiting;   /**< Entries in order of arrival, owned. */
    guint max_length; /**< Most requests that may wait. */
} request_queue_t;

/** Makes an empty queue for at most @p max_length requests. */
void request_queue_init(request_queue_t *queue, guint max_length);

/** Appends a request that may wait until @p wait_deadline_at. Returns false if the queue is full:
 * the request is to be refused at once. */
bool request_queue_push(request_queue_t *queue, void *request, msec_t wait_deadline_at);

/** Removes and returns the oldest request; NULL: none waits. */
void *request_queue_pop(request_queue_t *queue);

/** Removes and returns a request whose deadline has passed at @p now; NULL: there is none. */
void *request_queue_pop_expired(request_queue_t *queue, msec_t now);

/** Returns the earliest deadline of the waiting requests; G_MAXINT64: none waits. */
msec_t request_queue_next(const request_queue_t *queue);

#endif
