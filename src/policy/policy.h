/** @file
 * The operators' own settings: a small typed expression language.
 *
 *     name = expression;
 *
 * Each setting (tunable) has a type with a unit, a range and a default; its expression may use
 * attributes of a job or a machine. The language is total: no loops, no assignments, no side
 * effects, and evaluation takes time proportional to the text. A value outside the tunable's range
 * is clamped to it, so no expression can break the service.
 *
 * A compiled policy is read-only: any number of threads may evaluate it at once, without a lock.
 */
#ifndef PEPPERPULLEY_POLICY_H
#define PEPPERPULLEY_POLICY_H

#include <stdbool.h>

#include <glib.h>

/** Error domain of policy_compile. A message has the form "file:line:column: what is wrong". */
#define POLICY_ERROR (policy_error_quark())

/** What is wrong with a text: the codes of POLICY_ERROR. */
typedef enum {
    POLICY_ERROR_SYNTAX,    /**< The text does not follow the grammar. */
    POLICY_ERROR_SIZE,      /**< The text is too long, or nested too deeply. */
    POLICY_ERROR_UNKNOWN,   /**< An unknown setting, name or unit, or an attribute out of scope. */
    POLICY_ERROR_DUPLICATE, /**< A setting is assigned twice. */
    POLICY_ERROR_TYPE,      /**< An operand or a value has the wrong type. */
    POLICY_ERROR_RANGE      /**< A constant value is out of range, or a divisor is 0. */
} policy_error_t;

/** Returns the quark of POLICY_ERROR. */
GQuark policy_error_quark(void);

/** The types of expressions. */
typedef enum {
    POLICY_BOOL,     /**< True or false, as 1 or 0. */
    POLICY_NUMBER,   /**< A number without a unit. */
    POLICY_SECONDS,  /**< A duration; base unit: second. */
    POLICY_CPUS,     /**< An amount of processors. */
    POLICY_MEMORY,   /**< An amount of memory; base unit: GB. */
    POLICY_PRIORITY, /**< A job's priority, from 0 (low) to 3 (critical). */
    POLICY_TEXT,     /**< A text; can only be compared. */
    POLICY_FAULTY    /**< Of an expression with a fault that is already reported. */
} policy_type_t;

/** The settings. Names in the language, types, ranges and defaults are in names.c. */
typedef enum {
    TUNABLE_RESERVATION_TTL, /**< How long a start stays booked that no worker heartbeat confirms.
                              */
    TUNABLE_PLACEMENT_REQUESTS_PER_ROUND, /**< Placement requests in one round of the leader. */
    TUNABLE_PREEMPTIONS_PER_ROUND,        /**< Preemptions in one round of the leader. */
    TUNABLE_SCALE_OUT_HEADROOM,           /**< Capacity to add up to, as a factor of the demand. */
    TUNABLE_SCALE_IN_HEADROOM,            /**< Capacity to keep, as a factor of the demand. */
    TUNABLE_SCALE_OUT_PATIENCE, /**< Waiting work may share machines this long before a scale-out.
                                 */
    TUNABLE_SCALE_IN_DELAY,     /**< How long a surplus lasts before a machine is drained. */
    TUNABLE_USE_SPOT,           /**< Whether a job that permits spot machines runs on them. */
    TUNABLE_USE_ON_DEMAND,      /**< Whether on-demand machines are added beyond the guarantees. */
    TUNABLE_ON_DEMAND_PATIENCE, /**< Such machines are added if the queue takes longer than this. */
    TUNABLE_ON_DEMAND_SHARE, /**< Such machines are added up to this share of the spot cpus, or of
                                the cpus needed if these are more. */
    TUNABLE_PREEMPT,         /**< Whether work of lower priority may be preempted for a job. */
    TUNABLE_COUNT            /**< Number of tunables. */
} policy_tunable_t;

/** The attributes of a job or a machine that an expression may use. */
typedef enum {
    ATTR_JOB_PRIORITY,   /**< Priority, from 0 (low) to 3 (critical). */
    ATTR_JOB_CPUS,       /**< Cpus of a task. */
    ATTR_JOB_MEMORY,     /**< Memory of a task, GB. */
    ATTR_JOB_TASKS,      /**< Number of tasks. */
    ATTR_JOB_ESTIMATE,   /**< Estimated run time of a task, s. */
    ATTR_JOB_DEADLINE,   /**< Deadline after the submission, s. */
    ATTR_JOB_CLASS,      /**< Class (text). */
    ATTR_JOB_TEAM,       /**< Team (text). */
    ATTR_MACHINE_SPOT,   /**< Whether it is a spot machine. */
    ATTR_MACHINE_CPUS,   /**< Cpus. */
    ATTR_MACHINE_MEMORY, /**< Memory, GB. */
    ATTR_MACHINE_TYPE,   /**< Machine type (text). */
    ATTR_MACHINE_ZONE,   /**< Zone (text). */
    ATTR_COUNT           /**< Number of attributes. */
} policy_attr_t;

/** The attributes' values for one evaluation. Only those in the tunable's scope are read. */
typedef struct policy_env {
    double number[ATTR_COUNT];    /**< Of attributes that are no text, in the base unit. */
    const char *text[ATTR_COUNT]; /**< Of texts; borrowed. NULL counts as the empty text. */
} policy_env_t;

/** A compiled policy: an expression for each tunable. */
typedef struct policy policy_t;

/** Returns an empty array for policy_compile's faults (transfer full): of GError *, owned by it. */
GPtrArray *policy_faults_new(void);

/** Compiles @p text; tunables that it does not assign keep their defaults. Returns the policy
 * (transfer full), or NULL if there are faults. Each fault is appended to @p faults, an array from
 * policy_faults_new, as a GError of POLICY_ERROR. @p file names the text in messages. */
policy_t *policy_compile(const char *file, const char *text, GPtrArray *faults);

/** Returns a policy of defaults (transfer full). */
policy_t *policy_default(void);

/** Frees the policy. */
void policy_free(policy_t *policy);

/** Returns a tunable's value, clamped to its range, in the base unit of its type. @p env may be
 * NULL for a tunable without attributes. */
double policy_value(const policy_t *policy, policy_tunable_t tunable, const policy_env_t *env);

#endif
