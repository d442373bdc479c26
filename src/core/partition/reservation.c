#include "core/partition/reservation.h"

void reservation_add(GArray *list, uint64_t reservation_id, resources_t need, uint64_t receipt,
                     msec_t now)
{
    reservation_t entry = {.reservation_id = reservation_id,
                           .receipt = receipt,
                           .made_at = now,
                           .cpus = need.cpus,
                           .gpus = need.gpus,
                           .memory = need.memory};
    g_array_append_val(list, entry);
}

static reservation_t *find(GArray *list, uint64_t reservation_id, guint *at)
{
    for (guint i = 0; i < list->len; i++) {
        reservation_t *entry = &g_array_index(list, reservation_t, i);
        if (entry->reservation_id == reservation_id) {
            *at = i;
            return entry;
        }
    }
    return NULL;
}

void reservation_free(GArray *list, uint64_t reservation_id)
{
    guint at;
    if (find(list, reservation_id, &at))
        g_array_remove_index(list, at);
}

void reservation_record_start(GArray *list, uint64_t reservation_id, uint64_t receipt)
{
    guint at;
    reservation_t *entry = find(list, reservation_id, &at);
    if (entry && entry->receipt < receipt)
        entry->start_seen = true;
}

static void take(double *left, double *growth)
{
    double partition = MIN(*left, *growth);
    *left -= partition;
    *growth -= partition;
}

void reservation_confirm(GArray *list, resources_t growth, uint64_t receipt)
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

guint reservation_expire(GArray *list, msec_t now, msec_t reservation_ttl)
{
    guint ended = 0;
    for (guint i = list->len; i-- > 0;) {
        if (now - g_array_index(list, reservation_t, i).made_at >= reservation_ttl) {
            g_array_remove_index(list, i);
            ended++;
        }
    }
    return ended;
}

resources_t reservation_sum(const GArray *list)
{
    resources_t sum = {0};
    for (guint i = 0; i < list->len; i++) {
        const reservation_t *entry = &g_array_index(list, reservation_t, i);
        sum.cpus += entry->cpus;
        sum.gpus += entry->gpus;
        sum.memory += entry->memory;
    }
    return sum;
}
