/** @file
 * Plain values that all folders share: resources, jobs, workers' heartbeats, machine types.
 *
 * Nothing here or anywhere below core/ does input or output, reads a clock or starts a thread. A
 * value has no lock of its own: whoever has the struct guards it.
 */
#ifndef PEPPERPULLEY_TYPES_H
#define PEPPERPULLEY_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "constants.h"

/** A moment on the steady clock, or a duration, in milliseconds. */
typedef int64_t msec_t;

/** An amount of resources: what a task needs, what a machine has. */
typedef struct resources {
    double cpus;   /**< Processors; fractions are allowed. */
    double gpus;   /**< Accelerators. */
    double memory; /**< GB. */
} resources_t;

/** The priority of a job, ascending. */
typedef enum {
    PRIORITY_LOW,     /**< Claims no machines and may be preempted first. */
    PRIORITY_NORMAL,  /**< The usual one. */
    PRIORITY_HIGH,    /**< Goes before jobs below their starvation minimum. */
    PRIORITY_CRITICAL /**< The highest. */
} priority_t;

/** How the tasks of a job belong together. */
typedef enum {
    KIND_ARRAY,  /**< Independent tasks. */
    KIND_GANG,   /**< All tasks start together, or none. */
    KIND_SERVICE /**< Runs until it is cancelled. */
} job_kind_t;

/** A job as its user described it. What @ref job_spec_clear frees is owned by the struct. */
typedef struct job_spec {
    char id[ID_BYTES];            /**< "j-" and digits. */
    char class_name[LABEL_BYTES]; /**< The class that the SLOs name. */
    char team[LABEL_BYTES];       /**< Name of the team whose quota it uses. */
    char zone[LABEL_BYTES];       /**< The only zone allowed; empty: any. */
    char image[LABEL_BYTES];      /**< The container image that its tasks run. */
    char **types;                 /**< Machine types allowed, null-terminated, owned; NULL: any. */
    job_kind_t kind;              /**< How its tasks belong together. */
    priority_t priority;          /**< Its priority. */
    uint32_t tasks;               /**< Number of tasks, 1 to TASKS_MAX_COUNT. */
    resources_t need;             /**< Resources of one task. */
    bool needs_same_zone;         /**< All tasks that run at a time are in one zone. */
    bool needs_spread;            /**< At most half of the tasks, rounded up, are in one zone. */
    bool may_use_spot;            /**< Its tasks may run on spot machines. */
    double image_gb;              /**< Size of the image in GB. */
    double estimate_s;            /**< Expected run time of a task in seconds. */
    double checkpoint_s;          /**< Seconds between a task's checkpoints; 0: it makes none. */
    double save_s;                /**< Seconds that a task needs to save before it stops. */
    double deadline_s;            /**< Seconds after submission; 0: none. */
    int64_t submitted_ms;         /**< When it was submitted, time of day in milliseconds. */
} job_spec_t;

/** The state of a task attempt on its worker. */
typedef enum {
    TASK_FETCHING, /**< The worker fetches the image. */
    TASK_RUNNING,  /**< The task runs. */
    TASK_SAVING,   /**< A command stopped it, and it saves. */
    TASK_EXITED    /**< It is over, for the cause given. */
} task_state_t;

/** Why an attempt is over. The numbers are those of the peer protocol. */
typedef enum {
    CAUSE_NONE,    /**< Not stated: proved over without a report of how it ended. */
    CAUSE_DONE,    /**< The task finished its work. */
    CAUSE_STOPPED, /**< It was stopped by a command. */
    CAUSE_ERROR,   /**< The task failed. */
    CAUSE_FULL,    /**< The start was refused: the resources were not free. */
    CAUSE_BUSY,    /**< The worker refused the start as "in_use"; handled like CAUSE_FULL. */
    CAUSE_UNKNOWN, /**< The worker answered "no_such"; counted as an error of the job. */
    CAUSE_PEERS,   /**< Another task of the gang ended. */
    CAUSE_ALONE    /**< The gang did not gather in time. */
} cause_t;

/** One task attempt as a worker's heartbeat lists it. */
typedef struct reported_attempt {
    char job[ID_BYTES]; /**< The job's id. */
    uint32_t task;      /**< Index of the task in its job. */
    uint64_t attempt;   /**< The attempt number. */
    task_state_t state; /**< Its state on the worker. */
    cause_t cause;      /**< Why it is over, when it has exited; else CAUSE_NONE. */
} reported_attempt_t;

/** A worker heartbeat: a worker's periodic message. Cleared by @ref worker_heartbeat_clear. */
typedef struct worker_heartbeat {
    char machine[ID_BYTES];      /**< The machine's id. */
    char address[ADDRESS_BYTES]; /**< Where the worker takes commands, "host:port". */
    char type[LABEL_BYTES];      /**< The machine type's name. */
    char zone[LABEL_BYTES];      /**< The machine's zone. */
    bool is_spot;                /**< It is a spot machine. */
    uint64_t worker_epoch;       /**< Grows each time the worker starts anew. */
    uint64_t heartbeat_sequence; /**< Number of the heartbeat within the worker epoch. */
    uint64_t fencing_token;      /**< The highest view number that the worker has received. */
    double interruption_in_s;    /**< Seconds until the cloud takes it back; below 0: no notice. */
    GArray *attempts;            /**< Array of reported_attempt_t, owned; may be NULL. */
} worker_heartbeat_t;

/** What a command has a worker do. */
typedef enum {
    COMMAND_RUN,   /**< Start the attempt. */
    COMMAND_STOP,  /**< Stop the attempt within the grace period. */
    COMMAND_FORGET /**< Drop an attempt that has exited from the list. */
} worker_command_op_t;

/** One command to a worker. */
typedef struct worker_command {
    worker_command_op_t op; /**< What to do. */
    char job[ID_BYTES];     /**< The job's id. */
    uint32_t task;          /**< Index of the task in its job. */
    uint64_t attempt;       /**< The attempt number. */
    double grace_s;         /**< For a stop: seconds that the task has to save. */
} worker_command_t;

/** A machine type as the cloud describes it. */
typedef struct machine_type {
    char name[LABEL_BYTES]; /**< Its name. */
    resources_t capacity;   /**< What a machine of the type has. */
    double price;           /**< Price of an on-demand machine, in the cloud's unit. */
    double spot_price;      /**< Price of a spot machine now, in the same unit. */
    double boot_s;          /**< Seconds that a machine usually takes to boot. */
    char **zones;           /**< Zones that offer it, null-terminated, owned; NULL: none. */
} machine_type_t;

/** The SLOs of a class of jobs: when its jobs should be finished. */
typedef struct slo {
    GArray
        *deadline_multiples; /**< Array of double, owned: multiples of the deadline, ascending. */
    GArray *within_s;        /**< Array of double, owned: seconds after submission, ascending. */
} slo_t;

/** A team as the settings describe it: its quota. */
typedef struct team {
    char name[LABEL_BYTES]; /**< Its name. */
    double guaranteed_cpus; /**< Cpus that it gets before others' surplus; 0: no guarantee. */
    double max_cpus;        /**< Most cpus that its work may hold at a time; 0: no limit. */
    double guaranteed_gpus; /**< Accelerators guaranteed; 0: no guarantee. */
    double max_gpus;        /**< Most accelerators that its work may hold; 0: no limit. */
} team_t;

/** One attempt at one task. A task has one attempt at a time, so maps use job and task alone as the
 * key. The attempts of a gang's tasks share one number, by which workers recognise that they belong
 * together. */
typedef struct task_ref {
    char job[ID_BYTES]; /**< The job's id. */
    uint32_t task;      /**< Index of the task in its job. */
    uint64_t attempt;   /**< The attempt number: view number and count within the view. */
} task_ref_t;

/** Returns the hash of a task_ref_t by job and task, for GHashTable. */
guint task_ref_hash(gconstpointer ref);

/** Returns whether two task_ref_t name the same task, whatever the attempt; for GHashTable. */
gboolean task_ref_equal(gconstpointer left, gconstpointer right);

/** Returns the reference of an attempt; @p job is copied. */
task_ref_t task_ref(const char *job, uint32_t task, uint64_t attempt);

/** Returns whether @p need fits into @p have; amounts that differ by less than EPSILON are equal.
 */
static inline bool resources_fit(resources_t need, resources_t have)
{
    return need.cpus <= have.cpus + EPSILON && need.gpus <= have.gpus + EPSILON &&
           need.memory <= have.memory + EPSILON;
}

/** Adds @p amount, multiplied by @p factor, to @p total; a factor of -1 subtracts it. */
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

/** Returns whether a machine of some type and zone can take one task of the job. @p machine_types:
 * array of machine_type_t. */
bool job_spec_fits_some(const job_spec_t *spec, const GArray *machine_types);

/** Returns whether the job allows a machine of this type and zone, spot or on-demand, for one of
 * its tasks. Where its other tasks run is not considered. */
bool job_spec_allows(const job_spec_t *spec, const char *type, const char *zone, bool spot);

#endif
