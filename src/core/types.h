/* Plain values of the core. No input or output here or anywhere below core/. */
#ifndef PEPPERPULLEY_TYPES_H
#define PEPPERPULLEY_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "constants.h"

typedef int64_t msec_t; /* steady clock, milliseconds */

/* An amount of a machine: what a task takes, what a machine has. */
typedef struct resources {
    double cpus;
    double gpus;
    double memory;
} resources_t;

typedef enum { PRIORITY_LOW, PRIORITY_NORMAL, PRIORITY_HIGH, PRIORITY_CRITICAL } priority_t;

/* Array: independent tasks. Gang: all tasks start together, or none. Service: runs until cancelled.
 */
typedef enum { KIND_ARRAY, KIND_GANG, KIND_SERVICE } job_kind_t;

/* A job as its user described it. Owned by whoever holds the struct; job_spec_clear frees inside.
 */
typedef struct job_spec {
    char id[ID_BYTES];
    char class_name[LABEL_BYTES];
    char team[LABEL_BYTES];
    char zone[LABEL_BYTES]; /* empty: any */
    char image[LABEL_BYTES];
    char **types; /* NULL: any; else a null-terminated list */
    job_kind_t kind;
    priority_t priority;
    uint32_t tasks;
    resources_t need;
    bool same_zone;
    bool spread;
    bool spot;
    double image_gb;
    double estimate_s;
    double checkpoint_s;
    double save_s;
    double deadline_s;    /* 0: none */
    int64_t submitted_ms; /* time of day */
} job_spec_t;

typedef enum { TASK_FETCHING, TASK_RUNNING, TASK_SAVING, TASK_EXITED } task_state_t;
typedef enum {
    CAUSE_NONE,
    CAUSE_DONE,
    CAUSE_STOPPED,
    CAUSE_ERROR,
    CAUSE_FULL,
    CAUSE_BUSY,
    CAUSE_UNKNOWN,
    CAUSE_PEERS, /* another task of the gang ended */
    CAUSE_ALONE  /* the gang did not gather in time */
} cause_t;

/* One task attempt as a worker lists it. */
typedef struct reported_attempt {
    char job[ID_BYTES];
    uint32_t task;
    uint64_t attempt;
    task_state_t state;
    cause_t cause;
} reported_attempt_t;

/* A worker's heartbeat. attempts: array of reported_attempt_t, owned by the heartbeat. */
typedef struct worker_heartbeat {
    char machine[ID_BYTES];
    char address[ADDRESS_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
    uint64_t fencing_token;
    double interruption_in_s; /* below 0: none */
    GArray *attempts;
} worker_heartbeat_t;

typedef enum { COMMAND_RUN, COMMAND_STOP, COMMAND_FORGET } worker_command_op_t;

/* One command to a worker. */
typedef struct worker_command {
    worker_command_op_t op;
    char job[ID_BYTES];
    uint32_t task;
    uint64_t attempt;
    double grace_s;
} worker_command_t;

/* A machine type as the cloud describes it. */
typedef struct machine_type {
    char name[LABEL_BYTES];
    resources_t capacity;
    double price;
    double spot_price;
    double boot_s;
    char **zones;
} machine_type_t;

/* When the jobs of a class should be finished, each list ascending: in multiples of the deadline
 * and in seconds. Arrays of double, owned. */
typedef struct slos {
    GArray *deadline_multiples;
    GArray *within_s;
} slo_t;

/* A team as the settings describe it. */
typedef struct team {
    char name[LABEL_BYTES];
    double guaranteed_cpus;
    double max_cpus;
    double guaranteed_gpus;
    double max_gpus;
} team_t;

/* One attempt at one task. A task has one attempt at a time, so maps go by job and task alone; the
 * attempts of a gang's tasks share one number, by which workers know that they belong together. */
typedef struct task_ref {
    char job[ID_BYTES];
    uint32_t task;
    uint64_t attempt;
} task_ref_t;

/* Hash and equality by job and task; for GHashTable. */
guint task_ref_hash(gconstpointer ref);
gboolean task_ref_equal(gconstpointer left, gconstpointer right);
task_ref_t task_ref(const char *job, uint32_t task, uint64_t attempt);

static inline bool resources_fit(resources_t need, resources_t have)
{
    return need.cpus <= have.cpus + EPSILON && need.gpus <= have.gpus + EPSILON &&
           need.memory <= have.memory + EPSILON;
}

static inline void resources_add(resources_t *to, resources_t what, double times)
{
    to->cpus += what.cpus * times;
    to->gpus += what.gpus * times;
    to->memory += what.memory * times;
}

void job_spec_clear(job_spec_t *spec);
void worker_heartbeat_clear(worker_heartbeat_t *heartbeat);

/* Can any machine type and zone ever take one task of the job? machine_types: array of
 * machine_type_t. */
bool job_spec_fits_some(const job_spec_t *spec, const GArray *machine_types);
/* May a task of the job stand on such a machine (type, zone, kind), its other tasks aside? */
bool job_spec_allows(const job_spec_t *spec, const char *type, const char *zone, bool spot);

#endif
