/** @file
 * Iterates over the candidate machines of a placement request: those on which the request may
 * start, without regard to their free resources.
 *
 * Private to the partition. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_CANDIDATES_INTERNAL_H
#define PEPPERPULLEY_CANDIDATES_INTERNAL_H

#include "core/partition/partition_type.h"
#include "core/partition/placement_request.h"

/** An iteration over the candidates of one request, in the order of the machine table. */
typedef struct candidates {
    const partition_t *partition;       /**< The partition (transfer none). */
    const placement_request_t *request; /**< The request (transfer none). */
    msec_t now;                         /**< The current time of the steady clock. */
    GHashTableIter machines;            /**< The position in the machine table. */
} candidates_t;

/** Starts an iteration. No machine may be added to or removed from the partition until it ends. */
void candidates_init(candidates_t *candidates, const partition_t *partition,
                     const placement_request_t *request, msec_t now);
/** Returns the next candidate (transfer none), or NULL if there is none left. */
machine_t *candidates_next(candidates_t *candidates);
/** Returns whether the request's image has been in use on the machine, so that it probably need not
 * be fetched. */
bool candidates_has_image(const machine_t *machine, const placement_request_t *request);

#endif
