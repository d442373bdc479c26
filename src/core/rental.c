#include "core/rental.h"

#include <math.h>
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

/* What the machine summaries say of a zone. */
typedef struct {
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
    gpointer zone, value;
    g_hash_table_iter_init(&iter, zones);
    while (g_hash_table_iter_next(&iter, &zone, &value)) {
        const zone_sum_t *sum = value;
        if (sum->open > 0) {
            if (g_hash_table_remove(rental->unreachable_zones, zone))
                g_hash_table_insert(rental->recovered_zones, g_strdup(zone),
                                    g_memdup2(&now, sizeof now));
        } else if (sum->silent >= LOST_LEAST) {
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

static const machine_type_t *machine_type_find(const GArray *machine_types, const char *name)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        if (strcmp(machine_type->name, name) == 0)
            return machine_type;
    }
    return NULL;
}

/* Seconds within which the waiting work of a job should be under way: the sooner it is due, the
 * more machines it deserves at once. */
static double patience(const leader_t *leader, const job_t *job, int64_t day_ms)
{
    double most = tunable_for_job(leader->policy, TUNABLE_RENT_PATIENCE, &job->spec);
    if (job->spec.deadline_s <= 0)
        return most;
    double due = (double)(job->spec.submitted_ms - day_ms) / 1000.0 + job->spec.deadline_s -
                 job->spec.estimate_s;
    return CLAMP(due, MIN(most, RENT_PATIENCE_LEAST_S), most);
}

static resources_t wanted_resources(const leader_t *leader, msec_t now, int64_t day_ms)
{
    resources_t wanted = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->outstanding);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        resources_add(&wanted, ((outstanding_t *)value)->need, 1);
    GArray *demand = leader_demand(leader, now);
    for (guint i = 0; i < demand->len; i++) {
        const demand_t *entry = &g_array_index(demand, demand_t, i);
        const job_spec_t *spec = &entry->job->spec;
        /* Tasks that one machine's resources can run one after the other in time need it once. */
        double rounds = MAX(1, patience(leader, entry->job, day_ms) / MAX(spec->estimate_s, 1));
        resources_add(&wanted, spec->need, MAX(entry->tasks / rounds, MIN(entry->tasks, 1.0)));
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
                                const GArray *machine_types, msec_t now, int64_t day_ms)
{
    rental_balance_t balance = {.wanted = wanted_resources(leader, now, day_ms)};
    balance.promised = promised_cpus(leader, now, &balance.waiting);
    for (guint i = 0; i < leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (!summary->open)
                continue;
            resources_add(&balance.standing, summary->total, 1);
            balance.ordinary += summary->spot ? 0 : summary->total.cpus;
        }
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rental->boots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const boot_t *boot = value;
        const machine_type_t *machine_type = machine_type_find(machine_types, boot->type);
        if (!machine_type)
            continue;
        resources_add(&balance.booting, machine_type->capacity, 1);
        balance.ordinary += boot->spot ? 0 : machine_type->capacity.cpus;
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
    double most = tunable_value(leader->policy, TUNABLE_ORDINARY_SHARE) * MAX(spot, needed);
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
    for (guint i = 0; i < leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            count += summary->spot == spot && strcmp(summary->type, type) == 0 &&
                     strcmp(summary->zone, zone) == 0;
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
static bool is_useful(const policy_t *policy, const GArray *demand,
                      const machine_type_t *machine_type, const char *zone, bool spot,
                      bool promised, bool presses)
{
    for (guint i = 0; i < demand->len; i++) {
        const job_spec_t *spec = &g_array_index(demand, demand_t, i).job->spec;
        if (job_spec_allows(spec, machine_type->name, zone, spot) &&
            resources_fit(spec->need, machine_type->capacity) &&
            (spot || promised || !spec->spot ||
             (presses && tunable_for_job(policy, TUNABLE_RENT_ORDINARY, spec) != 0)))
            return true;
    }
    return false;
}

/* Machines of the type that cover what lacks. Larger ones are cheaper by the cpu and keep more
 * images, but one that is larger than all that is wanted would mostly stand idle. */
static guint units_of(const machine_type_t *machine_type, resources_t lack, double wanted_cpus)
{
    double units = MAX(lack.cpus / MAX(machine_type->capacity.cpus, EPSILON),
                       lack.memory / MAX(machine_type->capacity.memory, EPSILON));
    if (machine_type->capacity.cpus > wanted_cpus * RENT_LARGEST && units < 1)
        return 0;
    return (guint)CLAMP(ceil(units - RENT_ROUND), 1, (double)RENT_MAX);
}

bool rental_next(const rental_t *rental, const leader_t *leader, const GArray *machine_types,
                 msec_t now, int64_t day_ms, rental_wish_t *wish)
{
    rental_balance_t balance = rental_balance(rental, leader, machine_types, now, day_ms);
    resources_t lack = {0};
    resources_add(&lack, balance.wanted, tunable_value(leader->policy, TUNABLE_RENT_HEADROOM));
    resources_add(&lack, balance.standing, -1);
    resources_add(&lack, balance.booting, -1);
    if (lack.cpus <= 0 && lack.memory <= 0)
        return false;
    double extra =
        extra_cpus(leader, &balance, tunable_value(leader->policy, TUNABLE_ORDINARY_PATIENCE)) -
        MAX(balance.ordinary - balance.promised, 0);
    GArray *demand = leader_demand(leader, now);
    double best = INFINITY;
    for (int small = 0; small < 2 && isinf(best); small++) {
        for (guint i = 0; i < machine_types->len; i++) {
            const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
            guint count = units_of(machine_type, lack, small ? INFINITY : balance.wanted.cpus);
            for (char **zone = machine_type->zones; count && *zone; zone++) {
                for (int spot = 0; spot < 2; spot++) {
                    bool promised =
                        balance.ordinary + machine_type->capacity.cpus <= balance.promised;
                    if (rental_is_zone_unreachable(rental, *zone, now) ||
                        is_refused(rental, machine_type->name, *zone, spot, now) ||
                        !is_useful(leader->policy, demand, machine_type, *zone, spot, promised,
                                   extra >= machine_type->capacity.cpus))
                        continue;
                    double price = (spot ? machine_type->spot_price : machine_type->price) /
                                   MAX(machine_type->capacity.cpus, EPSILON);
                    /* Of equals the type and zone with the fewest, so that a wave or a cut takes
                     * less at once. */
                    double cost =
                        price * (1 + RENT_SPREAD *
                                         count_of(leader, rental, machine_type->name, *zone, spot));
                    if (cost >= best)
                        continue;
                    best = cost;
                    *wish = (rental_wish_t){.spot = spot, .count = count};
                    if (!spot && !promised)
                        wish->count = (guint)CLAMP(extra / machine_type->capacity.cpus, 1,
                                                   (double)wish->count);
                    g_strlcpy(wish->type, machine_type->name, sizeof wish->type);
                    g_strlcpy(wish->zone, *zone, sizeof wish->zone);
                }
            }
        }
    }
    g_array_unref(demand);
    return isfinite(best);
}

static double machine_price(const machine_summary_t *summary, const GArray *machine_types)
{
    const machine_type_t *machine_type = machine_type_find(machine_types, summary->type);
    if (!machine_type)
        return 0;
    return (summary->spot ? machine_type->spot_price : machine_type->price) /
           MAX(machine_type->capacity.cpus, EPSILON);
}

machine_summary_t *rental_surplus(rental_t *rental, const leader_t *leader,
                                  const GArray *machine_types, msec_t now, int64_t day_ms)
{
    rental_balance_t balance = rental_balance(rental, leader, machine_types, now, day_ms);
    double keep = tunable_value(leader->policy, TUNABLE_RENT_KEEP);
    double extra = MAX(balance.ordinary - balance.promised, 0);
    bool eased = extra > extra_cpus(leader, &balance,
                                    tunable_value(leader->policy, TUNABLE_ORDINARY_PATIENCE) /
                                        ORDINARY_EASED);
    machine_summary_t *worst = NULL;
    double worst_price = 0;
    for (guint i = 0; i < leader->summaries->len; i++) {
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            /* Those beyond what is promised go back once the work that waits is little. */
            bool spare = eased && !summary->spot && extra >= summary->total.cpus;
            if (!summary->open ||
                (!spare &&
                 (balance.standing.cpus - summary->total.cpus < balance.wanted.cpus * keep ||
                  balance.standing.memory - summary->total.memory < balance.wanted.memory * keep)))
                continue;
            /* Dear ones first; of equals the emptiest, which is free soonest. */
            double price = machine_price(summary, machine_types) *
                           (2 - (summary->total.cpus - summary->free.cpus) /
                                    MAX(summary->total.cpus, EPSILON));
            if (!worst || price > worst_price) {
                worst = summary;
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
    double wait = tunable_for_machine(leader->policy, TUNABLE_IDLE_KEEP, worst->type, worst->zone,
                                      worst->spot, worst->total);
    return (double)(now - rental->surplus_since) >= wait * 1000 ? worst : NULL;
}

GPtrArray *rental_stuck(const rental_t *rental, const GArray *machine_types, msec_t now)
{
    GPtrArray *stuck = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, rental->boots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const boot_t *boot = value;
        const machine_type_t *machine_type = machine_type_find(machine_types, boot->type);
        msec_t usual = machine_type ? (msec_t)(machine_type->boot_s * 1000) : 0;
        if (now - boot->since > BOOT_PATIENCE_MS + 3 * usual)
            g_ptr_array_add(stuck, g_strdup(boot->machine));
    }
    return stuck;
}
