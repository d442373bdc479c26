/* The choice: the next rental, and the machine to give back. */
#include "core/rental_internal.h"

#include <math.h>
#include <string.h>

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
    double extra = rental_extra_cpus(leader, &balance,
                                     tunable_value(leader->policy, TUNABLE_ORDINARY_PATIENCE)) -
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
                        rental_is_refused(rental, machine_type->name, *zone, spot, now) ||
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
    const machine_type_t *machine_type = rental_machine_type(machine_types, summary->type);
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
    bool eased =
        extra > rental_extra_cpus(leader, &balance,
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
