/* How many tasks of each live job are done and outstanding: counted by the leader, and replicated
 * to the other controllers, so that every one of them can tell users. For display only: whether a
 * job is live, done or cancelled is never taken from here.
 *
 * The leader numbers its changes (a job's newest change only); a replica asks for what is newer
 * than what it has. An epoch is one loading of the leader's data: of another, all is sent anew. The
 * caller holds the lock of the controller. */
#ifndef PEPPERPULLEY_JOB_COUNTS_H
#define PEPPERPULLEY_JOB_COUNTS_H

#include "core/types.h"

typedef struct job_counts {
    char job[ID_BYTES];
    uint32_t done;
    uint32_t outstanding;
} job_counts_t;

/* What the leader answers to one that has all up to some version. */
typedef struct job_counts_update {
    uint64_t epoch; /* 0: the dispatcher does not lead */
    uint64_t version;
    GArray *jobs; /* job_counts_t, owned; NULL: none */
} job_counts_update_t;

void job_counts_update_clear(job_counts_update_t *update);

typedef struct job_counts_replica {
    uint64_t epoch;
    uint64_t version;
    GHashTable *jobs; /* id -> job_counts_t, owned */
} job_counts_replica_t;

void job_counts_replica_init(job_counts_replica_t *replica);
/* Answers to this replica's own requests only, each once and in order. */
void job_counts_replica_apply(job_counts_replica_t *replica, const job_counts_update_t *update);
void job_counts_replica_set(job_counts_replica_t *replica, const job_counts_t *counts);
void job_counts_replica_remove(job_counts_replica_t *replica, const char *job);
/* All 0 for a job of which nothing is known. */
job_counts_t job_counts_replica_get(const job_counts_replica_t *replica, const char *job);

#endif
