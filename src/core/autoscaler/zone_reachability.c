/* Determines which zones are unreachable from how long their machines have been silent. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/autoscaler/machine_summary_iter.h"

/* The number of machines of one zone in each state. */
typedef struct zone_machines {
    guint connected; /* accepting starts, or draining and not silent */
    guint silent;    /* for longer than the limit */
} zone_machines_t;

/* Returns a map from the zone's name, borrowed from the summaries, to zone_machines_t, owned. */
static GHashTable *count_machines_by_zone(const leader_t *leader, msec_t silent_ms)
{
    GHashTable *zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    machine_summary_iter_t iter = {.leader = leader};
    for (machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter)) {
        zone_machines_t *machines = g_hash_table_lookup(zones, summary->zone);
        if (!machines) {
            machines = g_new0(zone_machines_t, 1);
            g_hash_table_insert(zones, summary->zone, machines);
        }
        bool is_silent = summary->silent_ms > silent_ms;
        machines->connected += summary->accepts_starts || (summary->is_draining && !is_silent);
        machines->silent += is_silent;
    }
    return zones;
}

static void set_zone_time(GHashTable *times, const char *zone, msec_t time)
{
    g_hash_table_insert(times, g_strdup(zone), g_memdup2(&time, sizeof time));
}

/* Extends the time for which the zone counts as unreachable. Returns whether it was reachable
 * before. */
static bool mark_unreachable(autoscaler_t *autoscaler, const char *zone, msec_t now)
{
    bool was_reachable = !autoscaler_is_zone_unreachable(autoscaler, zone, now);
    unreachable_zone_t *state = g_hash_table_lookup(autoscaler->unreachable_zones, zone);
    if (!state) {
        state = g_new0(unreachable_zone_t, 1);
        g_hash_table_insert(autoscaler->unreachable_zones, g_strdup(zone), state);
    }
    if (was_reachable)
        state->since_at = now;
    state->until_at = now + UNREACHABLE_ZONE_MS;
    return was_reachable;
}

GPtrArray *autoscaler_update_zones(autoscaler_t *autoscaler, const leader_t *leader,
                                   msec_t silent_ms, msec_t now)
{
    GPtrArray *newly_unreachable = g_ptr_array_new_with_free_func(g_free); /* zones, owned */
    g_autoptr(GHashTable) zones = count_machines_by_zone(leader, silent_ms);
    GHashTableIter iter;
    gpointer zone;
    gpointer value;
    g_hash_table_iter_init(&iter, zones);
    while (g_hash_table_iter_next(&iter, &zone, &value)) {
        const zone_machines_t *machines = value;
        if (machines->connected > 0) {
            if (g_hash_table_remove(autoscaler->unreachable_zones, zone))
                set_zone_time(autoscaler->recovered_zones, zone, now);
        } else if (machines->silent >= SILENT_MACHINES_MIN_COUNT) {
            if (mark_unreachable(autoscaler, zone, now))
                g_ptr_array_add(newly_unreachable, g_strdup(zone));
        }
    }
    return newly_unreachable;
}

bool autoscaler_is_zone_unreachable(const autoscaler_t *autoscaler, const char *zone, msec_t now)
{
    const unreachable_zone_t *state = g_hash_table_lookup(autoscaler->unreachable_zones, zone);
    return state && now < state->until_at;
}

msec_t autoscaler_zone_unreachable_ms(const autoscaler_t *autoscaler, const char *zone, msec_t now)
{
    const unreachable_zone_t *state = g_hash_table_lookup(autoscaler->unreachable_zones, zone);
    return state ? now - state->since_at : 0;
}

bool autoscaler_keeps_silent_machine(const autoscaler_t *autoscaler, const char *zone,
                                     msec_t silent_ms, msec_t grace_ms, msec_t now)
{
    if (silent_ms > UNREACHABLE_ZONE_WAIT_MS + grace_ms)
        return false;
    if (silent_ms <= UNREACHABLE_ZONE_WAIT_MS &&
        autoscaler_is_zone_unreachable(autoscaler, zone, now))
        return true;
    const msec_t *recovered_at = g_hash_table_lookup(autoscaler->recovered_zones, zone);
    return recovered_at && now - *recovered_at <= grace_ms;
}
