/** @file
 * Bounded FIFO queue of requests that wait for a request worker.
 *
 * Each request has a deadline for its wait. When the deadline passes, the request expires: the
 * caller has to refuse it at that moment, even while all request workers are busy. The creator owns
 * the queue and guards it with its own lock; the requests are borrowed (transfer none).
 */
#ifndef PEPPERPULLEY_REQUEST_QUEUE_H
#define PEPPERPULLEY_REQUEST_QUEUE_H

#include "core/types.h"

/** The queue. Embedded by its creator; the fields are private. */
typedef struct request_queue {
    GQueue waiting;   /**< Entries in order of arrival, owned. */
    guint max_length; /**< Maximum number of waiting requests. */
} request_queue_t;

/** Initializes an empty queue for at most @p max_length requests. */
void request_queue_init(request_queue_t *queue, guint max_length);

/** Appends a request that may wait until @p wait_deadline_at. Returns false if the queue is full;
 * the caller then has to refuse the request at once. */
bool request_queue_push(request_queue_t *queue, void *request, msec_t wait_deadline_at);

/** Removes and returns the oldest request, or NULL if the queue is empty. */
void *request_queue_pop(request_queue_t *queue);

/** Removes and returns a request whose deadline has passed at @p now, or NULL if there is none. */
void *request_queue_pop_expired(request_queue_t *queue, msec_t now);

/** Returns the earliest deadline of the waiting requests, or G_MAXINT64 if the queue is empty. */
msec_t request_queue_earliest_deadline(const request_queue_t *queue);

#endif
