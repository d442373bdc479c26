#include "core/tunables.h"

double tunable_value(const policy_t *policy, policy_tunable_t tunable)
{
    return policy_value(policy, tunable, NULL);
}

double tunable_for_job(const policy_t *policy, policy_tunable_t tunable, const job_spec_t *spec)
{
    policy_env_t env = {
        .number = {[ATTR_JOB_PRIORITY] = spec->priority,
                   [ATTR_JOB_CPUS] = spec->need.cpus,
                   [ATTR_JOB_MEMORY] = spec->need.memory,
                   [ATTR_JOB_TASKS] = spec->tasks,
                   [ATTR_JOB_ESTIMATE] = spec->estimate_s,
                   [ATTR_JOB_DEADLINE] = spec->deadline_s},
        .text = {[ATTR_JOB_CLASS] = spec->class_name, [ATTR_JOB_TEAM] = spec->team}};
    return policy_value(policy, tunable, &env);
}

double tunable_for_machine(const policy_t *policy, policy_tunable_t tunable, const char *type,
                           const char *zone, bool spot, resources_t capacity)
{
    policy_env_t env = {.number = {[ATTR_MACHINE_SPOT] = spot,
                                   [ATTR_MACHINE_CPUS] = capacity.cpus,
                                   [ATTR_MACHINE_MEMORY] = capacity.memory},
                        .text = {[ATTR_MACHINE_TYPE] = type, [ATTR_MACHINE_ZONE] = zone}};
    return policy_value(policy, tunable, &env);
}
