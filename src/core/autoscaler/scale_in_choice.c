/* Chooses the next machine to scale in. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/autoscaler/machine_summary_iter.h"

/* The data by which a machine is chosen. */
typedef struct scale_in_choice {
    const GArray *machine_types;             /* machine_type_t, borrowed */
    const constrained_demand_t *constrained; /* borrowed */
    autoscaler_balance_t balance;
    double headroom;             /* the capacity to keep, as a factor of the demand */
    double extra_on_demand_cpus; /* on-demand cpus beyond the guaranteed demand */
    bool is_extra_unjustified;   /* too little work is pending to justify those cpus */
} scale_in_choice_t;

static scale_in_choice_t prepare_choice(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types,
                                        const constrained_demand_t *constrained, msec_t now,
                                        int64_t wall_clock_ms)
{
    scale_in_choice_t choice = {.machine_types = machine_types,
                                .constrained = constrained,
                                .balance = autoscaler_balance(autoscaler, leader, machine_types,
                                                              constrained, now, wall_clock_ms)};
    choice.headroom = tunable_value(leader->policy, TUNABLE_SCALE_IN_HEADROOM);
    choice.extra_on_demand_cpus = autoscaler_extra_on_demand_cpus(&choice.balance);
    /* Hysteresis: on-demand machines are scaled in only if less work is pending than the amount at
     * which scale-out stops, so that machines are not added and removed repeatedly. */
    double max_wait_s =
        tunable_value(leader->policy, TUNABLE_ON_DEMAND_MAX_WAIT) / ON_DEMAND_SCALE_IN_DIVISOR;
    choice.is_extra_unjustified =
        choice.extra_on_demand_cpus >
        autoscaler_justified_on_demand_cpus(leader, &choice.balance, max_wait_s);
    return choice;
}

/* Returns whether the capacity without this machine would be less than the demand times the
 * headroom. */
static bool is_needed(const scale_in_choice_t *choice, const machine_summary_t *summary)
{
    const autoscaler_balance_t *balance = &choice->balance;
    return balance->running.cpus - summary->total.cpus < balance->demand.cpus * choice->headroom ||
           balance->running.memory - summary->total.memory <
               balance->demand.memory * choice->headroom;
}

/* Returns whether the machine is the only one that accepts starts, and there is demand for it. */
static bool is_only_machine(const scale_in_choice_t *choice, const machine_summary_t *summary)
{
    const autoscaler_balance_t *balance = &choice->balance;
    return balance->demand.cpus > RESOURCE_EPSILON &&
           balance->running.cpus - summary->total.cpus <= RESOURCE_EPSILON;
}

/* Returns whether the machine may be scaled in: it accepts starts, and either the remaining
 * capacity suffices or it is an on-demand machine that the pending work does not justify, and no
 * work that only some machines can serve needs it. */
static bool may_scale_in(const scale_in_choice_t *choice, const machine_summary_t *summary)
{
    if (!summary->accepts_starts)
        return false;
    bool is_unjustified = choice->is_extra_unjustified && !summary->is_spot &&
                          choice->extra_on_demand_cpus >= summary->total.cpus &&
                          !is_only_machine(choice, summary);
    return (is_unjustified || !is_needed(choice, summary)) &&
           !constrained_demand_needs(choice->constrained, summary, choice->headroom);
}

/* Returns the machine's rank; the machine with the highest rank is scaled in first. The rank rises
 * with the price per cpu and falls with the load, because a less loaded machine is empty sooner. */
static double scale_in_rank(const scale_in_choice_t *choice, const machine_summary_t *summary)
{
    const machine_type_t *machine_type =
        autoscaler_find_machine_type(choice->machine_types, summary->type);
    double price = machine_type ? autoscaler_price_per_cpu(machine_type, summary->is_spot) : 0;
    double load =
        (summary->total.cpus - summary->free.cpus) / MAX(summary->total.cpus, RESOURCE_EPSILON);
    return price * (2 - load);
}

static machine_summary_t *choose_machine(const scale_in_choice_t *choice, const leader_t *leader)
{
    machine_summary_t *chosen = NULL;
    double highest_rank = 0;
    machine_summary_iter_t iter = {.leader = leader};
    for (machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter)) {
        if (!may_scale_in(choice, summary))
            continue;
        double rank = scale_in_rank(choice, summary);
        if (!chosen || rank > highest_rank) {
            chosen = summary;
            highest_rank = rank;
        }
    }
    return chosen;
}

machine_summary_t *autoscaler_next_scale_in(autoscaler_t *autoscaler, const leader_t *leader,
                                            const GArray *machine_types, msec_t now,
                                            int64_t wall_clock_ms)
{
    g_autoptr(constrained_demand_t) constrained =
        constrained_demand_new(autoscaler, leader, machine_types, now, wall_clock_ms);
    scale_in_choice_t choice =
        prepare_choice(autoscaler, leader, machine_types, constrained, now, wall_clock_ms);
    machine_summary_t *machine = choose_machine(&choice, leader);
    if (!machine) {
        autoscaler->surplus_since = 0;
        return NULL;
    }
    if (autoscaler->surplus_since == 0)
        autoscaler->surplus_since = now;
    double delay_s = tunable_for_machine(leader->policy, TUNABLE_SCALE_IN_DELAY, machine->type,
                                         machine->zone, machine->is_spot, machine->total);
    bool has_delay_passed = (double)(now - autoscaler->surplus_since) >= delay_s * MS_PER_S;
    return has_delay_passed ? machine : NULL;
}
