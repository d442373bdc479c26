/* Plain values of the core. No input or output here or anywhere below core/. */
#ifndef PEPPERPULLEY_TYPES_H
#define PEPPERPULLEY_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "constants.h"

typedef int64_t msec_t; /* steady clock, milliseconds */

/* An amount of a machine: what a task takes, what a machine has. */
typedef struct {
    double cpus;
    double gpus;
    double memory;
} room_t;

typedef enum { URGENCY_LOW, URGENCY_NORMAL, URGENCY_HIGH, URGENCY_CRITICAL } urgency_t;

/* Array: independent tasks. Gang: all tasks start together, or none. Service: runs until cancelled.
 */
typedef enum { KIND_ARRAY, KIND_GANG, KIND_SERVICE } job_kind_t;

/* A job as its user described it. Owned by whoever holds the struct; job_spec_clear frees inside.
 */
typedef struct {
    char id[ID_SIZE];
    char class_name[LABEL_SIZE];
    char team[LABEL_SIZE];
    char zone[LABEL_SIZE]; /* empty: any */
    char image[LABEL_SIZE];
    char **types; /* NULL: any; else a null-terminated list */
    job_kind_t kind;
    urgency_t urgency;
    uint32_t tasks;
    room_t need;
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

typedef enum { PIECE_FETCHING, PIECE_RUNNING, PIECE_SAVING, PIECE_EXITED } piece_state_t;
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
typedef struct {
    char job[ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    piece_state_t state;
    cause_t cause;
} piece_t;

/* A worker's report. pieces: array of piece_t, owned by the report. */
typedef struct {
    char machine[ID_SIZE];
    char address[ADDRESS_SIZE];
    char type[LABEL_SIZE];
    char zone[LABEL_SIZE];
    bool spot;
    uint64_t session;
    uint64_t seq;
    uint64_t token;
    double notice_s; /* below 0: none */
    GArray *pieces;
} report_t;

typedef enum { CALL_RUN, CALL_STOP, CALL_FORGET } call_op_t;

/* One command to a worker. */
typedef struct {
    call_op_t op;
    char job[ID_SIZE];
    uint32_t task;
    uint64_t attempt;
    double grace_s;
} call_t;

/* A machine type as the cloud describes it. */
typedef struct {
    char name[LABEL_SIZE];
    room_t room;
    double price;
    double spot_price;
    double boot_s;
    char **zones;
} flavor_t;

/* When the jobs of a class should be finished, each list ascending: in multiples of the deadline
 * and in seconds. Arrays of double, owned. */
typedef struct {
    GArray *times;
    GArray *within;
} targets_t;

/* A team as the settings describe it. */
typedef struct {
    char name[LABEL_SIZE];
    double cpus;
    double cpus_max;
    double gpus;
    double gpus_max;
} team_t;

/* One attempt at one task. A task has one attempt at a time, so maps go by job and task alone; the
 * attempts of a gang's tasks share one number, by which workers know that they belong together. */
typedef struct {
    char job[ID_SIZE];
    uint32_t task;
    uint64_t attempt;
} task_ref_t;

/* Hash and equality by job and task; for GHashTable. */
guint task_ref_hash(gconstpointer ref);
gboolean task_ref_equal(gconstpointer left, gconstpointer right);
task_ref_t task_ref(const char *job, uint32_t task, uint64_t attempt);

static inline bool room_fits(room_t need, room_t have)
{
    return need.cpus <= have.cpus + EPSILON && need.gpus <= have.gpus + EPSILON &&
           need.memory <= have.memory + EPSILON;
}

static inline void room_add(room_t *to, room_t what, double times)
{
    to->cpus += what.cpus * times;
    to->gpus += what.gpus * times;
    to->memory += what.memory * times;
}

void job_spec_clear(job_spec_t *spec);
void report_clear(report_t *report);

/* Can any machine type and zone ever take one task of the job? flavors: array of flavor_t. */
bool job_spec_fits_some(const job_spec_t *spec, const GArray *flavors);
/* May a task of the job stand on such a machine (type, zone, kind), its other tasks aside? */
bool job_spec_allows(const job_spec_t *spec, const char *type, const char *zone, bool spot);

#endif
