/* The balance: the demand against the running capacity and the booting instances. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/autoscaler/machine_summary_iter.h"

/* Seconds within which the pending work of a job should begin: the sooner its deadline, the more
 * machines it justifies at once. */
static double job_patience_s(const leader_t *leader, const job_t *job, int64_t day_ms)
{
    double longest_s = tunable_for_job(leader->policy, TUNABLE_SCALE_OUT_PATIENCE, &job->spec);
    if (job->spec.deadline_s <= 0)
        return longest_s;
    double latest_start_in_s = (double)(job->spec.submitted_ms - day_ms) / MS_PER_S +
                               job->spec.deadline_s - job->spec.estimate_s;
    return CLAMP(latest_start_in_s, MIN(longest_s, SCALE_OUT_PATIENCE_MIN_S), longest_s);
}

static resources_t wanted_resources(const leader_t *leader, msec_t now, int64_t day_ms)
{
    resources_t wanted = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->outstanding);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        resources_add(&wanted, ((outstanding_t *)value)->need, 1);
    g_autoptr(GArray) demand = leader_demand(leader, now); /* demand_t */
    for (guint i = 0; i < demand->len; i++) {
        const demand_t *entry = &g_array_index(demand, demand_t, i);
        const job_spec_t *spec = &entry->job->spec;
        /* Tasks that can run one after the other within the patience need their resources once. */
        double rounds =
            MAX(1, job_patience_s(leader, entry->job, day_ms) / MAX(spec->estimate_s, 1));
        resources_add(&wanted, spec->need, MAX(entry->tasks / rounds, MIN(entry->tasks, 1.0)));
    }
    return wanted;
}

/* Fills in what the teams request within their guarantees, and the cpu seconds of all pending
 * tasks. */
static void measure_team_demand(const leader_t *leader, msec_t now, autoscaler_balance_t *balance)
{
    double *pending_cpus = g_new0(double, leader->teams->len + 1); /* by team */
    g_autoptr(GArray) demand = leader_demand(leader, now);         /* demand_t */
    for (guint i = 0; i < demand->len; i++) {
        const demand_t *entry = &g_array_index(demand, demand_t, i);
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
        if (!summary->is_open)
            continue;
        resources_add(&balance->running, summary->total, 1);
        balance->on_demand_cpus += summary->is_spot ? 0 : summary->total.cpus;
    }
}

static void add_booting(autoscaler_balance_t *balance, const autoscaler_t *autoscaler,
                        const GArray *machine_types)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const booting_instance_t *booting = value;
        const machine_type_t *machine_type =
            autoscaler_find_machine_type(machine_types, booting->type);
        if (!machine_type)
            continue;
        resources_add(&balance->booting, machine_type->capacity, 1);
        balance->on_demand_cpus += booting->is_spot ? 0 : machine_type->capacity.cpus;
    }
}

autoscaler_balance_t autoscaler_balance(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types, msec_t now, int64_t day_ms)
{
    autoscaler_balance_t balance = {.wanted = wanted_resources(leader, now, day_ms)};
    measure_team_demand(leader, now, &balance);
    add_running(&balance, leader);
    add_booting(&balance, autoscaler, machine_types);
    return balance;
}

double autoscaler_extra_on_demand_cpus(const autoscaler_balance_t *balance)
{
    return MAX(balance->on_demand_cpus - balance->guaranteed_demand_cpus, 0);
}

double autoscaler_justified_on_demand_cpus(const leader_t *leader,
                                           const autoscaler_balance_t *balance, double patience_s)
{
    double capacity_cpus = balance->running.cpus + balance->booting.cpus;
    double other_cpus = MAX(capacity_cpus - autoscaler_extra_on_demand_cpus(balance), 0);
    double needed_cpus = balance->pending_cpu_s / MAX(patience_s, 1);
    double most_cpus =
        tunable_value(leader->policy, TUNABLE_ON_DEMAND_SHARE) * MAX(other_cpus, needed_cpus);
    return CLAMP(needed_cpus - other_cpus, 0, most_cpus);
}
