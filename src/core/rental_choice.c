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
    if (machine_type->capacity.cpus > wanted_cpus * RENT_LARGEST_FRACTION && units < 1)
        return 0;
    return (guint)CLAMP(ceil(units - RENT_ROUND_FRACTION), 1, (double)RENT_MAX_COUNT);
}

/* What a rental is chosen by, and the best one so far. */
typedef struct rental_choice {
    const rental_t *rental;
    const leader_t *leader;
    const rental_balance_t *balance;
    const GArray *demand; /* demand_t */
    double extra; /* cpus of ordinary machines for which work beyond what is promised waits */
    msec_t now;
    double cost; /* of the wish; infinite: there is none yet */
    rental_wish_t *wish;
} rental_choice_t;

/* Takes the machines for the wish if they may be had, are of use and cost least so far. */
static void consider(rental_choice_t *choice, const machine_type_t *machine_type, const char *zone,
                     bool spot, guint count)
{
    double cpus = machine_type->capacity.cpus;
    bool promised = choice->balance->ordinary + cpus <= choice->balance->promised;
    if (rental_is_zone_unreachable(choice->rental, zone, choice->now) ||
        rental_is_refused(choice->rental, machine_type->name, zone, spot, choice->now) ||
        !is_useful(choice->leader->policy, choice->demand, machine_type, zone, spot, promised,
                   choice->extra >= cpus))
        return;
    double price = (spot ? machine_type->spot_price : machine_type->price) / MAX(cpus, EPSILON);
    /* Of equals the type and zone with the fewest, so that a wave or a cut takes less at once. */
    guint alike = count_of(choice->leader, choice->rental, machine_type->name, zone, spot);
    double cost = price * (1 + RENT_SPREAD_FRACTION * alike);
    if (cost >= choice->cost)
        return;
    if (!spot && !promised)
        count = (guint)CLAMP(choice->extra / cpus, 1, (double)count);
    choice->cost = cost;
    *choice->wish = (rental_wish_t){.spot = spot, .count = count};
    g_strlcpy(choice->wish->type, machine_type->name, sizeof choice->wish->type);
    g_strlcpy(choice->wish->zone, zone, sizeof choice->wish->zone);
}

/* Considers each type in each zone, ordinary and spot; wanted_cpus bounds how large a type may be.
 */
static void consider_all(rental_choice_t *choice, const GArray *machine_types, resources_t lack,
                         double wanted_cpus)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        guint count = units_of(machine_type, lack, wanted_cpus);
        for (char **zone = machine_type->zones; count > 0 && *zone; zone++) {
            consider(choice, machine_type, *zone, false, count);
            consider(choice, machine_type, *zone, true, count);
        }
    }
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
    double patience = tunable_value(leader->policy, TUNABLE_ORDINARY_PATIENCE);
    GArray *demand = leader_demand(leader, now);
    rental_choice_t choice = {.rental = rental,
                              .leader = leader,
                              .balance = &balance,
                              .demand = demand,
                              .extra = rental_extra_cpus(leader, &balance, patience) -
                                       MAX(balance.ordinary - balance.promised, 0),
                              .now = now,
                              .cost = INFINITY,
                              .wish = wish};
    consider_all(&choice, machine_types, lack, balance.wanted.cpus);
    if (isinf(choice.cost))
        consider_all(&choice, machine_types, lack, INFINITY);
    g_array_unref(demand);
    return isfinite(choice.cost);
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
                                      ORDINARY_EASED_FACTOR);
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
    return (double)(now - rental->surplus_since) >= wait * MS_PER_S ? worst : NULL;
}
