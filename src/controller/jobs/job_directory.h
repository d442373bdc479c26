/** @file
 * The jobs known to a controller: the live jobs, the ids of jobs that have ended, and a cache of
 * terminal states.
 *
 * The directory alone decides which jobs are live. Every list of jobs/ and every reported change is
 * applied to it, whoever read it, and the data of the partition and the leader follow from it.
 * Invariant: a job that was created at or before the revision job_directory_t.revision is in
 * job_directory_t.live or has ended. A job is created once and ends once, so the answers of several
 * readers may be applied in any order.
 *
 * All functions are called with the controller's lock held, which guards the directory.
 */
#ifndef PEPPERPULLEY_JOB_DIRECTORY_H
#define PEPPERPULLEY_JOB_DIRECTORY_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/job_counts.h"
#include "io/kv_store.h"

/** The prefix of the keys of live jobs in the key-value store. */
#define JOBS_PREFIX "jobs/"

/** A job that is neither done nor cancelled. */
typedef struct live_job {
    job_spec_t spec;   /**< Owned. */
    uint64_t revision; /**< Revision of the key jobs/ID. */
} live_job_t;

/** A job's terminal state. */
typedef enum {
    TERMINAL_UNKNOWN,  /**< Not known here; the job may be live. */
    TERMINAL_DONE,     /**< All tasks are done. */
    TERMINAL_CANCELLED /**< A user cancelled it. */
} terminal_state_t;

/** The directory's state. Guarded by the controller's lock. */
typedef struct job_directory {
    GHashTable *live;      /**< Id (char *, borrowed from the value) -> live_job_t *, owned. */
    bool is_synced;        /**< Whether all of jobs/ has been read at least once. */
    uint64_t revision;     /**< Store revision up to which all changes of jobs/ are known. */
    msec_t complete_until; /**< Every job accepted or cancelled before this time (steady clock,
                              ms) is known. */
    job_counts_replica_t counts; /**< The leader's task counts per job, or those that this
                                    controller computed when it was last the leader. */
    GHashTable *terminal;        /**< Set of the ids (char *, owned) of the last TERMINAL_JOBS_COUNT
                                    jobs that ended. */
    GQueue *terminal_order;      /**< The same ids (char *, borrowed), oldest first. */
    GHashTable *terminal_states; /**< Id (char *, owned) -> terminal_state_t by GINT_TO_POINTER: a
                                    cache of at most TERMINAL_STATE_CACHE_COUNT entries. */
    cancellation_log_t cancellations; /**< The cancellations that this controller and its siblings
                                         confirmed to users. */
    pthread_cond_t cancellation_appended; /**< Broadcast when a cancellation is appended to the log;
                                             answers to peer heartbeats wait for it. */
} job_directory_t;

/** Adds a live job (@p spec is copied), unless it is known already or has ended. @p revision: the
 * revision of jobs/ID; if it is not above job_directory_t.revision, an unknown job has ended. Wakes
 * the placement loop. */
void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision);

/** Removes a job that has ended from the directory and from the data of the partition and the
 * leader. Keeps its id, so that an older list of jobs does not add it again. Wakes the placement
 * loop and the command dispatchers. */
void job_directory_remove(controller_t *controller, const char *id);

/** Records a job's terminal state. Must be called before any user is informed of that state. A
 * cancellation is also appended to the log that the siblings receive. @p is_done: true if the job
 * is done, false if it was cancelled. */
void job_directory_record_terminal(controller_t *controller, const char *id, bool is_done);

/** Applies a list of jobs/, whichever thread read it: @p entries is an array of kv_entry_t;
 * transfer none. Jobs that were created up to the list's revision and are not listed have ended;
 * their tasks in the partition are stopped even if the directory never knew the jobs. */
void job_directory_apply_list(controller_t *controller, const GArray *entries,
                              kv_coverage_t coverage);

/** Applies changes of jobs/ that a watch reported: @p changes is an array of kv_entry_t, in which a
 * NULL value means that the job has ended; transfer none. */
void job_directory_apply_changes(controller_t *controller, const GArray *changes,
                                 kv_coverage_t coverage);

/** Ends the attempts in the partition whose jobs have ended without being known to the directory.
 * Called after each list, and after records that were read before that list have been loaded. */
void job_directory_end_unknown_attempts(controller_t *controller);

#endif
