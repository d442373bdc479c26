/* The autoscaler's record of booting instances and of refused scale-out requests. The record of
 * unreachable zones is in zone_reachability.c. */
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

void autoscaler_begin_leadership(autoscaler_t *autoscaler)
{
    g_hash_table_remove_all(autoscaler->booting_instances);
    autoscaler->surplus_since = 0;
}

void autoscaler_reset_scale_in_delay(autoscaler_t *autoscaler)
{
    autoscaler->surplus_since = 0;
}

void autoscaler_add_booting(autoscaler_t *autoscaler, const char *machine, const char *type,
                            const char *zone, bool spot, msec_t requested_at)
{
    if (g_hash_table_contains(autoscaler->booting_instances, machine))
        return;
    booting_instance_t *booting = g_new0(booting_instance_t, 1);
    g_strlcpy(booting->machine, machine, sizeof booting->machine);
    g_strlcpy(booting->type, type, sizeof booting->type);
    g_strlcpy(booting->zone, zone, sizeof booting->zone);
    booting->is_spot = spot;
    booting->requested_at = requested_at;
    g_hash_table_insert(autoscaler->booting_instances, booting->machine, booting);
}

void autoscaler_remove_booting(autoscaler_t *autoscaler, const char *machine)
{
    g_hash_table_remove(autoscaler->booting_instances, machine);
}

void autoscaler_prune_booting(autoscaler_t *autoscaler, GHashTable *known_machines,
                              GHashTable *listed_machines, msec_t listing_lag_ms, msec_t now)
{
    GHashTableIter iter;
    gpointer machine;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, &machine, &value)) {
        const booting_instance_t *booting = value;
        bool is_known = g_hash_table_contains(known_machines, machine);
        bool should_be_listed = now - booting->requested_at > listing_lag_ms;
        if (is_known || (should_be_listed && !g_hash_table_contains(listed_machines, machine)))
            g_hash_table_iter_remove(&iter);
    }
}

guint autoscaler_booting_count(const autoscaler_t *autoscaler)
{
    return g_hash_table_size(autoscaler->booting_instances);
}

GPtrArray *autoscaler_stuck_instances(const autoscaler_t *autoscaler, const GArray *machine_types,
                                      msec_t now)
{
    GPtrArray *stuck = g_ptr_array_new_with_free_func(g_free); /* machine ids, owned */
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const booting_instance_t *booting = value;
        const machine_type_t *machine_type =
            autoscaler_find_machine_type(machine_types, booting->type);
        msec_t usual_boot_ms = machine_type ? (msec_t)(machine_type->boot_s * MS_PER_S) : 0;
        if (now - booting->requested_at > BOOT_TIMEOUT_MS + 3 * usual_boot_ms)
            g_ptr_array_add(stuck, g_strdup(booting->machine));
    }
    return stuck;
}

/* Returns whether the instance, which is of this type, has been booting for longer than usual. It
 * may never come up, so it does not count as capacity any more. */
static bool is_boot_overdue(const booting_instance_t *booting, const machine_type_t *machine_type,
                            msec_t now)
{
    double usual_boot_ms = machine_type->boot_s * MS_PER_S;
    return (double)(now - booting->requested_at) > usual_boot_ms * BOOT_OVERDUE_FACTOR;
}

const machine_type_t *autoscaler_next_booting(GHashTableIter *iter, const GArray *machine_types,
                                              msec_t now, const booting_instance_t **booting)
{
    gpointer value;
    while (g_hash_table_iter_next(iter, NULL, &value)) {
        *booting = value;
        const machine_type_t *machine_type =
            autoscaler_find_machine_type(machine_types, (*booting)->type);
        if (machine_type && !is_boot_overdue(*booting, machine_type, now))
            return machine_type;
    }
    return NULL;
}

static char *refusal_key(const char *type, const char *zone, bool spot)
{
    return g_strdup_printf("%s %s %s", type, zone, spot ? "spot" : "on-demand");
}

void autoscaler_record_refusal(autoscaler_t *autoscaler, const scale_out_request_t *request,
                               msec_t until)
{
    g_hash_table_insert(autoscaler->refused_until,
                        refusal_key(request->type, request->zone, request->is_spot),
                        g_memdup2(&until, sizeof until));
}

bool autoscaler_is_refused(const autoscaler_t *autoscaler, const char *type, const char *zone,
                           bool spot, msec_t now)
{
    g_autofree char *key = refusal_key(type, zone, spot);
    const msec_t *until = g_hash_table_lookup(autoscaler->refused_until, key);
    return until && now < *until;
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

double autoscaler_price_per_cpu(const machine_type_t *machine_type, bool spot)
{
    return (spot ? machine_type->spot_price : machine_type->price) /
           MAX(machine_type->capacity.cpus, RESOURCE_EPSILON);
}
