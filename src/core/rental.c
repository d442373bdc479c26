/* What rentals depend on: machines that boot, refusals, zones that can't be reached. */
#include "core/rental_internal.h"

#include <string.h>

rental_t *rental_new(void)
{
    rental_t *rental = g_new0(rental_t, 1);
    rental->boots = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    rental->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rental->unreachable_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rental->recovered_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rental;
}

void rental_free(rental_t *rental)
{
    g_hash_table_unref(rental->boots);
    g_hash_table_unref(rental->refused);
    g_hash_table_unref(rental->unreachable_zones);
    g_hash_table_unref(rental->recovered_zones);
    g_free(rental);
}

void rental_booting(rental_t *rental, const char *machine, const char *type, const char *zone,
                    bool spot, msec_t since)
{
    if (g_hash_table_contains(rental->boots, machine))
        return;
    boot_t *boot = g_new0(boot_t, 1);
    g_strlcpy(boot->machine, machine, sizeof boot->machine);
    g_strlcpy(boot->type, type, sizeof boot->type);
    g_strlcpy(boot->zone, zone, sizeof boot->zone);
    boot->spot = spot;
    boot->since = since;
    g_hash_table_insert(rental->boots, boot->machine, boot);
}

void rental_begin(rental_t *rental)
{
    g_hash_table_remove_all(rental->boots);
    rental->surplus_since = 0;
}

void rental_boot_over(rental_t *rental, const char *machine)
{
    g_hash_table_remove(rental->boots, machine);
}

static char *wish_key(const char *type, const char *zone, bool spot)
{
    return g_strdup_printf("%s %s %s", type, zone, spot ? "spot" : "ordinary");
}

void rental_refused(rental_t *rental, const rental_wish_t *wish, msec_t until)
{
    msec_t *value = g_new(msec_t, 1);
    *value = until;
    g_hash_table_insert(rental->refused, wish_key(wish->type, wish->zone, wish->spot), value);
}

bool rental_is_refused(const rental_t *rental, const char *type, const char *zone, bool spot,
                       msec_t now)
{
    char *key = wish_key(type, zone, spot);
    const msec_t *until = g_hash_table_lookup(rental->refused, key);
    g_free(key);
    return until && now < *until;
}

/* What the machine summaries say of a zone. */
typedef struct zone_sum {
    guint open;
    guint silent;
} zone_sum_t;

static GHashTable *sum_zones(const leader_t *leader, msec_t silent_ms)
{
    GHashTable *zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            zone_sum_t *sum = g_hash_table_lookup(zones, summary->zone);
            if (!sum) {
                sum = g_new0(zone_sum_t, 1);
                g_hash_table_insert(zones, (gpointer)summary->zone, sum);
            }
            sum->open += summary->open;
            sum->silent += summary->silent_ms > silent_ms;
        }
    }
    return zones;
}

GPtrArray *rental_watch_zones(rental_t *rental, const leader_t *leader, msec_t silent_ms,
                              msec_t now)
{
    GPtrArray *fallen = g_ptr_array_new_with_free_func(g_free);
    GHashTable *zones = sum_zones(leader, silent_ms);
    GHashTableIter iter;
    gpointer zone;
    gpointer value;
    g_hash_table_iter_init(&iter, zones);
    while (g_hash_table_iter_next(&iter, &zone, &value)) {
        const zone_sum_t *sum = value;
        if (sum->open > 0) {
            if (g_hash_table_remove(rental->unreachable_zones, zone))
                g_hash_table_insert(rental->recovered_zones, g_strdup(zone),
                                    g_memdup2(&now, sizeof now));
        } else if (sum->silent >= LOST_MACHINES_MIN_COUNT) {
            msec_t until = now + UNREACHABLE_ZONE_MS;
            if (!rental_is_zone_unreachable(rental, zone, now))
                g_ptr_array_add(fallen, g_strdup(zone));
            g_hash_table_insert(rental->unreachable_zones, g_strdup(zone),
                                g_memdup2(&until, sizeof until));
        }
    }
    g_hash_table_unref(zones);
    return fallen;
}

bool rental_is_zone_unreachable(const rental_t *rental, const char *zone, msec_t now)
{
    const msec_t *until = g_hash_table_lookup(rental->unreachable_zones, zone);
    return until && now < *until;
}

bool rental_waits(const rental_t *rental, const char *zone, msec_t silent_ms, msec_t patience,
                  msec_t now)
{
    const msec_t *recovered_zones = g_hash_table_lookup(rental->recovered_zones, zone);
    return silent_ms <= UNREACHABLE_WAIT_MS + patience &&
           ((rental_is_zone_unreachable(rental, zone, now) && silent_ms <= UNREACHABLE_WAIT_MS) ||
            (recovered_zones && now - *recovered_zones <= patience));
}

const machine_type_t *rental_machine_type(const GArray *machine_types, const char *name)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        if (strcmp(machine_type->name, name) == 0)
            return machine_type;
    }
    return NULL;
}

GPtrArray *rental_stuck(const rental_t *rental, const GArray *machine_types, msec_t now)
{
    GPtrArray *stuck = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rental->boots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const boot_t *boot = value;
        const machine_type_t *machine_type = rental_machine_type(machine_types, boot->type);
        msec_t usual = machine_type ? (msec_t)(machine_type->boot_s * MS_PER_S) : 0;
        if (now - boot->since > BOOT_PATIENCE_MS + 3 * usual)
            g_ptr_array_add(stuck, g_strdup(boot->machine));
    }
    return stuck;
}
