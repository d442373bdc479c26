/** @file
 * Reservations: resources reserved on one machine for starts that its heartbeats do not show yet.
 *
 * Part of projected least-loaded placement: a reservation is made when an attempt is placed, is
 * confirmed by the growth of the listed attempts, and expires (the design's lapse) after a time to
 * live. Its end frees projected resources; it never frees the task itself, which only proof does
 * (see partition.h).
 *
 * A list is a GArray of reservation_t, in the order in which they were made, and belongs to the
 * machine. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_RESERVATION_H
#define PEPPERPULLEY_RESERVATION_H

#include "core/types.h"

/** The reservation of one attempt. */
typedef struct reservation {
    uint64_t reservation_id; /**< The partition's own number for the attempt. */
    uint64_t receipt_count;  /**< Heartbeats that had been accepted from the machine when the
                                reservation was made. */
    msec_t made_at;          /**< When it was made. */
    bool is_start_listed;    /**< A later heartbeat listed the task as fetching its image. */
    double cpus;             /**< Cpus still unconfirmed. */
    double gpus;             /**< Gpus still unconfirmed. */
    double memory;           /**< Memory still unconfirmed. */
} reservation_t;

/** Appends a reservation of @p need to @p list, made at @p now after @p receipt_count heartbeats.
 */
void reservation_add(GArray *list, uint64_t reservation_id, resources_t need,
                     uint64_t receipt_count, msec_t now);
/** Removes the reservation from @p list, if it is there. */
void reservation_remove(GArray *list, uint64_t reservation_id);
/** Records that heartbeat number @p receipt_count lists the task as fetching its image. A
 * reservation made after that heartbeat stays as it is. */
void reservation_record_start(GArray *list, uint64_t reservation_id, uint64_t receipt_count);
/** Confirms reservations, oldest first: @p growth, the growth of booked resources that heartbeat
 * number @p receipt_count shows, is taken off those made before it whose start was listed, each
 * dimension by itself. What is left of the growth is dropped; a reservation without anything
 * unconfirmed is removed. */
void reservation_confirm(GArray *list, resources_t growth, uint64_t receipt_count);
/** Removes reservations as old as @p reservation_ttl_ms or older; returns how many. */
guint reservation_expire(GArray *list, msec_t now, msec_t reservation_ttl_ms);
/** Returns the sum of what is still unconfirmed. */
resources_t reservation_sum(const GArray *list);

#endif
