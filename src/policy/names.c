/* The names of the policy file's language. */
#include "policy/names.h"

#include <string.h>

static const tunable_info_t tunables[TUNABLE_COUNT] = {
    [TUNABLE_RESERVATION_TTL] = {TUNABLE_RESERVATION_TTL, "reservation_lapse", POLICY_SECONDS,
                                 SCOPE_NONE, 5, 600, "30 s"},
    [TUNABLE_PLACEMENT_REQUESTS_PER_ROUND] = {TUNABLE_PLACEMENT_REQUESTS_PER_ROUND,
                                              "offers_per_round", POLICY_NUMBER, SCOPE_NONE, 1, 500,
                                              "64"},
    [TUNABLE_PREEMPTIONS_PER_ROUND] = {TUNABLE_PREEMPTIONS_PER_ROUND, "preemptions_per_round",
                                       POLICY_NUMBER, SCOPE_NONE, 0, 200, "24"},
    [TUNABLE_SCALE_OUT_HEADROOM] = {TUNABLE_SCALE_OUT_HEADROOM, "rent_headroom", POLICY_NUMBER,
                                    SCOPE_NONE, 0.5, 3, "1.10"},
    [TUNABLE_SCALE_IN_HEADROOM] = {TUNABLE_SCALE_IN_HEADROOM, "rent_keep", POLICY_NUMBER,
                                   SCOPE_NONE, 1, 5, "1.18"},
    [TUNABLE_SCALE_OUT_MAX_WAIT] = {TUNABLE_SCALE_OUT_MAX_WAIT, "rent_patience", POLICY_SECONDS,
                                    SCOPE_JOB, 1, 3600,
                                    "if job.urgency >= high then 15 s else 60 s"},
    [TUNABLE_SCALE_IN_DELAY] = {TUNABLE_SCALE_IN_DELAY, "idle_keep", POLICY_SECONDS, SCOPE_MACHINE,
                                5, 3600, "20 s"},
    [TUNABLE_USE_SPOT] = {TUNABLE_USE_SPOT, "use_spot", POLICY_BOOL, SCOPE_JOB, 0, 1, "true"},
    [TUNABLE_USE_ON_DEMAND] = {TUNABLE_USE_ON_DEMAND, "rent_ordinary", POLICY_BOOL, SCOPE_JOB, 0, 1,
                               "true"},
    [TUNABLE_ON_DEMAND_MAX_WAIT] = {TUNABLE_ON_DEMAND_MAX_WAIT, "ordinary_patience", POLICY_SECONDS,
                                    SCOPE_NONE, 1, 3600, "120 s"},
    [TUNABLE_ON_DEMAND_SHARE] = {TUNABLE_ON_DEMAND_SHARE, "ordinary_share", POLICY_NUMBER,
                                 SCOPE_NONE, 0, 1, "0.25"},
    [TUNABLE_PREEMPT] = {TUNABLE_PREEMPT, "preempt", POLICY_BOOL, SCOPE_JOB, 0, 1,
                         "job.urgency >= high"},
};

static const attribute_info_t attributes[ATTR_COUNT] = {
    [ATTR_JOB_PRIORITY] = {ATTR_JOB_PRIORITY, "job.urgency", POLICY_PRIORITY, SCOPE_JOB},
    [ATTR_JOB_CPUS] = {ATTR_JOB_CPUS, "job.cpus", POLICY_CPUS, SCOPE_JOB},
    [ATTR_JOB_MEMORY] = {ATTR_JOB_MEMORY, "job.memory", POLICY_MEMORY, SCOPE_JOB},
    [ATTR_JOB_TASKS] = {ATTR_JOB_TASKS, "job.tasks", POLICY_NUMBER, SCOPE_JOB},
    [ATTR_JOB_ESTIMATE] = {ATTR_JOB_ESTIMATE, "job.estimate", POLICY_SECONDS, SCOPE_JOB},
    [ATTR_JOB_DEADLINE] = {ATTR_JOB_DEADLINE, "job.deadline", POLICY_SECONDS, SCOPE_JOB},
    [ATTR_JOB_CLASS] = {ATTR_JOB_CLASS, "job.class", POLICY_TEXT, SCOPE_JOB},
    [ATTR_JOB_TEAM] = {ATTR_JOB_TEAM, "job.team", POLICY_TEXT, SCOPE_JOB},
    [ATTR_MACHINE_SPOT] = {ATTR_MACHINE_SPOT, "machine.spot", POLICY_BOOL, SCOPE_MACHINE},
    [ATTR_MACHINE_CPUS] = {ATTR_MACHINE_CPUS, "machine.cpus", POLICY_CPUS, SCOPE_MACHINE},
    [ATTR_MACHINE_MEMORY] = {ATTR_MACHINE_MEMORY, "machine.memory", POLICY_MEMORY, SCOPE_MACHINE},
    [ATTR_MACHINE_TYPE] = {ATTR_MACHINE_TYPE, "machine.type", POLICY_TEXT, SCOPE_MACHINE},
    [ATTR_MACHINE_ZONE] = {ATTR_MACHINE_ZONE, "machine.zone", POLICY_TEXT, SCOPE_MACHINE},
};

static const constant_info_t constants[] = {
    {"true", POLICY_BOOL, 1},       {"false", POLICY_BOOL, 0},    {"low", POLICY_PRIORITY, 0},
    {"normal", POLICY_PRIORITY, 1}, {"high", POLICY_PRIORITY, 2}, {"critical", POLICY_PRIORITY, 3}};

static const unit_info_t units[] = {{"s", POLICY_SECONDS, 1},    {"ms", POLICY_SECONDS, 0.001},
                                    {"min", POLICY_SECONDS, 60}, {"h", POLICY_SECONDS, 3600},
                                    {"cpus", POLICY_CPUS, 1},    {"gb", POLICY_MEMORY, 1}};

const tunable_info_t *policy_tunable_info(policy_tunable_t tunable)
{
    return &tunables[tunable];
}

const tunable_info_t *policy_find_tunable(const char *name)
{
    for (guint i = 0; i < TUNABLE_COUNT; i++)
        if (strcmp(name, tunables[i].name) == 0)
            return &tunables[i];
    return NULL;
}

const attribute_info_t *policy_find_attribute(const char *name)
{
    for (guint i = 0; i < ATTR_COUNT; i++)
        if (strcmp(name, attributes[i].name) == 0)
            return &attributes[i];
    return NULL;
}

const constant_info_t *policy_find_constant(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(constants); i++)
        if (strcmp(name, constants[i].name) == 0)
            return &constants[i];
    return NULL;
}

const unit_info_t *policy_find_unit(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(units); i++)
        if (strcmp(name, units[i].name) == 0)
            return &units[i];
    return NULL;
}
