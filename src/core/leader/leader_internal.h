/* What the sources of the leader share among themselves. Nobody else includes it.
 *
 * As for leader.h: the caller holds the lock of the controller, nothing waits or does input or
 * output. */
#ifndef PEPPERPULLEY_LEADER_INTERNAL_H
#define PEPPERPULLEY_LEADER_INTERNAL_H

#include "core/leader/leader.h"

/* The data (leader.c). */

/* Frees an array; NULL is allowed. For containers of arrays. */
void leader_array_free(gpointer data);
/* Counts an attempt as outstanding: for its team, its job and the job's zones. */
void leader_outstanding_add(leader_t *leader, task_ref_t ref, const char *team, resources_t need,
                            const char *zone, guint partition);
/* Takes an attempt off the outstanding ones. Returns its job if that is live. */
job_t *leader_outstanding_drop(leader_t *leader, const task_ref_t *ref);

/* Job progress (leader_progress.c). */

/* One bit of a bitmap. */
bool leader_bit_get(const uint8_t *bits, uint32_t at);
void leader_bit_set(uint8_t *bits, uint32_t at, bool value);
/* Bytes of a bitmap with a bit for each task. */
gsize leader_bits_bytes(uint32_t tasks);
/* Chunks of so many tasks' bits. */
guint leader_chunk_count(uint32_t tasks);

/* Team queues and quota (leader_queues.c). */

/* A job in its team's queue. */
typedef struct queued_job {
    job_t *job;
    uint32_t starvation_minimum; /* outstanding tasks that it must get for its long wait, whatever
                      goes first; 0: a job's ordinary place */
    double work;                 /* cpu seconds not yet outstanding */
    double
        latest_start_ms; /* latest start for the next SLO, time of day in ms; infinite: none left */
} queued_job_t;

/* The team of this name; NULL: the settings have none. at (may be NULL): its index. */
team_state_t *leader_team_find(const leader_t *leader, const char *name, guint *at);
/* Whether the team's limits leave room for one more task. */
bool leader_team_admits(const team_state_t *state, resources_t need);
/* Tasks of the job that are neither done nor outstanding. */
uint32_t leader_job_pending(const job_t *job);
/* Whether none of the job's tasks may be placed now: it backs off, or is about to end. */
bool leader_is_job_blocked(const job_t *job, msec_t now);
/* The team's jobs that wait, first one first: array of queued_job_t, the caller's. */
GArray *leader_team_queue(leader_t *leader, guint team, msec_t now, int64_t day_ms);
/* What one task of the job takes of a team's turn, in cpus. */
double leader_task_cost(const queued_job_t *queued);
/* The team whose turn it is, of those with work left in queues from at[team] on; the number of
 * teams: none. */
guint leader_next_team_by_fair_share(const leader_t *leader, const GPtrArray *queues,
                                     const guint *at);

/* Machine claims (leader_claims.c). */

/* Claims machines for a job that nothing fits: until it fits, they take no work below it. */
void leader_claim_machines(leader_t *leader, const team_state_t *state, const queued_job_t *queued,
                           msec_t now);
/* A new round: what it knows of all machines, and every claim is made anew or not at all. */
void leader_begin_round(leader_t *leader);

/* Failure records (leader_failures.c). */

/* Holds the job back for a while after a failure or a refusal. */
void leader_back_off_job(job_t *job, cause_t cause, msec_t now);
/* Notes what the result says of its machine. job: the attempt's, if it is live. */
void leader_record_failure(leader_t *leader, const attempt_result_t *result, const job_t *job);

#endif
