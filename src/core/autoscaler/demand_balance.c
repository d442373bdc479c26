/* The balance: what is wanted against what stands and boots. */
#include "core/autoscaler/autoscaler_internal.h"

/* Seconds within which the waiting work of a job should be under way: the sooner it is due, the
 * more machines it deserves at once. */
static double patience(const leader_t *leader, const job_t *job, int64_t day_ms)
{
    double most = tunable_for_job(leader->policy, TUNABLE_SCALE_OUT_PATIENCE, &job->spec);
    if (job->spec.deadline_s <= 0)
        return most;
    double due = (double)(job->spec.submitted_ms - day_ms) / MS_PER_S + job->spec.deadline_s -
                 job->spec.estimate_s;
    return CLAMP(due, MIN(most, SCALE_OUT_PATIENCE_MIN_S), most);
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
static double guaranteed_cpus_asked(const leader_t *leader, msec_t now, double *waiting)
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
        promised += MIN(state->outstanding_cpus + asked[i], state->team.guaranteed_cpus);
    }
    g_array_unref(demand);
    g_free(asked);
    return promised;
}

autoscaler_balance_t autoscaler_balance(const autoscaler_t *autoscaler, const leader_t *leader,
                                        const GArray *machine_types, msec_t now, int64_t day_ms)
{
    autoscaler_balance_t balance = {.wanted = wanted_resources(leader, now, day_ms)};
    balance.guaranteed_cpus = guaranteed_cpus_asked(leader, now, &balance.waiting_cpu_s);
    for (guint i = 0; i < leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (!summary->open)
                continue;
            resources_add(&balance.standing, summary->total, 1);
            balance.on_demand_cpus += summary->spot ? 0 : summary->total.cpus;
        }
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, autoscaler->booting_instances);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const booting_instance_t *booting = value;
        const machine_type_t *machine_type =
            autoscaler_find_machine_type(machine_types, booting->type);
        if (!machine_type)
            continue;
        resources_add(&balance.booting, machine_type->capacity, 1);
        balance.on_demand_cpus += booting->spot ? 0 : machine_type->capacity.cpus;
    }
    return balance;
}

double autoscaler_extra_on_demand_cpus(const leader_t *leader, const autoscaler_balance_t *balance,
                                       double patience_s)
{
    double there = balance->standing.cpus + balance->booting.cpus;
    double extra = MAX(balance->on_demand_cpus - balance->guaranteed_cpus, 0);
    double spot = MAX(there - extra, 0);
    double needed = balance->waiting_cpu_s / MAX(patience_s, 1);
    double most = tunable_value(leader->policy, TUNABLE_ON_DEMAND_SHARE) * MAX(spot, needed);
    return CLAMP(needed - spot, 0, most);
}
