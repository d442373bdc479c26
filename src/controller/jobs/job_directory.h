/* The jobs that a controller knows: the live ones, those that are over, and which final states
 * users were told. Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_JOB_DIRECTORY_H
#define PEPPERPULLEY_JOB_DIRECTORY_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/job_counts.h"

typedef struct live_job {
    job_spec_t spec;   /* owned */
    uint64_t revision; /* of jobs/<id> */
} live_job_t;

/* A job's final state. */
typedef enum { TERMINAL_UNKNOWN, TERMINAL_DONE, TERMINAL_CANCELLED } terminal_state_t;

typedef struct job_directory {
    GHashTable *live;      /* id -> live_job_t, owned */
    bool is_synced;        /* jobs/ was read whole and is watched */
    msec_t complete_until; /* every job accepted or cancelled before this moment is known */
    job_counts_replica_t
        counts;             /* of the leader, or as counted here when this controller last led */
    GHashTable *terminal;   /* ids of jobs that are over, owned; bounded */
    GQueue *terminal_order; /* the same ids, borrowed; oldest first */
    GHashTable *terminal_states;      /* id -> terminal_state_t; a bounded cache of final states */
    cancellation_log_t cancellations; /* those that this controller and its siblings confirmed */
    pthread_cond_t cancellation_appended; /* broadcast for each; heartbeat answers wait for it */
} job_directory_t;

/* Adds a live job, unless it is known or is over. Called with the lock held. */
void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision);
/* Removes a job that is over for good: no older list of jobs brings it back. Called with the lock
 * held. */
void job_directory_remove(controller_t *controller, const char *id);
/* Records a job's final state before any user can be told of it, a cancellation for the siblings
 * too. Called with the lock held. */
void job_directory_record_terminal(controller_t *controller, const char *id, bool done);

#endif
