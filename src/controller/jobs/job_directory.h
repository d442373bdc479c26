/** @file
 * The jobs that a controller knows: the live jobs, those that have ended, and the terminal states
 * that were found.
 *
 * All functions are called with the controller's lock held, which guards the directory.
 */
#ifndef PEPPERPULLEY_JOB_DIRECTORY_H
#define PEPPERPULLEY_JOB_DIRECTORY_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/job_counts.h"

/** A job that is neither done nor cancelled. */
typedef struct live_job {
    job_spec_t spec;   /**< Owned. */
    uint64_t revision; /**< The revision of jobs/ID. */
} live_job_t;

/** A job's terminal state. */
typedef enum {
    TERMINAL_UNKNOWN,  /**< Not found yet; the job may be live. */
    TERMINAL_DONE,     /**< All tasks are done. */
    TERMINAL_CANCELLED /**< A user cancelled it. */
} terminal_state_t;

/** The directory's state. Guarded by the controller's lock. */
typedef struct job_directory {
    GHashTable *live;      /**< Id (char *, borrowed from the value) -> live_job_t *, owned. */
    bool is_synced;        /**< jobs/ was read whole and is watched. */
    msec_t complete_until; /**< Every job accepted or cancelled before this moment (steady clock,
                              ms) is known. */
    job_counts_replica_t counts; /**< The leader's counts of tasks, or those that this controller
                                    made when it last led. */
    GHashTable *terminal;        /**< Set of ids (char *, owned) of jobs that have ended, the last
                                    TERMINAL_JOBS_COUNT. */
    GQueue *terminal_order;      /**< The same ids (char *, borrowed), oldest first. */
    GHashTable *terminal_states; /**< Id (char *, owned) -> terminal_state_t by GINT_TO_POINTER: a
                                    cache of TERMINAL_STATE_CACHE_COUNT at most. */
    cancellation_log_t cancellations; /**< Those that users of this controller and of its siblings
                                         were informed of. */
    pthread_cond_t cancellation_appended; /**< Broadcast when a cancellation is appended to the log;
                                             answers to peer heartbeats wait for it. */
} job_directory_t;

/** Adds a live job (@p spec is copied) at this revision of jobs/ID, unless it is known or has
 * ended. Wakes the placement loop. */
void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision);

/** Removes a job that has ended, here and from the data of partition and leader. It is remembered,
 * so that an older list of jobs does not bring it back. Wakes the placement loop and the command
 * dispatchers. */
void job_directory_remove(controller_t *controller, const char *id);

/** Records a job's terminal state. It is called before any user is informed of that state. A
 * cancellation is also appended to the log that the siblings receive. @p is_done: done, not
 * cancelled. */
void job_directory_record_terminal(controller_t *controller, const char *id, bool is_done);

#endif
