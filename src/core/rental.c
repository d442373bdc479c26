#include "core/rental.h"

#include <math.h>
#include <string.h>

rental_t *rental_new(void)
{
    rental_t *rental = g_new0(rental_t, 1);
    rental->boots = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    rental->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rental->dark = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    rental->lit = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rental;
}

void rental_free(rental_t *rental)
{
    g_hash_table_unref(rental->boots);
    g_hash_table_unref(rental->refused);
    g_hash_table_unref(rental->dark);
    g_hash_table_unref(rental->lit);
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

/* What the rows say of a zone. */
typedef struct {
    guint open;
    guint silent;
} zone_sum_t;

static GHashTable *sum_zones(const leader_t *leader, msec_t silent_ms)
{
    GHashTable *zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < leader->rows->len; i++) {
        const GArray *rows = g_ptr_array_index(leader->rows, i);
        for (guint k = 0; rows && k < rows->len; k++) {
            const machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            zone_sum_t *sum = g_hash_table_lookup(zones, row->zone);
            if (!sum) {
                sum = g_new0(zone_sum_t, 1);
                g_hash_table_insert(zones, (gpointer)row->zone, sum);
            }
            sum->open += row->open;
            sum->silent += row->silent_ms > silent_ms;
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
    gpointer zone, value;
    g_hash_table_iter_init(&iter, zones);
    while (g_hash_table_iter_next(&iter, &zone, &value)) {
        const zone_sum_t *sum = value;
        if (sum->open > 0) {
            if (g_hash_table_remove(rental->dark, zone))
                g_hash_table_insert(rental->lit, g_strdup(zone), g_memdup2(&now, sizeof now));
        } else if (sum->silent >= LOST_LEAST) {
            msec_t until = now + DARK_ZONE_MS;
            if (!rental_is_dark(rental, zone, now))
                g_ptr_array_add(fallen, g_strdup(zone));
            g_hash_table_insert(rental->dark, g_strdup(zone), g_memdup2(&until, sizeof until));
        }
    }
    g_hash_table_unref(zones);
    return fallen;
}

bool rental_is_dark(const rental_t *rental, const char *zone, msec_t now)
{
    const msec_t *until = g_hash_table_lookup(rental->dark, zone);
    return until && now < *until;
}

bool rental_waits(const rental_t *rental, const char *zone, msec_t silent_ms, msec_t patience,
                  msec_t now)
{
    const msec_t *lit = g_hash_table_lookup(rental->lit, zone);
    return silent_ms <= DARK_HOLD_MS + patience &&
           ((rental_is_dark(rental, zone, now) && silent_ms <= DARK_HOLD_MS) ||
            (lit && now - *lit <= patience));
}

static const flavor_t *flavor_find(const GArray *flavors, const char *name)
{
    for (guint i = 0; i < flavors->len; i++) {
        const flavor_t *flavor = &g_array_index(flavors, flavor_t, i);
        if (strcmp(flavor->name, name) == 0)
            return flavor;
    }
    return NULL;
}

/* Seconds within which the waiting work of a job should be under way: the sooner it is due, the
 * more machines it deserves at once. */
static double patience(const leader_t *leader, const job_t *job, int64_t day_ms)
{
    double most = knob_for_job(leader->policy, KNOB_RENT_PATIENCE, &job->spec);
    if (job->spec.deadline_s <= 0)
        return most;
    double due = (double)(job->spec.submitted_ms - day_ms) / 1000.0 + job->spec.deadline_s -
                 job->spec.estimate_s;
    return CLAMP(due, MIN(most, RENT_PATIENCE_LEAST_S), most);
}

static room_t wanted_room(const leader_t *leader, msec_t now, int64_t day_ms)
{
    room_t wanted = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->live);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        room_add(&wanted, ((live_t *)value)->need, 1);
    GArray *demand = leader_demand(leader, now);
    for (guint i = 0; i < demand->len; i++) {
        const demand_t *entry = &g_array_index(demand, demand_t, i);
        const job_spec_t *spec = &entry->job->spec;
        /* Tasks that one machine's room can run one after the other in time need it once. */
        double rounds = MAX(1, patience(leader, entry->job, day_ms) / MAX(spec->estimate_s, 1));
        room_add(&wanted, spec->need, MAX(entry->tasks / rounds, MIN(entry->tasks, 1.0)));
    }
    g_array_unref(demand);
    return wanted;
}

/* What the teams ask for within their guarantees; *waiting: cpu seconds of all that waits. */
static double promised_cpus(const leader_t *leader, msec_t now, double *waiting)
{
    double *asked = g_new0(double, leader->teams->len + 1);
    double promised = 0;
    *waiting = 0;
    GArray *demand = leader_demand(leader, now);
    for (guint i = 0; i < demand->len; i++) {
        const demand_t *entry = &g_array_index(demand, demand_t, i);
        double cpus = entry->tasks * entry->job->spec.need.cpus;
        asked[entry->team] += cpus;
        *waiting += cpus * MAX(entry->job->spec.estimate_s, 1);
    }
    for (guint i = 0; i < leader->teams->len; i++) {
        const team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        promised += MIN(state->cpus + asked[i], state->team.cpus);
    }
    g_array_unref(demand);
    g_free(asked);
    return promised;
}

rental_balance_t rental_balance(const rental_t *rental, const leader_t *leader,
                                const GArray *flavors, msec_t now, int64_t day_ms)
{
    rental_balance_t balance = {.wanted = wanted_room(leader, now, day_ms)};
    balance.promised = promised_cpus(leader, now, &balance.waiting);
    for (guint i = 0; i < leader->rows->len; i++) {
        const GArray *rows = g_ptr_array_index(leader->rows, i);
        for (guint k = 0; rows && k < rows->len; k++) {
            const machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            if (!row->open)
                continue;
            room_add(&balance.standing, row->total, 1);
            balance.ordinary += row->spot ? 0 : row->total.cpus;
        }
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rental->boots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const boot_t *boot = value;
        const flavor_t *flavor = flavor_find(flavors, boot->type);
        if (!flavor)
            continue;
        room_add(&balance.booting, flavor->room, 1);
        balance.ordinary += boot->spot ? 0 : flavor->room.cpus;
    }
    return balance;
}

/* Cpus of ordinary machines, beyond those promised, that the waiting work justifies: as many as let
 * it begin within the patience, but a share only of what it needs or of what stands; where no spot
 * machine is to be had at all, work goes on in that share. */
static double extra_cpus(const leader_t *leader, const rental_balance_t *balance, double patience_s)
{
    double there = balance->standing.cpus + balance->booting.cpus;
    double extra = MAX(balance->ordinary - balance->promised, 0);
    double spot = MAX(there - extra, 0);
    double needed = balance->waiting / MAX(patience_s, 1);
    double most = knob_value(leader->policy, KNOB_ORDINARY_SHARE) * MAX(spot, needed);
    return CLAMP(needed - spot, 0, most);
}

static bool is_refused(const rental_t *rental, const char *type, const char *zone, bool spot,
                       msec_t now)
{
    char *key = wish_key(type, zone, spot);
    const msec_t *until = g_hash_table_lookup(rental->refused, key);
    g_free(key);
    return until && now < *until;
}

static guint count_of(const leader_t *leader, const rental_t *rental, const char *type,
                      const char *zone, bool spot)
{
    guint count = 0;
    for (guint i = 0; i < leader->rows->len; i++) {
        const GArray *rows = g_ptr_array_index(leader->rows, i);
        for (guint k = 0; rows && k < rows->len; k++) {
            const machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            count +=
                row->spot == spot && strcmp(row->type, type) == 0 && strcmp(row->zone, zone) == 0;
        }
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rental->boots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const boot_t *boot = value;
        count +=
            boot->spot == spot && strcmp(boot->type, type) == 0 && strcmp(boot->zone, zone) == 0;
    }
    return count;
}

/* Some waiting job can use such a machine. An ordinary one is for work that may not use spot,
 * within what is promised, or while the work that waits presses. */
static bool is_useful(const policy_t *policy, const GArray *demand, const flavor_t *flavor,
                      const char *zone, bool spot, bool promised, bool presses)
{
    for (guint i = 0; i < demand->len; i++) {
        const job_spec_t *spec = &g_array_index(demand, demand_t, i).job->spec;
        if (job_spec_allows(spec, flavor->name, zone, spot) &&
            room_fits(spec->need, flavor->room) &&
            (spot || promised || !spec->spot ||
             (presses && knob_for_job(policy, KNOB_RENT_ORDINARY, spec) != 0)))
            return true;
    }
    return false;
}

/* Machines of the type that cover what lacks. Larger ones are cheaper by the cpu and keep more
 * images, but one that is larger than all that is wanted would mostly stand idle. */
static guint units_of(const flavor_t *flavor, room_t lack, double wanted_cpus)
{
    double units = MAX(lack.cpus / MAX(flavor->room.cpus, EPSILON),
                       lack.memory / MAX(flavor->room.memory, EPSILON));
    if (flavor->room.cpus > wanted_cpus * RENT_LARGEST && units < 1)
        return 0;
    return (guint)CLAMP(ceil(units - RENT_ROUND), 1, (double)RENT_MAX);
}

bool rental_next(const rental_t *rental, const leader_t *leader, const GArray *flavors, msec_t now,
                 int64_t day_ms, rental_wish_t *wish)
{
    rental_balance_t balance = rental_balance(rental, leader, flavors, now, day_ms);
    room_t lack = {0};
    room_add(&lack, balance.wanted, knob_value(leader->policy, KNOB_RENT_HEADROOM));
    room_add(&lack, balance.standing, -1);
    room_add(&lack, balance.booting, -1);
    if (lack.cpus <= 0 && lack.memory <= 0)
        return false;
    double extra =
        extra_cpus(leader, &balance, knob_value(leader->policy, KNOB_ORDINARY_PATIENCE)) -
        MAX(balance.ordinary - balance.promised, 0);
    GArray *demand = leader_demand(leader, now);
    double best = INFINITY;
    for (int small = 0; small < 2 && isinf(best); small++) {
        for (guint i = 0; i < flavors->len; i++) {
            const flavor_t *flavor = &g_array_index(flavors, flavor_t, i);
            guint count = units_of(flavor, lack, small ? INFINITY : balance.wanted.cpus);
            for (char **zone = flavor->zones; count && *zone; zone++) {
                for (int spot = 0; spot < 2; spot++) {
                    bool promised = balance.ordinary + flavor->room.cpus <= balance.promised;
                    if (rental_is_dark(rental, *zone, now) ||
                        is_refused(rental, flavor->name, *zone, spot, now) ||
                        !is_useful(leader->policy, demand, flavor, *zone, spot, promised,
                                   extra >= flavor->room.cpus))
                        continue;
                    double price = (spot ? flavor->spot_price : flavor->price) /
                                   MAX(flavor->room.cpus, EPSILON);
                    /* Of equals the type and zone with the fewest, so that a wave or a cut takes
                     * less at once. */
                    double cost = price * (1 + RENT_SPREAD * count_of(leader, rental, flavor->name,
                                                                      *zone, spot));
                    if (cost >= best)
                        continue;
                    best = cost;
                    *wish = (rental_wish_t){.spot = spot, .count = count};
                    if (!spot && !promised)
                        wish->count =
                            (guint)CLAMP(extra / flavor->room.cpus, 1, (double)wish->count);
                    g_strlcpy(wish->type, flavor->name, sizeof wish->type);
                    g_strlcpy(wish->zone, *zone, sizeof wish->zone);
                }
            }
        }
    }
    g_array_unref(demand);
    return isfinite(best);
}

static double row_price(const machine_row_t *row, const GArray *flavors)
{
    const flavor_t *flavor = flavor_find(flavors, row->type);
    if (!flavor)
        return 0;
    return (row->spot ? flavor->spot_price : flavor->price) / MAX(flavor->room.cpus, EPSILON);
}

machine_row_t *rental_surplus(rental_t *rental, const leader_t *leader, const GArray *flavors,
                              msec_t now, int64_t day_ms)
{
    rental_balance_t balance = rental_balance(rental, leader, flavors, now, day_ms);
    double keep = knob_value(leader->policy, KNOB_RENT_KEEP);
    double extra = MAX(balance.ordinary - balance.promised, 0);
    bool eased =
        extra > extra_cpus(leader, &balance,
                           knob_value(leader->policy, KNOB_ORDINARY_PATIENCE) / ORDINARY_EASED);
    machine_row_t *worst = NULL;
    double worst_price = 0;
    for (guint i = 0; i < leader->rows->len; i++) {
        GArray *rows = g_ptr_array_index(leader->rows, i);
        for (guint k = 0; rows && k < rows->len; k++) {
            machine_row_t *row = &g_array_index(rows, machine_row_t, k);
            /* Those beyond what is promised go back once the work that waits is little. */
            bool spare = eased && !row->spot && extra >= row->total.cpus;
            if (!row->open ||
                (!spare &&
                 (balance.standing.cpus - row->total.cpus < balance.wanted.cpus * keep ||
                  balance.standing.memory - row->total.memory < balance.wanted.memory * keep)))
                continue;
            /* Dear ones first; of equals the emptiest, which is free soonest. */
            double price = row_price(row, flavors) *
                           (2 - (row->total.cpus - row->free.cpus) / MAX(row->total.cpus, EPSILON));
            if (!worst || price > worst_price) {
                worst = row;
                worst_price = price;
            }
        }
    }
    if (!worst)
        rental->surplus_since = 0;
    else if (rental->surplus_since == 0)
        rental->surplus_since = now;
    if (!worst)
        return NULL;
    double wait = knob_for_machine(leader->policy, KNOB_IDLE_KEEP, worst->type, worst->zone,
                                   worst->spot, worst->total);
    return (double)(now - rental->surplus_since) >= wait * 1000 ? worst : NULL;
}

GPtrArray *rental_stuck(const rental_t *rental, const GArray *flavors, msec_t now)
{
    GPtrArray *stuck = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rental->boots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const boot_t *boot = value;
        const flavor_t *flavor = flavor_find(flavors, boot->type);
        msec_t usual = flavor ? (msec_t)(flavor->boot_s * 1000) : 0;
        if (now - boot->since > BOOT_PATIENCE_MS + 3 * usual)
            g_ptr_array_add(stuck, g_strdup(boot->machine));
    }
    return stuck;
}
