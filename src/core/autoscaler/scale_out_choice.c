/* Chooses the next scale-out request. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/autoscaler/machine_summary_iter.h"

#include <math.h>
#include <string.h>

/* Machines of one type, in one zone, spot or on-demand, that might be scaled out. */
typedef struct machine_candidate {
    const machine_type_t *machine_type; /* borrowed */
    const char *zone;                   /* borrowed */
    bool spot;
    guint count;               /* number of machines that cover the missing resources */
    bool is_within_guarantees; /* the guaranteed demand justifies another such on-demand machine */
} machine_candidate_t;

/* The data by which a request is chosen, and the best request found so far. */
typedef struct scale_out_choice {
    const autoscaler_t *autoscaler;
    const leader_t *leader;
    const autoscaler_balance_t *balance;
    const constrained_demand_t *constrained;
    const demand_group_t *group; /* the group that the machines are for; NULL: all demand */
    bool has_preferred_zones;    /* only zones that bring the group's gang closest to fitting */
    bool is_oversized;    /* the types are too large for the demand: compares prices of machines
                             instead of cpus */
    const GArray *demand; /* of the group, or all demand: job_demand_t, borrowed */
    /* On-demand cpus beyond the guaranteed demand that the pending work justifies and that do not
     * exist yet. */
    double missing_on_demand_cpus;
    bool may_use_unreachable_zones; /* the demand can use no other zone */
    bool has_no_machines; /* the demand can use no machine that accepts starts or is booting */
    msec_t now;
    int64_t wall_clock_ms;
    double best_cost; /* of the request; infinite if none was found yet */
    scale_out_request_t *request;
} scale_out_choice_t;

static bool matches_candidate(const machine_candidate_t *candidate, const char *type,
                              const char *zone, bool spot)
{
    return spot == candidate->spot && strcmp(type, candidate->machine_type->name) == 0 &&
           strcmp(zone, candidate->zone) == 0;
}

/* Returns the number of running and booting machines of the candidate's type and zone that are,
 * like it, spot or on-demand machines. */
static guint count_matching_machines(const scale_out_choice_t *choice,
                                     const machine_candidate_t *candidate)
{
    guint count = 0;
    machine_summary_iter_t summaries = {.leader = choice->leader};
    for (const machine_summary_t *summary = machine_summary_iter_next(&summaries); summary;
         summary = machine_summary_iter_next(&summaries))
        count += matches_candidate(candidate, summary->type, summary->zone, summary->is_spot);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, choice->autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const booting_instance_t *booting = value;
        count += matches_candidate(candidate, booting->type, booting->zone, booting->is_spot);
    }
    return count;
}

/* Returns whether the job has no machine and has waited for one for its maximum wait. As long as
 * the cloud refuses spot machines, other machines would need an unlimited time for its work,
 * however little it is. */
static bool is_stranded(const scale_out_choice_t *choice, const job_spec_t *spec)
{
    double max_wait_s = tunable_for_job(choice->leader->policy, TUNABLE_SCALE_OUT_MAX_WAIT, spec);
    return choice->has_no_machines &&
           (double)(choice->wall_clock_ms - spec->submitted_ms) >= max_wait_s * MS_PER_S;
}

/* Returns whether the job may use an on-demand machine as described by the candidate. */
static bool may_use_on_demand(const scale_out_choice_t *choice,
                              const machine_candidate_t *candidate, const job_spec_t *spec)
{
    if (candidate->is_within_guarantees || !spec->may_use_spot)
        return true;
    bool is_justified = choice->missing_on_demand_cpus >= candidate->machine_type->capacity.cpus ||
                        is_stranded(choice, spec);
    return is_justified &&
           tunable_for_job(choice->leader->policy, TUNABLE_USE_ON_DEMAND, spec) != 0;
}

/* Returns whether the group for which machines are scaled out can use the candidate's machines. */
static bool is_usable_by_group(const scale_out_choice_t *choice,
                               const machine_candidate_t *candidate)
{
    if (!choice->group)
        return true;
    if (choice->has_preferred_zones &&
        !constrained_demand_prefers_zone(choice->constrained, choice->group, candidate->zone))
        return false;
    return constrained_demand_can_use(choice->constrained, choice->group,
                                      candidate->machine_type->name, candidate->zone,
                                      candidate->spot);
}

/* Returns whether some pending job can use a machine as described by the candidate. */
static bool is_usable(const scale_out_choice_t *choice, const machine_candidate_t *candidate)
{
    const machine_type_t *machine_type = candidate->machine_type;
    if (!is_usable_by_group(choice, candidate))
        return false;
    for (guint i = 0; i < choice->demand->len; i++) {
        const job_spec_t *spec = &g_array_index(choice->demand, job_demand_t, i).job->spec;
        if (job_spec_allows(spec, machine_type->name, candidate->zone, candidate->spot) &&
            resources_fit(spec->need, machine_type->capacity) &&
            (candidate->spot || may_use_on_demand(choice, candidate, spec)))
            return true;
    }
    return false;
}

/* Returns the number of machines of the type that cover the missing resources, or 0 if the type is
 * too large. Larger types cost less per cpu and cache more images, but a machine that is too large
 * in relation to the total demand would be mostly idle. */
static guint machines_to_cover(const machine_type_t *machine_type, resources_t missing,
                               double demand_cpus)
{
    const resources_t *capacity = &machine_type->capacity;
    double machines = MAX(missing.cpus / MAX(capacity->cpus, RESOURCE_EPSILON),
                          missing.memory / MAX(capacity->memory, RESOURCE_EPSILON));
    if (missing.gpus > 0 && capacity->gpus > 0)
        machines = MAX(machines, missing.gpus / capacity->gpus);
    if (capacity->cpus > demand_cpus * SCALE_OUT_OVERSIZE_FRACTION && machines < 1)
        return 0;
    return (guint)CLAMP(ceil(machines - SCALE_OUT_ROUNDING_FRACTION), 1,
                        (double)SCALE_OUT_MAX_COUNT);
}

/* Returns whether machines may be requested in the zone: it is reachable, or the demand can be
 * served nowhere else and the zone has been unreachable for so long that its machines may have
 * failed instead. */
static bool is_zone_available(const scale_out_choice_t *choice, const char *zone)
{
    if (!autoscaler_is_zone_unreachable(choice->autoscaler, zone, choice->now))
        return true;
    msec_t wait_ms = choice->group ? UNREACHABLE_ZONE_CONFINED_MS : UNREACHABLE_ZONE_MS;
    return choice->may_use_unreachable_zones &&
           autoscaler_zone_unreachable_ms(choice->autoscaler, zone, choice->now) >= wait_ms;
}

/* Returns whether such machines may be requested, and the cloud has not refused them recently. */
static bool is_available(const scale_out_choice_t *choice, const machine_candidate_t *candidate)
{
    return is_zone_available(choice, candidate->zone) &&
           !autoscaler_is_refused(choice->autoscaler, candidate->machine_type->name,
                                  candidate->zone, candidate->spot, choice->now);
}

/* Makes the candidate the request if it is available and usable and costs less than the best one so
 * far. */
static void consider_candidate(scale_out_choice_t *choice, machine_candidate_t candidate)
{
    const machine_type_t *machine_type = candidate.machine_type;
    double cpus = machine_type->capacity.cpus;
    candidate.is_within_guarantees =
        choice->balance->on_demand_cpus + cpus <= choice->balance->guaranteed_demand_cpus;
    if (!is_available(choice, &candidate) || !is_usable(choice, &candidate))
        return;
    /* At similar prices, the type and zone with the fewest machines is preferred, so that a wave of
     * spot interruptions or the loss of a zone affects fewer machines at once. */
    double cost = autoscaler_price_per_cpu(machine_type, candidate.spot) *
                  (choice->is_oversized ? cpus * candidate.count : 1) *
                  (1 + SCALE_OUT_SPREAD_FRACTION * count_matching_machines(choice, &candidate));
    if (cost >= choice->best_cost)
        return;
    if (!candidate.spot && !candidate.is_within_guarantees)
        candidate.count =
            (guint)CLAMP(choice->missing_on_demand_cpus / cpus, 1, (double)candidate.count);
    choice->best_cost = cost;
    *choice->request = (scale_out_request_t){.is_spot = candidate.spot, .count = candidate.count};
    g_strlcpy(choice->request->type, machine_type->name, sizeof choice->request->type);
    g_strlcpy(choice->request->zone, candidate.zone, sizeof choice->request->zone);
}

/* Considers each machine type in each of its zones, on-demand and spot. Types that are too large in
 * relation to demand_cpus are left out. */
static void consider_all_types(scale_out_choice_t *choice, const GArray *machine_types,
                               resources_t missing, double demand_cpus)
{
    for (guint i = 0; i < machine_types->len; i++) {
        const machine_type_t *machine_type = &g_array_index(machine_types, machine_type_t, i);
        guint count = machines_to_cover(machine_type, missing, demand_cpus);
        for (char **zone = machine_type->zones; count > 0 && *zone; zone++) {
            machine_candidate_t candidate = {
                .machine_type = machine_type, .zone = *zone, .spot = false, .count = count};
            consider_candidate(choice, candidate);
            candidate.spot = true;
            consider_candidate(choice, candidate);
        }
    }
}

/* Returns the resources to add: the demand times the headroom, less the running and the booting
 * capacity. */
static resources_t missing_resources(const leader_t *leader, const autoscaler_balance_t *balance)
{
    resources_t missing = {0};
    resources_add(&missing, balance->demand,
                  tunable_value(leader->policy, TUNABLE_SCALE_OUT_HEADROOM));
    resources_add(&missing, balance->running, -1);
    resources_add(&missing, balance->booting, -1);
    return missing;
}

/* Returns whether the demand can use machines in a reachable zone, existing or not. */
static bool has_reachable_zone(const scale_out_choice_t *choice)
{
    const machine_pools_t *pools = &choice->constrained->pools;
    for (guint i = 0; i < pools->pools->len; i++)
        if ((!choice->group || demand_group_can_use(choice->group, i)) &&
            !autoscaler_is_zone_unreachable(choice->autoscaler, machine_pool_at(pools, i)->zone,
                                            choice->now))
            return true;
    return false;
}

/* Considers all machine types. If only types that are too large in relation to the demand are
 * usable and available, considers these as well. Returns whether a request was found. */
static bool find_request(scale_out_choice_t *choice, const GArray *machine_types,
                         resources_t missing, double demand_cpus)
{
    choice->may_use_unreachable_zones = !has_reachable_zone(choice);
    choice->is_oversized = false;
    consider_all_types(choice, machine_types, missing, demand_cpus);
    if (isinf(choice->best_cost)) {
        choice->is_oversized = choice->group != NULL;
        consider_all_types(choice, machine_types, missing, INFINITY);
    }
    return isfinite(choice->best_cost);
}

static bool is_missing(resources_t missing)
{
    return missing.cpus > RESOURCE_EPSILON || missing.gpus > RESOURCE_EPSILON ||
           missing.memory > RESOURCE_EPSILON;
}

/* Chooses machines for the group if it lacks any. Returns whether a request was found. */
static bool find_request_for_group(scale_out_choice_t *choice, const GArray *machine_types,
                                   const demand_group_t *group)
{
    double headroom = tunable_value(choice->leader->policy, TUNABLE_SCALE_OUT_HEADROOM);
    resources_t missing = constrained_demand_missing(choice->constrained, group, headroom);
    if (!is_missing(missing))
        return false;
    choice->group = group;
    choice->demand = group->demand;
    choice->has_no_machines = !constrained_demand_has_machines(choice->constrained, group);
    choice->has_preferred_zones = true;
    if (find_request(choice, machine_types, missing, missing.cpus))
        return true;
    /* A gang that must run in one zone may start anew in another one. */
    choice->has_preferred_zones =
        !g_array_index(group->demand, job_demand_t, 0).job->spec.needs_same_zone;
    return find_request(choice, machine_types, missing, missing.cpus);
}

/* Chooses machines for the demand that only some of the machines can serve, which is not covered by
 * the sum of all machines. Returns whether a request was found. */
static bool find_request_for_groups(scale_out_choice_t *choice, const GArray *machine_types)
{
    for (guint i = 0; i < choice->constrained->groups->len; i++) {
        const demand_group_t *group = g_ptr_array_index(choice->constrained->groups, i);
        if (group->demand->len == 0 || !find_request_for_group(choice, machine_types, group))
            continue;
        g_strlcpy(choice->request->job, g_array_index(group->demand, job_demand_t, 0).job->spec.id,
                  sizeof choice->request->job);
        return true;
    }
    return false;
}

/* Chooses machines for all demand. Returns whether a request was found. */
static bool find_request_for_balance(scale_out_choice_t *choice, const GArray *machine_types,
                                     const GArray *demand)
{
    resources_t missing = missing_resources(choice->leader, choice->balance);
    if (missing.cpus <= 0 && missing.memory <= 0)
        return false;
    choice->group = NULL;
    choice->demand = demand;
    choice->has_no_machines = !constrained_demand_has_machines(choice->constrained, NULL);
    return find_request(choice, machine_types, missing, choice->balance->demand.cpus);
}

bool autoscaler_next_scale_out(const autoscaler_t *autoscaler, const leader_t *leader,
                               const GArray *machine_types, msec_t now, int64_t wall_clock_ms,
                               scale_out_request_t *request)
{
    g_autoptr(constrained_demand_t) constrained =
        constrained_demand_new(autoscaler, leader, machine_types, now, wall_clock_ms);
    autoscaler_balance_t balance =
        autoscaler_balance(autoscaler, leader, machine_types, constrained, now, wall_clock_ms);
    double max_wait_s = tunable_value(leader->policy, TUNABLE_ON_DEMAND_MAX_WAIT);
    g_autoptr(GArray) demand = leader_demand(leader, now); /* job_demand_t */
    scale_out_choice_t choice = {
        .autoscaler = autoscaler,
        .leader = leader,
        .balance = &balance,
        .constrained = constrained,
        .missing_on_demand_cpus =
            autoscaler_justified_on_demand_cpus(leader, &balance, max_wait_s) -
            autoscaler_extra_on_demand_cpus(&balance),
        .now = now,
        .wall_clock_ms = wall_clock_ms,
        .best_cost = INFINITY,
        .request = request};
    return find_request_for_groups(&choice, machine_types) ||
           find_request_for_balance(&choice, machine_types, demand);
}

/* Returns whether a pending job can use the machine, or only the job with this id unless it is
 * empty. */
static bool is_usable_machine(const GArray *demand, const char *job,
                              const machine_summary_t *machine)
{
    for (guint i = 0; i < demand->len; i++) {
        const job_t *pending = g_array_index(demand, job_demand_t, i).job;
        const job_spec_t *spec = &pending->spec;
        if ((!job[0] || strcmp(spec->id, job) == 0) &&
            job_spec_allows(spec, machine->type, machine->zone, machine->is_spot) &&
            resources_fit(spec->need, machine->total) &&
            leader_job_admits_zone(pending, machine->zone))
            return true;
    }
    return false;
}

const machine_summary_t *autoscaler_drain_to_cancel(const leader_t *leader,
                                                    const scale_out_request_t *request, msec_t now)
{
    g_autoptr(GArray) demand = leader_demand(leader, now); /* job_demand_t */
    machine_summary_iter_t iter = {.leader = leader};
    for (const machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter))
        if (summary->is_draining && summary->attempts > 0 &&
            summary->silent_ms <= ACKNOWLEDGEMENT_TIMEOUT_MS &&
            !leader_is_quarantined(leader, summary->machine) &&
            is_usable_machine(demand, request->job, summary))
            return summary;
    return NULL;
}
