#include "core/partition/reservation.h"

void reservation_add(GArray *list, uint64_t reservation_id, resources_t need,
                     uint64_t accepted_count, msec_t now)
{
    reservation_t reservation = {.reservation_id = reservation_id,
                                 .accepted_count = accepted_count,
                                 .made_at = now,
                                 .cpus = need.cpus,
                                 .gpus = need.gpus,
                                 .memory = need.memory};
    g_array_append_val(list, reservation);
}

/* Returns the reservation and sets *index to its index in the list. Returns NULL if the list does
 * not contain it. */
static reservation_t *find_reservation(GArray *list, uint64_t reservation_id, guint *index)
{
    for (guint i = 0; i < list->len; i++) {
        reservation_t *reservation = &g_array_index(list, reservation_t, i);
        if (reservation->reservation_id == reservation_id) {
            *index = i;
            return reservation;
        }
    }
    return NULL;
}

void reservation_remove(GArray *list, uint64_t reservation_id)
{
    guint index;
    if (find_reservation(list, reservation_id, &index))
        g_array_remove_index(list, index);
}

void reservation_record_start(GArray *list, uint64_t reservation_id, uint64_t accepted_count)
{
    guint index;
    reservation_t *reservation = find_reservation(list, reservation_id, &index);
    if (reservation && reservation->accepted_count < accepted_count)
        reservation->is_start_listed = true;
}

static void confirm_dimension(double *unconfirmed, double *growth)
{
    double confirmed = MIN(*unconfirmed, *growth);
    *unconfirmed -= confirmed;
    *growth -= confirmed;
}

/* Subtracts the confirmed amount from both the reservation and the growth. Returns true if nothing
 * of the reservation is left unconfirmed. */
static bool confirm_reservation(reservation_t *reservation, resources_t *growth)
{
    confirm_dimension(&reservation->cpus, &growth->cpus);
    confirm_dimension(&reservation->gpus, &growth->gpus);
    confirm_dimension(&reservation->memory, &growth->memory);
    return reservation->cpus + reservation->gpus + reservation->memory < RESOURCE_EPSILON;
}

void reservation_confirm(GArray *list, resources_t growth, uint64_t accepted_count)
{
    guint i = 0;
    while (i < list->len) {
        reservation_t *reservation = &g_array_index(list, reservation_t, i);
        bool may_confirm =
            reservation->accepted_count < accepted_count && reservation->is_start_listed;
        if (may_confirm && confirm_reservation(reservation, &growth))
            g_array_remove_index(list, i);
        else
            i++;
    }
}

guint reservation_expire(GArray *list, msec_t now, msec_t reservation_ttl_ms)
{
    guint expired = 0;
    for (guint i = list->len; i-- > 0;) {
        if (now - g_array_index(list, reservation_t, i).made_at >= reservation_ttl_ms) {
            g_array_remove_index(list, i);
            expired++;
        }
    }
    return expired;
}

resources_t reservation_sum(const GArray *list)
{
    resources_t sum = {0};
    for (guint i = 0; i < list->len; i++) {
        const reservation_t *reservation = &g_array_index(list, reservation_t, i);
        sum.cpus += reservation->cpus;
        sum.gpus += reservation->gpus;
        sum.memory += reservation->memory;
    }
    return sum;
}
