/* What scale-out requests depend on: machines that boot, refusals, zones that can't be reached. */
#include "core/autoscaler/autoscaler_internal.h"

#include <string.h>

autoscaler_t *autoscaler_new(void)
{
    autoscaler_t *autoscaler = g_new0(autoscaler_t, 1);
    autoscaler->booting_instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    autoscaler->refused_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    autoscaler->unreachable_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    autoscaler->recovered_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return autoscaler;
}

void autoscaler_free(autoscaler_t *autoscaler)
{
    g_hash_table_unref(autoscaler->booting_instances);
    g_hash_table_unref(autoscaler->refused_until);
    g_hash_table_unref(autoscaler->unreachable_zones);
    g_hash_table_unref(autoscaler->recovered_zones);
    g_free(autoscaler);
}

void autoscaler_add_booting(autoscaler_t *autoscaler, const char *machine, const char *type,
                            const char *zone, bool spot, msec_t since)
{
    if (g_hash_table_contains(autoscaler->booting_instances, machine))
        return;
    booting_instance_t *booting = g_new0(booting_instance_t, 1);
    g_strlcpy(booting->machine, machine, sizeof booting->machine);
    g_strlcpy(booting->type, type, sizeof booting->type);
    g_strlcpy(booting->zone, zone, sizeof booting->zone);
    booting->spot = spot;
    booting->requested_at = since;
    g_hash_table_insert(autoscaler->booting_instances, booting->machine, booting);
}

void autoscaler_begin_leadership(autoscaler_t *autoscaler)
{
    g_hash_table_remove_all(autoscaler->booting_instances);
    autoscaler->surplus_since = 0;
}

void autoscaler_remove_booting(autoscaler_t *autoscaler, const char *machine)
{
    g_hash_table_remove(autoscaler->booting_instances, machine);
}

static char *refusal_key(const char *type, const char *zone, bool spot)
{
    return g_strdup_printf("%s %s %s", type, zone, spot ? "spot" : "ordinary");
}

void autoscaler_record_refusal(autoscaler_t *autoscaler, const scale_out_request_t *request,
                               msec_t until)
{
    msec_t *value = g_new(msec_t, 1);
    *value = until;
    g_hash_table_insert(autoscaler->refused_until,
                        refusal_key(request->type, request->zone, request->spot), value);
}

bool autoscaler_is_refused(const autoscaler_t *autoscaler, const char *type, const char *zone,
                           bool spot, msec_t now)
{
    char *key = refusal_key(type, zone, spot);
    const msec_t *until = g_hash_table_lookup(autoscaler->refused_until, key);
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

GPtrArray *autoscaler_update_zones(autoscaler_t *autoscaler, const leader_t *leader,
                                   msec_t silent_ms, msec_t now)
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
            if (g_hash_table_remove(autoscaler->unreachable_zones, zone))
                g_hash_table_insert(autoscaler->recovered_zones, g_strdup(zone),
                                    g_memdup2(&now, sizeof now));
        } else if (sum->silent >= LOST_MACHINES_MIN_COUNT) {
            msec_t until = now + UNREACHABLE_ZONE_MS;
            if (!autoscaler_is_zone_unreachable(autoscaler, zone, now))
                g_ptr_array_add(fallen, g_strdup(zone));
            g_hash_table_insert(autoscaler->unreachable_zones, g_strdup(zone),
                                g_memdup2(&until, sizeof until));
        }
    }
    g_hash_table_unref(zones);
    return fallen;
}

bool autoscaler_is_zone_unreachable(const autoscaler_t *autoscaler, const char *zone, msec_t now)
{
    const msec_t *until = g_hash_table_lookup(autoscaler->unreachable_zones, zone);
    return until && now < *until;
}

bool autoscaler_awaits_zone(const autoscaler_t *autoscaler, const char *zone, msec_t silent_ms,
                            msec_t patience, msec_t now)
{
    const msec_t *recovered_zones = g_hash_table_lookup(autoscaler->recovered_zones, zone);
    return silent_ms <= UNREACHABLE_WAIT_MS + patience &&
           ((autoscaler_is_zone_unreachable(autoscaler, zone, now) &&
             silent_ms <= UNREACHABLE_WAIT_MS) ||
            (recovered_zones && now - *recovered_zones <= patience));
}

const machine_type_t *autoscaler_find_machine_type(const GArray *machine_types, const char *name)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        if (strcmp(machine_type->name, name) == 0)
            return machine_type;
    }
    return NULL;
}

GPtrArray *autoscaler_stuck_instances(const autoscaler_t *autoscaler, const GArray *machine_types,
                                      msec_t now)
{
    GPtrArray *stuck = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const booting_instance_t *booting = value;
        const machine_type_t *machine_type =
            autoscaler_find_machine_type(machine_types, booting->type);
        msec_t usual = machine_type ? (msec_t)(machine_type->boot_s * MS_PER_S) : 0;
        if (now - booting->requested_at > BOOT_TIMEOUT_MS + 3 * usual)
            g_ptr_array_add(stuck, g_strdup(booting->machine));
    }
    return stuck;
}
