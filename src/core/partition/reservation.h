/* Reservations: resources reserved on one machine for starts that its heartbeats do not show yet.
 *
 * The list belongs to the machine that embeds it. A reservation frees projected resources when it
 * ends; it never frees the task itself: only proof does that (see partition.h). */
#ifndef PEPPERPULLEY_RESERVATION_H
#define PEPPERPULLEY_RESERVATION_H

#include "core/types.h"

typedef struct reservation {
    uint64_t reservation_id; /* the partition's own number for the attempt */
    uint64_t receipt;        /* the newest heartbeat of the machine when the reservation was made */
    msec_t made_at;
    bool start_seen; /* a heartbeat listed the task as fetching */
    double cpus;     /* still unconfirmed, per dimension */
    double gpus;
    double memory;
} reservation_t;

/* list: array of reservation_t. */
void reservation_add(GArray *list, uint64_t reservation_id, resources_t need, uint64_t receipt,
                     msec_t now);
void reservation_free(GArray *list, uint64_t reservation_id);
void reservation_record_start(GArray *list, uint64_t reservation_id, uint64_t receipt);
/* Growth of booked resources, as a heartbeat newer than `receipt` shows it, confirms older
 * reservations whose start was seen, each dimension by itself. What matches nothing is dropped. */
void reservation_confirm(GArray *list, resources_t growth, uint64_t receipt);
/* Ends what is older than lapse; returns how many ended. */
guint reservation_expire(GArray *list, msec_t now, msec_t reservation_ttl);
resources_t reservation_sum(const GArray *list);

#endif
