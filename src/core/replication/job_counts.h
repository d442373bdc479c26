/** @file
 * How many tasks of each live job are done and how many are outstanding. The leader counts them and
 * replicates them to the other controllers, so that each can answer users.
 *
 * For display only: whether a job is live, done or cancelled is never taken from here.
 *
 * The leader numbers its changes; a job has the number of its newest change only. A replica
 * requests what is newer than what it has. An epoch is one loading of the leader's data: a replica
 * of another epoch is sent everything anew. The caller holds the controller's lock; no input or
 * output.
 */
#ifndef PEPPERPULLEY_JOB_COUNTS_H
#define PEPPERPULLEY_JOB_COUNTS_H

#include "core/types.h"

/** The counts of one job. */
typedef struct job_counts {
    char job[ID_BYTES];   /**< Id of the job. */
    uint32_t done;        /**< Tasks that are done. */
    uint32_t outstanding; /**< Tasks with an attempt that is requested or recorded. */
} job_counts_t;

/** What the leader answers to a replica that has everything up to some version. */
typedef struct job_counts_update {
    uint64_t epoch;   /**< Epoch of the counts; 0: the sender does not lead. */
    uint64_t version; /**< The version that the replica has with this update. */
    GArray *jobs;     /**< job_counts_t, owned: the jobs that changed. NULL: none. */
} job_counts_update_t;

/** Frees what @p update owns. A second call does nothing. */
void job_counts_update_clear(job_counts_update_t *update);

/** A replica of the leader's counts. */
typedef struct job_counts_replica {
    uint64_t epoch;   /**< Epoch of the counts; 0: none were received yet. */
    uint64_t version; /**< Version of the newest change that was applied. */
    GHashTable *jobs; /**< Job id (char *, borrowed from the value) -> job_counts_t, owned. */
} job_counts_replica_t;

/** Initializes an empty replica. */
void job_counts_replica_init(job_counts_replica_t *replica);

/** Applies @p update, an answer to this replica's own request. Each answer must be applied at most
 * once, and answers in the order of their requests. */
void job_counts_replica_apply(job_counts_replica_t *replica, const job_counts_update_t *update);

/** Sets the counts of one job. @p counts is copied. */
void job_counts_replica_set(job_counts_replica_t *replica, const job_counts_t *counts);

/** Removes the counts of @p job, if there are any. */
void job_counts_replica_remove(job_counts_replica_t *replica, const char *job);

/** Returns the counts of @p job; all zeros if nothing is known of it. */
job_counts_t job_counts_replica_get(const job_counts_replica_t *replica, const char *job);

#endif
