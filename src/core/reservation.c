#include "core/reservation.h"

void reservation_add(GArray *list, uint64_t hold, room_t need, uint64_t receipt, msec_t now)
{
    reservation_t entry = {.hold = hold,
                           .receipt = receipt,
                           .made = now,
                           .cpus = need.cpus,
                           .gpus = need.gpus,
                           .memory = need.memory};
    g_array_append_val(list, entry);
}

static reservation_t *find(GArray *list, uint64_t hold, guint *at)
{
    for (guint i = 0; i < list->len; i++) {
        reservation_t *entry = &g_array_index(list, reservation_t, i);
        if (entry->hold == hold) {
            *at = i;
            return entry;
        }
    }
    return NULL;
}

void reservation_free(GArray *list, uint64_t hold)
{
    guint at;
    if (find(list, hold, &at))
        g_array_remove_index(list, at);
}

void reservation_see_start(GArray *list, uint64_t hold, uint64_t receipt)
{
    guint at;
    reservation_t *entry = find(list, hold, &at);
    if (entry && entry->receipt < receipt)
        entry->start_seen = true;
}

static void take(double *left, double *growth)
{
    double part = MIN(*left, *growth);
    *left -= part;
    *growth -= part;
}

void reservation_confirm(GArray *list, room_t growth, uint64_t receipt)
{
    for (guint i = 0; i < list->len;) {
        reservation_t *entry = &g_array_index(list, reservation_t, i);
        if (entry->receipt < receipt && entry->start_seen) {
            take(&entry->cpus, &growth.cpus);
            take(&entry->gpus, &growth.gpus);
            take(&entry->memory, &growth.memory);
            if (entry->cpus + entry->gpus + entry->memory < EPSILON) {
                g_array_remove_index(list, i);
                continue;
            }
        }
        i++;
    }
}

guint reservation_lapse(GArray *list, msec_t now, msec_t lapse)
{
    guint ended = 0;
    for (guint i = list->len; i-- > 0;) {
        if (now - g_array_index(list, reservation_t, i).made >= lapse) {
            g_array_remove_index(list, i);
            ended++;
        }
    }
    return ended;
}

room_t reservation_sum(const GArray *list)
{
    room_t sum = {0};
    for (guint i = 0; i < list->len; i++) {
        const reservation_t *entry = &g_array_index(list, reservation_t, i);
        sum.cpus += entry->cpus;
        sum.gpus += entry->gpus;
        sum.memory += entry->memory;
    }
    return sum;
}
