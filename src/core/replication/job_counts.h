/** @file
 * Numbers of done and of outstanding tasks of each live job. The leader counts them and replicates
 * the counts to the other controllers, so that every controller can answer users.
 *
 * For display only: whether a job is live, done or cancelled is never decided from these counts.
 *
 * The leader numbers each change with a version; a job keeps only the version of its newest change.
 * A replica requests the changes that are newer than its own version. A new epoch begins each time
 * the leader loads its data. A replica of another epoch receives all counts again. The caller holds
 * the controller's lock; no input or output.
 */
#ifndef PEPPERPULLEY_JOB_COUNTS_H
#define PEPPERPULLEY_JOB_COUNTS_H

#include "core/types.h"

/** The counts of one job. */
typedef struct job_counts {
    char job[ID_BYTES];   /**< Id of the job. */
    uint32_t done;        /**< Tasks that are done. */
    uint32_t outstanding; /**< Tasks with a requested or recorded attempt. */
} job_counts_t;

/** The leader's answer to a replica: the changes that are newer than the replica's version. */
typedef struct job_counts_update {
    uint64_t epoch;   /**< Epoch of the counts; 0: the sender is not the leader. */
    uint64_t version; /**< Version of the replica once this update is applied. */
    GArray *jobs;     /**< job_counts_t, owned: the jobs that changed. NULL: none. */
} job_counts_update_t;

/** Frees what @p update owns. A second call does nothing. */
void job_counts_update_clear(job_counts_update_t *update);

/** A replica of the leader's counts. */
typedef struct job_counts_replica {
    uint64_t epoch;   /**< Epoch of the counts; 0: none received yet. */
    uint64_t version; /**< Version of the newest change that was applied. */
    GHashTable *jobs; /**< Job id (char *, borrowed from the value) -> job_counts_t, owned. */
} job_counts_replica_t;

/** Initializes an empty replica. */
void job_counts_replica_init(job_counts_replica_t *replica);

/** Applies @p update, which answers a request of this replica. Each answer must be applied at most
 * once, and answers must be applied in the order of their requests. */
void job_counts_replica_apply(job_counts_replica_t *replica, const job_counts_update_t *update);

/** Sets the counts of one job. @p counts is copied. */
void job_counts_replica_set(job_counts_replica_t *replica, const job_counts_t *counts);

/** Removes the counts of @p job, if there are any. */
void job_counts_replica_remove(job_counts_replica_t *replica, const char *job);

/** Returns the counts of @p job; all zero if none are known. */
job_counts_t job_counts_replica_get(const job_counts_replica_t *replica, const char *job);

#endif
