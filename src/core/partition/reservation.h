/** @file
 * Reservations: resources reserved on one machine for starts that its heartbeats do not show yet.
 *
 * Reservations are part of projected least-loaded placement. A reservation is made when an attempt
 * is placed, is confirmed when the resources of the listed attempts grow, and expires after a time
 * to live (the setting reservation_lapse). When a reservation ends, its resources count as free
 * again. The task does not become available for another attempt then: this requires proof that the
 * attempt is over (see partition.h).
 *
 * A list is a GArray of reservation_t in the order in which the reservations were made. It belongs
 * to the machine. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_RESERVATION_H
#define PEPPERPULLEY_RESERVATION_H

#include "core/types.h"

/** The reservation of one attempt. */
typedef struct reservation {
    uint64_t reservation_id; /**< Id, which the partition assigned to the attempt. */
    uint64_t accepted_count; /**< Number of heartbeats accepted from the machine before the
                                reservation was made. */
    msec_t made_at;          /**< When it was made. */
    bool is_start_listed; /**< Whether a later heartbeat listed the task as fetching its image. */
    double cpus;          /**< Cpus not confirmed yet. */
    double gpus;          /**< Gpus not confirmed yet. */
    double memory;        /**< Memory not confirmed yet, in GB. */
} reservation_t;

/** Appends a reservation of @p need to @p list. @p accepted_count is the number of heartbeats
 * accepted from the machine until @p now, when the reservation is made. */
void reservation_add(GArray *list, uint64_t reservation_id, resources_t need,
                     uint64_t accepted_count, msec_t now);
/** Removes the reservation from @p list. Does nothing if the list does not contain it. */
void reservation_remove(GArray *list, uint64_t reservation_id);
/** Records that the heartbeat with number @p accepted_count lists the task as fetching its image. A
 * reservation that was made after that heartbeat is not changed. */
void reservation_record_start(GArray *list, uint64_t reservation_id, uint64_t accepted_count);
/** Confirms reservations, oldest first. @p growth is the growth of the listed resources that the
 * heartbeat with number @p accepted_count shows. It is subtracted, separately in each dimension,
 * from the reservations that were made before that heartbeat and whose start was listed. A
 * reservation with nothing left unconfirmed is removed. Any remaining growth is discarded. */
void reservation_confirm(GArray *list, resources_t growth, uint64_t accepted_count);
/** Removes the reservations whose age is @p reservation_ttl_ms or more. Returns their number. */
guint reservation_expire(GArray *list, msec_t now, msec_t reservation_ttl_ms);
/** Returns the sum of the unconfirmed resources of all reservations. */
resources_t reservation_sum(const GArray *list);

#endif
