/* The choice: the next autoscaler, and the machine to give back. */
#include "core/autoscaler/autoscaler_internal.h"

#include <math.h>
#include <string.h>

static guint count_of(const leader_t *leader, const autoscaler_t *autoscaler, const char *type,
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
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const booting_instance_t *booting = value;
        count += booting->spot == spot && strcmp(booting->type, type) == 0 &&
                 strcmp(booting->zone, zone) == 0;
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
             (presses && tunable_for_job(policy, TUNABLE_USE_ON_DEMAND, spec) != 0)))
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
    if (machine_type->capacity.cpus > wanted_cpus * SCALE_OUT_LARGEST_FRACTION && units < 1)
        return 0;
    return (guint)CLAMP(ceil(units - SCALE_OUT_ROUNDING_FRACTION), 1, (double)SCALE_OUT_MAX_COUNT);
}

/* What a autoscaler is chosen by, and the best one so far. */
typedef struct scale_out_choice {
    const autoscaler_t *autoscaler;
    const leader_t *leader;
    const autoscaler_balance_t *balance;
    const GArray *demand; /* demand_t */
    double extra; /* cpus of on-demand machines for which work beyond what is promised waits */
    msec_t now;
    double cost; /* of the wish; infinite: there is none yet */
    scale_out_request_t *request;
} scale_out_choice_t;

/* Takes the machines for the wish if they may be had, are of use and cost least so far. */
static void consider(scale_out_choice_t *choice, const machine_type_t *machine_type,
                     const char *zone, bool spot, guint count)
{
    double cpus = machine_type->capacity.cpus;
    bool promised = choice->balance->on_demand_cpus + cpus <= choice->balance->guaranteed_cpus;
    if (autoscaler_is_zone_unreachable(choice->autoscaler, zone, choice->now) ||
        autoscaler_is_refused(choice->autoscaler, machine_type->name, zone, spot, choice->now) ||
        !is_useful(choice->leader->policy, choice->demand, machine_type, zone, spot, promised,
                   choice->extra >= cpus))
        return;
    double price = (spot ? machine_type->spot_price : machine_type->price) / MAX(cpus, EPSILON);
    /* Of equals the type and zone with the fewest, so that a wave or a cut takes less at once. */
    guint alike = count_of(choice->leader, choice->autoscaler, machine_type->name, zone, spot);
    double cost = price * (1 + SCALE_OUT_SPREAD_FRACTION * alike);
    if (cost >= choice->cost)
        return;
    if (!spot && !promised)
        count = (guint)CLAMP(choice->extra / cpus, 1, (double)count);
    choice->cost = cost;
    *choice->request = (scale_out_request_t){.spot = spot, .count = count};
    g_strlcpy(choice->request->type, machine_type->name, sizeof choice->request->type);
    g_strlcpy(choice->request->zone, zone, sizeof choice->request->zone);
}

/* Considers each type in each zone, ordinary and spot; wanted_cpus bounds how large a type may be.
 */
static void consider_all(scale_out_choice_t *choice, const GArray *machine_types, resources_t lack,
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

bool autoscaler_next_scale_out(const autoscaler_t *autoscaler, const leader_t *leader,
                               const GArray *machine_types, msec_t now, int64_t day_ms,
                               scale_out_request_t *request)
{
    autoscaler_balance_t balance =
        autoscaler_balance(autoscaler, leader, machine_types, now, day_ms);
    resources_t lack = {0};
    resources_add(&lack, balance.wanted, tunable_value(leader->policy, TUNABLE_SCALE_OUT_HEADROOM));
    resources_add(&lack, balance.standing, -1);
    resources_add(&lack, balance.booting, -1);
    if (lack.cpus <= 0 && lack.memory <= 0)
        return false;
    double patience = tunable_value(leader->policy, TUNABLE_ON_DEMAND_PATIENCE);
    GArray *demand = leader_demand(leader, now);
    scale_out_choice_t choice = {.autoscaler = autoscaler,
                                 .leader = leader,
                                 .balance = &balance,
                                 .demand = demand,
                                 .extra =
                                     autoscaler_extra_on_demand_cpus(leader, &balance, patience) -
                                     MAX(balance.on_demand_cpus - balance.guaranteed_cpus, 0),
                                 .now = now,
                                 .cost = INFINITY,
                                 .request = request};
    consider_all(&choice, machine_types, lack, balance.wanted.cpus);
    if (isinf(choice.cost))
        consider_all(&choice, machine_types, lack, INFINITY);
    g_array_unref(demand);
    return isfinite(choice.cost);
}

static double machine_price(const machine_summary_t *summary, const GArray *machine_types)
{
    const machine_type_t *machine_type = autoscaler_find_machine_type(machine_types, summary->type);
    if (!machine_type)
        return 0;
    return (summary->spot ? machine_type->spot_price : machine_type->price) /
           MAX(machine_type->capacity.cpus, EPSILON);
}

machine_summary_t *autoscaler_next_scale_in(autoscaler_t *autoscaler, const leader_t *leader,
                                            const GArray *machine_types, msec_t now, int64_t day_ms)
{
    autoscaler_balance_t balance =
        autoscaler_balance(autoscaler, leader, machine_types, now, day_ms);
    double keep = tunable_value(leader->policy, TUNABLE_SCALE_IN_HEADROOM);
    double extra = MAX(balance.on_demand_cpus - balance.guaranteed_cpus, 0);
    bool eased = extra > autoscaler_extra_on_demand_cpus(
                             leader, &balance,
                             tunable_value(leader->policy, TUNABLE_ON_DEMAND_PATIENCE) /
                                 ON_DEMAND_EASED_FACTOR);
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
        autoscaler->surplus_since = 0;
    else if (autoscaler->surplus_since == 0)
        autoscaler->surplus_since = now;
    if (!worst)
        return NULL;
    double wait = tunable_for_machine(leader->policy, TUNABLE_SCALE_IN_DELAY, worst->type,
                                      worst->zone, worst->spot, worst->total);
    return (double)(now - autoscaler->surplus_since) >= wait * MS_PER_S ? worst : NULL;
}
