/** @file
 * Value types shared by all folders: resources, jobs, worker heartbeats and machine types.
 *
 * Nothing here or elsewhere below core/ does input or output, reads a clock or starts a thread. The
 * values have no locks of their own: the owner of a struct guards it.
 */
#ifndef PEPPERPULLEY_TYPES_H
#define PEPPERPULLEY_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "constants.h"

/** A time on the steady clock, or a duration, in milliseconds. */
typedef int64_t msec_t;

/** An amount of resources, such as the need of a task or the capacity of a machine. */
typedef struct resources {
    double cpus;   /**< Processors; fractions are allowed. */
    double gpus;   /**< Number of gpus. */
    double memory; /**< GB. */
} resources_t;

/** Priorities of jobs, in ascending order. */
typedef enum {
    PRIORITY_LOW,     /**< Claims no machines and may be preempted first. */
    PRIORITY_NORMAL,  /**< The usual priority. */
    PRIORITY_HIGH,    /**< Precedes jobs that are below their starvation minimum. */
    PRIORITY_CRITICAL /**< The highest priority. */
} priority_t;

/** How the tasks of a job depend on each other. */
typedef enum {
    KIND_ARRAY,  /**< Independent tasks. */
    KIND_GANG,   /**< All tasks start together, or none. */
    KIND_SERVICE /**< Runs until it is cancelled. */
} job_kind_t;

/** A job as its user specified it. The struct owns what @ref job_spec_clear frees. */
typedef struct job_spec {
    char id[ID_BYTES];            /**< The id: "j-" and digits. */
    char class_name[LABEL_BYTES]; /**< The job class, to which SLOs apply. */
    char team[LABEL_BYTES];       /**< Name of the team whose quota the job uses. */
    char zone[LABEL_BYTES];       /**< The only allowed zone; empty: any. */
    char image[LABEL_BYTES];      /**< The container image that its tasks run. */
    char **types;                 /**< Allowed machine types, null-terminated, owned; NULL: any. */
    job_kind_t kind;              /**< How its tasks depend on each other. */
    priority_t priority;          /**< Priority of the job. */
    uint32_t tasks;               /**< Number of tasks, 1 to TASKS_MAX_COUNT. */
    resources_t need;             /**< Resources of one task. */
    bool needs_same_zone;         /**< All tasks that run at the same time are in one zone. */
    bool needs_spread;            /**< At most half of the tasks, rounded up, are in one zone. */
    bool may_use_spot;            /**< Its tasks may run on spot machines. */
    double image_gb;              /**< Size of the image in GB. */
    double estimate_s;            /**< Expected run time of a task in seconds. */
    double checkpoint_s;          /**< Interval between a task's checkpoints in seconds; 0: none. */
    double save_s;        /**< Time that a task needs to save before it stops, in seconds. */
    double deadline_s;    /**< Deadline in seconds after submission; 0: none. */
    int64_t submitted_ms; /**< Time of submission, wall clock in milliseconds. */
} job_spec_t;

/** The state of a task attempt on its worker. */
typedef enum {
    TASK_FETCHING, /**< The worker is fetching the image. */
    TASK_RUNNING,  /**< The task is running. */
    TASK_SAVING,   /**< The task is saving after a stop command. */
    TASK_EXITED    /**< The attempt has ended; see cause_t. */
} task_state_t;

/** Why an attempt ended. The peer protocol uses the same numbers. */
typedef enum {
    CAUSE_NONE,    /**< Unknown: the attempt is proven to be over, but no report states why. */
    CAUSE_DONE,    /**< The task finished its work. */
    CAUSE_STOPPED, /**< A command stopped the task. */
    CAUSE_ERROR,   /**< The task failed. */
    CAUSE_FULL,    /**< The worker or the partition refused it: resources were not free. */
    CAUSE_IN_USE,  /**< The worker refused the start with "in_use"; treated like CAUSE_FULL. */
    CAUSE_NO_SUCH, /**< The worker answered "no_such"; counted as a failure of the job. */
    CAUSE_GANG_PEER_ENDED, /**< Another task of the same gang ended. */
    CAUSE_GANG_INCOMPLETE  /**< The gang was not complete in time. */
} cause_t;

/** One task attempt as a worker's heartbeat lists it. */
typedef struct reported_attempt {
    char job[ID_BYTES]; /**< The job's id. */
    uint32_t task;      /**< Index of the task in its job. */
    uint64_t attempt;   /**< The attempt number. */
    task_state_t state; /**< The state of the attempt on the worker. */
    cause_t cause; /**< Why the attempt ended, if state is TASK_EXITED; otherwise CAUSE_NONE. */
} reported_attempt_t;

/** A worker's periodic message to a controller. Cleared by @ref worker_heartbeat_clear. */
typedef struct worker_heartbeat {
    char machine[ID_BYTES];      /**< The machine's id. */
    char address[ADDRESS_BYTES]; /**< Address at which the worker accepts commands, "host:port". */
    char type[LABEL_BYTES];      /**< The machine type's name. */
    char zone[LABEL_BYTES];      /**< The machine's zone. */
    bool is_spot;                /**< Whether the machine is a spot machine. */
    uint64_t worker_epoch;       /**< Increases when the worker restarts or its lease expires. */
    uint64_t heartbeat_sequence; /**< Sequence number within the worker epoch. */
    uint64_t fencing_token;      /**< The highest fencing token that the worker has received. */
    double interruption_in_s;    /**< Seconds until the cloud reclaims the machine; negative: no
                                    notice. */
    GArray *attempts;            /**< Array of reported_attempt_t, owned; may be NULL. */
} worker_heartbeat_t;

/** The operations that a worker performs on command. */
typedef enum {
    COMMAND_RUN,   /**< Start the attempt. */
    COMMAND_STOP,  /**< Stop the attempt within the grace period. */
    COMMAND_FORGET /**< Remove an attempt that has exited from the worker's list. */
} worker_command_op_t;

/** Why a command is sent to a worker. Not part of the protocol. */
typedef enum {
    REASON_RECORDED,       /**< COMMAND_RUN: the attempt is in the durable record and not over. */
    REASON_STOP_REQUESTED, /**< COMMAND_STOP: the recorded attempt is to stop. */
    REASON_UNRECORDED,     /**< COMMAND_STOP: no record names the attempt. */
    REASON_JOB_ENDED,      /**< COMMAND_STOP: the job is not live. */
    REASON_EXITED          /**< COMMAND_FORGET: the attempt has exited and left the record. */
} command_reason_t;

/** One command to a worker. */
typedef struct worker_command {
    worker_command_op_t op;  /**< The operation. */
    char job[ID_BYTES];      /**< The job's id. */
    uint32_t task;           /**< Index of the task in its job. */
    uint64_t attempt;        /**< The attempt number. */
    double grace_s;          /**< For COMMAND_STOP: time that the task has to save, in seconds. */
    command_reason_t reason; /**< Why it is sent. */
} worker_command_t;

/** A machine type that the cloud offers. */
typedef struct machine_type {
    char name[LABEL_BYTES]; /**< Its name. */
    resources_t capacity;   /**< Resources of one machine of the type. */
    double price;           /**< Price of an on-demand machine, in the cloud's unit. */
    double spot_price;      /**< Current price of a spot machine, in the same unit. */
    double boot_s;          /**< Usual boot time of a machine in seconds. */
    char **zones;           /**< Zones that offer it, null-terminated, owned; NULL: none. */
} machine_type_t;

/** The SLOs of a job class: the times by which its jobs should be finished. */
typedef struct slo {
    GArray
        *deadline_multiples; /**< Array of double, owned: multiples of the deadline, ascending. */
    GArray *within_s;        /**< Array of double, owned: seconds after submission, ascending. */
} slo_t;

/** The quota of a team, from the settings. */
typedef struct team {
    char name[LABEL_BYTES]; /**< Its name. */
    double guaranteed_cpus; /**< Cpus that it gets before other teams exceed their guarantees; 0: no
                               guarantee. */
    double max_cpus;        /**< Most cpus that its tasks may use at a time; 0: no limit. */
    double guaranteed_gpus; /**< Guaranteed gpus; 0: no guarantee. */
    double max_gpus;        /**< Most gpus that its tasks may use; 0: no limit. */
} team_t;

/** Reference to one attempt at one task. A task has only one attempt at a time, so maps use the job
 * and the task without the attempt number as the key. The attempts at the tasks of a gang share one
 * attempt number, by which workers recognize the tasks of the same gang. */
typedef struct task_ref {
    char job[ID_BYTES]; /**< The job's id. */
    uint32_t task;      /**< Index of the task in its job. */
    uint64_t attempt;   /**< The attempt number: the view number and a counter within the view. */
} task_ref_t;

/** Returns the hash of a task_ref_t by job and task, for GHashTable. */
guint task_ref_hash(gconstpointer ref);

/** Returns whether two task_ref_t name the same task; ignores the attempt. For GHashTable. */
gboolean task_ref_equal(gconstpointer left, gconstpointer right);

/** Returns the reference of an attempt; @p job is copied. */
task_ref_t task_ref(const char *job, uint32_t task, uint64_t attempt);

/** Returns whether @p need fits into @p have. Amounts that differ by RESOURCE_EPSILON or less are
 * equal.
 */
static inline bool resources_fit(resources_t need, resources_t have)
{
    return need.cpus <= have.cpus + RESOURCE_EPSILON && need.gpus <= have.gpus + RESOURCE_EPSILON &&
           need.memory <= have.memory + RESOURCE_EPSILON;
}

/** Adds @p amount multiplied by @p factor to @p total. A factor of -1 subtracts the amount. */
static inline void resources_add(resources_t *total, resources_t amount, double factor)
{
    total->cpus += amount.cpus * factor;
    total->gpus += amount.gpus * factor;
    total->memory += amount.memory * factor;
}

/** Frees what the struct owns, not the struct. */
void job_spec_clear(job_spec_t *spec);

/** Frees what the struct owns, not the struct. */
void worker_heartbeat_clear(worker_heartbeat_t *heartbeat);

/** Returns whether one task of the job fits on an on-demand machine of any of the types, in a zone
 * that offers the type and that the job allows. @p machine_types: array of machine_type_t. */
bool job_spec_fits_any_type(const job_spec_t *spec, const GArray *machine_types);

/** Returns whether the job allows a machine of this type and zone, spot or on-demand, for one of
 * its tasks. Does not consider where its other tasks run. */
bool job_spec_allows(const job_spec_t *spec, const char *type, const char *zone, bool spot);

#endif
