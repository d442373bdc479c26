/* Computes the balance: the demand compared with the running and the booting capacity. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/autoscaler/machine_summary_iter.h"

/* Returns the seconds within which the pending tasks of the job should start. It is shorter for a
 * job close to its deadline, which therefore justifies more machines at once. */
static double job_max_wait_s(const leader_t *leader, const job_t *job, int64_t wall_clock_ms)
{
    double max_wait_s = tunable_for_job(leader->policy, TUNABLE_SCALE_OUT_MAX_WAIT, &job->spec);
    if (job->spec.deadline_s <= 0)
        return max_wait_s;
    double latest_start_in_s = (double)(job->spec.submitted_ms - wall_clock_ms) / MS_PER_S +
                               job->spec.deadline_s - job->spec.estimate_s;
    return CLAMP(latest_start_in_s, MIN(max_wait_s, SCALE_OUT_MAX_WAIT_MIN_S), max_wait_s);
}

resources_t autoscaler_pending_resources(const leader_t *leader, const job_demand_t *entry,
                                         int64_t wall_clock_ms)
{
    const job_spec_t *spec = &entry->job->spec;
    resources_t pending = {0};
    /* Tasks that can run one after another on the same resources within the maximum wait count
     * once. The tasks of a gang run at the same time. */
    double rounds =
        spec->kind == KIND_GANG
            ? 1
            : MAX(1, job_max_wait_s(leader, entry->job, wall_clock_ms) / MAX(spec->estimate_s, 1));
    resources_add(&pending, spec->need, MAX(entry->tasks / rounds, MIN(entry->tasks, 1.0)));
    return pending;
}

/* Returns the resources for the outstanding tasks and for the pending tasks. */
static resources_t total_demand(const leader_t *leader, msec_t now, int64_t wall_clock_ms)
{
    resources_t total = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->outstanding);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        resources_add(&total, ((outstanding_attempt_t *)value)->need, 1);
    g_autoptr(GArray) demand = leader_demand(leader, now); /* job_demand_t */
    for (guint i = 0; i < demand->len; i++)
        resources_add(&total,
                      autoscaler_pending_resources(leader, &g_array_index(demand, job_demand_t, i),
                                                   wall_clock_ms),
                      1);
    return total;
}

/* Fills in the cpus that the teams' tasks need within the guarantees, and the cpu seconds of all
 * pending tasks. */
static void measure_team_demand(const leader_t *leader, msec_t now, autoscaler_balance_t *balance)
{
    double *pending_cpus = g_new0(double, leader->teams->len + 1); /* by index of the team */
    g_autoptr(GArray) demand = leader_demand(leader, now);         /* job_demand_t */
    for (guint i = 0; i < demand->len; i++) {
        const job_demand_t *entry = &g_array_index(demand, job_demand_t, i);
        double cpus = entry->tasks * entry->job->spec.need.cpus;
        pending_cpus[entry->team] += cpus;
        balance->pending_cpu_s += cpus * MAX(entry->job->spec.estimate_s, 1);
    }
    for (guint i = 0; i < leader->teams->len; i++) {
        const team_state_t *state = &g_array_index(leader->teams, team_state_t, i);
        balance->guaranteed_demand_cpus +=
            MIN(state->outstanding_cpus + pending_cpus[i], state->team.guaranteed_cpus);
    }
    g_free(pending_cpus);
}

static void add_running(autoscaler_balance_t *balance, const leader_t *leader)
{
    machine_summary_iter_t iter = {.leader = leader};
    for (const machine_summary_t *summary = machine_summary_iter_next(&iter); summary;
         summary = machine_summary_iter_next(&iter)) {
        if (!summary->accepts_starts)
            continue;
        resources_add(&balance->running, summary->total, 1);
        balance->on_demand_cpus += summary->is_spot ? 0 : summary->total.cpus;
    }
}

static void add_booting(autoscaler_balance_t *balance, const autoscaler_t *autoscaler,
                        const GArray *machine_types, msec_t now)
{
    GHashTableIter iter;
    const booting_instance_t *booting;
    const machine_type_t *machine_type;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while ((machine_type = autoscaler_next_booting(&iter, machine_types, now, &booting))) {
        resources_add(&balance->booting, machine_type->capacity, 1);
        balance->on_demand_cpus += booting->is_spot ? 0 : machine_type->capacity.cpus;
    }
}

autoscaler_balance_t autoscaler_balance(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types,
                                        const constrained_demand_t *constrained, msec_t now,
                                        int64_t wall_clock_ms)
{
    autoscaler_balance_t balance = {.demand = total_demand(leader, now, wall_clock_ms)};
    resources_add(&balance.demand, constrained->unservable, -1);
    measure_team_demand(leader, now, &balance);
    add_running(&balance, leader);
    add_booting(&balance, autoscaler, machine_types, now);
    return balance;
}

double autoscaler_extra_on_demand_cpus(const autoscaler_balance_t *balance)
{
    return MAX(balance->on_demand_cpus - balance->guaranteed_demand_cpus, 0);
}

double autoscaler_justified_on_demand_cpus(const leader_t *leader,
                                           const autoscaler_balance_t *balance, double max_wait_s)
{
    double capacity_cpus = balance->running.cpus + balance->booting.cpus;
    double other_cpus = MAX(capacity_cpus - autoscaler_extra_on_demand_cpus(balance), 0);
    double needed_cpus = balance->pending_cpu_s / MAX(max_wait_s, 1);
    double max_cpus =
        tunable_value(leader->policy, TUNABLE_ON_DEMAND_SHARE) * MAX(other_cpus, needed_cpus);
    return CLAMP(needed_cpus - other_cpus, 0, max_cpus);
}
