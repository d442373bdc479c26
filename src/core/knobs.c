#include "core/knobs.h"

double knob_value(const policy_t *policy, policy_knob_t knob)
{
    return policy_value(policy, knob, NULL);
}

double knob_for_job(const policy_t *policy, policy_knob_t knob, const job_spec_t *spec)
{
    policy_env_t env = {
        .number = {[ATTR_JOB_URGENCY] = spec->urgency,
                   [ATTR_JOB_CPUS] = spec->need.cpus,
                   [ATTR_JOB_MEMORY] = spec->need.memory,
                   [ATTR_JOB_TASKS] = spec->tasks,
                   [ATTR_JOB_ESTIMATE] = spec->estimate_s,
                   [ATTR_JOB_DEADLINE] = spec->deadline_s},
        .text = {[ATTR_JOB_CLASS] = spec->class_name, [ATTR_JOB_TEAM] = spec->team}};
    return policy_value(policy, knob, &env);
}

double knob_for_machine(const policy_t *policy, policy_knob_t knob, const char *type,
                        const char *zone, bool spot, room_t room)
{
    policy_env_t env = {.number = {[ATTR_MACHINE_SPOT] = spot,
                                   [ATTR_MACHINE_CPUS] = room.cpus,
                                   [ATTR_MACHINE_MEMORY] = room.memory},
                        .text = {[ATTR_MACHINE_TYPE] = type, [ATTR_MACHINE_ZONE] = zone}};
    return policy_value(policy, knob, &env);
}
