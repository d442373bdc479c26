/** @file
 * The policy file, which holds the operators' settings: a small typed expression language.
 *
 *     name = expression;
 *
 * Each setting (tunable) has a type with a unit, a range and a default. Its expression may use
 * attributes of a job or a machine. The language has no loops, no variables and no side effects, so
 * that evaluation always terminates, in time proportional to the length of the text. A value
 * outside the tunable's range is clamped to the range, so that no expression can break the service.
 *
 * A compiled policy is read-only. Any number of threads may evaluate it at once without a lock.
 */
#ifndef PEPPERPULLEY_POLICY_H
#define PEPPERPULLEY_POLICY_H

#include <stdbool.h>

#include <glib.h>

/** Error domain of policy_compile. A message has the form "file:line:column: description". */
#define POLICY_ERROR (policy_error_quark())

/** The error codes of POLICY_ERROR. */
typedef enum {
    POLICY_ERROR_SYNTAX,    /**< The text does not follow the grammar. */
    POLICY_ERROR_SIZE,      /**< The text is too long, or an expression is nested too deeply. */
    POLICY_ERROR_UNKNOWN,   /**< An unknown setting, name or unit, or an attribute that the setting
                               may not use. */
    POLICY_ERROR_DUPLICATE, /**< A setting is assigned more than once. */
    POLICY_ERROR_TYPE,      /**< An operand or a value has the wrong type. */
    POLICY_ERROR_RANGE      /**< A constant value is out of range, or a divisor is 0. */
} policy_error_t;

/** Returns the GLib error domain that POLICY_ERROR stands for. */
GQuark policy_error_quark(void);

/** The types of expressions. */
typedef enum {
    POLICY_BOOL,     /**< A boolean, represented as 1 or 0. */
    POLICY_NUMBER,   /**< A number without a unit. */
    POLICY_SECONDS,  /**< A duration; base unit: second. */
    POLICY_CPUS,     /**< A number of processors. */
    POLICY_MEMORY,   /**< An amount of memory; base unit: GB. */
    POLICY_PRIORITY, /**< A job's priority, from 0 (low) to 3 (critical). */
    POLICY_TEXT,     /**< A text; can only be compared for equality. */
    POLICY_INVALID   /**< Type of an expression whose error is already recorded. */
} policy_type_t;

/** The settings. Their names in the language, types, ranges and defaults are in names.c. */
typedef enum {
    TUNABLE_RESERVATION_TTL, /**< How long a machine's resources stay reserved for a started task
                                that no worker heartbeat confirms. */
    TUNABLE_PLACEMENT_REQUESTS_PER_ROUND, /**< Most placement requests in a round of the leader. */
    TUNABLE_PREEMPTIONS_PER_ROUND, /**< Most placement requests of a round that may preempt. */
    TUNABLE_SCALE_OUT_HEADROOM,    /**< Capacity up to which machines are added, as a factor of the
                                      demand. */
    TUNABLE_SCALE_IN_HEADROOM,     /**< Capacity that is kept when machines are drained, as a factor
                                      of the demand. */
    TUNABLE_SCALE_OUT_MAX_WAIT,    /**< Time within which pending tasks should start. Tasks that can
                                      run one after another on the same resources within this time
                                      count once in the demand. */
    TUNABLE_SCALE_IN_DELAY,        /**< How long a surplus must last before a machine is drained. */
    TUNABLE_USE_SPOT,              /**< Whether jobs that permit spot machines run on them. */
    TUNABLE_USE_ON_DEMAND,      /**< Whether on-demand machines are added for work beyond the teams'
                                   guarantees. */
    TUNABLE_ON_DEMAND_MAX_WAIT, /**< On-demand machines beyond the guarantees are added only if the
                                   pending work would take the other machines longer than this. */
    TUNABLE_ON_DEMAND_SHARE,    /**< Most cpus of on-demand machines beyond the guarantees, as a
                                   fraction of the other machines' cpus or of the cpus that the
                                   pending work needs, whichever are more. */
    TUNABLE_PREEMPT,            /**< Whether tasks of lower priority may be preempted for a job. */
    TUNABLE_COUNT               /**< Number of tunables. */
} policy_tunable_t;

/** The attributes of a job or a machine that an expression may use. */
typedef enum {
    ATTR_JOB_PRIORITY,   /**< Priority, from 0 (low) to 3 (critical). */
    ATTR_JOB_CPUS,       /**< Cpus of a task. */
    ATTR_JOB_MEMORY,     /**< Memory of a task, GB. */
    ATTR_JOB_TASKS,      /**< Number of tasks. */
    ATTR_JOB_ESTIMATE,   /**< Estimated run time of a task, s. */
    ATTR_JOB_DEADLINE,   /**< Time from the submission to the deadline, s. */
    ATTR_JOB_CLASS,      /**< Class (text). */
    ATTR_JOB_TEAM,       /**< Team (text). */
    ATTR_MACHINE_SPOT,   /**< Whether it is a spot machine. */
    ATTR_MACHINE_CPUS,   /**< Cpus. */
    ATTR_MACHINE_MEMORY, /**< Memory, GB. */
    ATTR_MACHINE_TYPE,   /**< Machine type (text). */
    ATTR_MACHINE_ZONE,   /**< Zone (text). */
    ATTR_COUNT           /**< Number of attributes. */
} policy_attr_t;

/** The attributes' values for one evaluation. Only attributes that the tunable may use are read. */
typedef struct policy_env {
    double number[ATTR_COUNT];    /**< Values that are not texts, in the base unit of their type. */
    const char *text[ATTR_COUNT]; /**< Values that are texts; borrowed. NULL counts as empty. */
} policy_env_t;

/** A compiled policy, which has an expression for each tunable. */
typedef struct policy policy_t;

/** Returns an empty array of GError * for the errors of policy_compile (transfer full). The array
 * owns its elements. */
GPtrArray *policy_errors_new(void);

/** Compiles @p text. Tunables that it does not assign have their defaults. Returns the policy
 * (transfer full), or NULL if the text has errors. Each error is appended to @p errors, an array
 * from policy_errors_new, as a GError of POLICY_ERROR. Messages begin with @p file. */
policy_t *policy_compile(const char *file, const char *text, GPtrArray *errors);

/** Returns the policy in which each tunable has its default (transfer full). */
policy_t *policy_default(void);

/** Frees the policy. */
void policy_free(policy_t *policy);

/** Returns a tunable's value, clamped to its range, in the base unit of its type. @p env may be
 * NULL if the tunable's expression may not use attributes. */
double policy_value(const policy_t *policy, policy_tunable_t tunable, const policy_env_t *env);

#endif
