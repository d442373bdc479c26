/* The operators' own settings: a small typed expression language.
 *
 *     name = expression;
 *
 * Every name has a type with a unit, a range and a default; rules may use attributes of a job or a
 * machine. The language is total: no loops, no assignments, no effects; what is compiled is
 * evaluated in time proportional to its text. A value outside its range is brought back into it, so
 * no rule can break the service. */
#ifndef PEPPERPULLEY_POLICY_H
#define PEPPERPULLEY_POLICY_H

#include <stdbool.h>

#include <glib.h>

typedef enum {
    POLICY_BOOL,
    POLICY_NUMBER,
    POLICY_SECONDS,
    POLICY_CPUS,
    POLICY_MEMORY,
    POLICY_PRIORITY,
    POLICY_TEXT,
    POLICY_FAULTY /* of an expression already complained about */
} policy_type_t;

typedef enum {
    TUNABLE_RESERVATION_TTL,
    TUNABLE_PLACEMENT_REQUESTS_PER_ROUND,
    TUNABLE_PREEMPTIONS_PER_ROUND,
    TUNABLE_SCALE_OUT_HEADROOM,
    TUNABLE_SCALE_IN_HEADROOM,
    TUNABLE_SCALE_OUT_PATIENCE,
    TUNABLE_SCALE_IN_DELAY,
    TUNABLE_USE_SPOT,
    TUNABLE_USE_ON_DEMAND,
    TUNABLE_ON_DEMAND_PATIENCE,
    TUNABLE_ON_DEMAND_SHARE,
    TUNABLE_PREEMPT,
    TUNABLE_COUNT
} policy_tunable_t;

typedef enum {
    ATTR_JOB_PRIORITY,
    ATTR_JOB_CPUS,
    ATTR_JOB_MEMORY,
    ATTR_JOB_TASKS,
    ATTR_JOB_ESTIMATE,
    ATTR_JOB_DEADLINE,
    ATTR_JOB_CLASS,
    ATTR_JOB_TEAM,
    ATTR_MACHINE_SPOT,
    ATTR_MACHINE_CPUS,
    ATTR_MACHINE_MEMORY,
    ATTR_MACHINE_TYPE,
    ATTR_MACHINE_ZONE,
    ATTR_COUNT
} policy_attr_t;

/* The attributes that a rule sees; text is borrowed. Those out of a tunable's scope are not read.
 */
typedef struct policy_env {
    double number[ATTR_COUNT];
    const char *text[ATTR_COUNT];
} policy_env_t;

typedef struct policy policy_t;

/* Compiles text; file names it in messages. faults: array of char * to append to, one for each
 * fault. NULL if there was any. */
policy_t *policy_compile(const char *file, const char *text, GPtrArray *faults);
/* The defaults alone. */
policy_t *policy_default(void);
void policy_free(policy_t *policy);
/* env may be NULL for a tunable without attributes. Booleans are 0 and 1. */
double policy_value(const policy_t *policy, policy_tunable_t tunable, const policy_env_t *env);

#endif
