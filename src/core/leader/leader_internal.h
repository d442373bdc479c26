/** @file
 * What the sources of the leader share among themselves. Only included in this folder.
 *
 * As for leader.h: called with the controller's lock held. A file calls only those whose section
 * is above its own.
 */
#ifndef PEPPERPULLEY_LEADER_INTERNAL_H
#define PEPPERPULLEY_LEADER_INTERNAL_H

#include "core/leader/leader.h"

/** @name Task bitmaps (task_bitmap.c)
 * @{ */

/** Returns one bit of a bitmap. */
bool task_bitmap_get(const uint8_t *bits, uint32_t index);

/** Sets or clears one bit of a bitmap. */
void task_bitmap_set(uint8_t *bits, uint32_t index, bool value);

/** Returns the size in bytes of a bitmap with a bit for each of @p tasks. */
gsize task_bitmap_bytes(uint32_t tasks);

/** Returns the number of chunks that hold a bit for each of @p tasks. */
guint task_bitmap_chunk_count(uint32_t tasks);

/** @} */

/** @name Admission (admission.c)
 * @{ */

/** Returns the team of this name; NULL: the settings have none. @p index (may be NULL): receives
 * its index in leader_t.teams, if it is found. */
team_state_t *leader_team_find(const leader_t *leader, const char *name, guint *index);

/** Returns whether the team's limits admit one more task that needs @p need. */
bool leader_team_admits(const team_state_t *state, resources_t need);

/** Returns the number of the job's tasks that are neither done nor outstanding. */
uint32_t leader_job_pending(const job_t *job);

/** Returns whether the job admits one more outstanding task, its back-off aside: not while its end
 * is in the commit in flight, nor, after repeated failures, while it has an outstanding attempt. */
bool leader_job_admits(const job_t *job);

/** Returns whether no task of the job may be placed at @p now: it backs off, or admits none. */
bool leader_is_job_blocked(const job_t *job, msec_t now);

/** @} */

/** @name Outstanding attempts (outstanding_attempts.c)
 * @{ */

/** Counts an attempt as outstanding: for its team, its job and the job's zones. */
void leader_outstanding_add(leader_t *leader, task_ref_t ref, const char *team, resources_t need,
                            const char *zone, guint partition);

/** Removes an attempt from the outstanding ones. Returns its job if that is live, transfer none;
 * NULL: it is not, or the attempt was not outstanding. */
job_t *leader_outstanding_drop(leader_t *leader, const task_ref_t *ref);

/** @} */

/** @name Job progress (job_progress.c)
 * @{ */

/** Counts the task as done, if it is not yet. */
void leader_mark_task_done(job_t *job, uint32_t task);

/** @} */

/** @name Team queues (team_queues.c)
 * @{ */

/** A job in its team's queue. */
typedef struct queued_job {
    job_t *job;                  /**< Borrowed from the leader. */
    uint32_t starvation_minimum; /**< Outstanding tasks that it must get because it has waited long,
                                    whatever else the order; 0: this is its ordinary entry. */
    double pending_cpu_s;        /**< Cpu seconds of its pending tasks. */
    double latest_start_ms;      /**< Latest start that meets its next SLO, time of day in ms;
                                    infinite: it can meet none. */
} queued_job_t;

/** Returns the team's jobs that have pending tasks, in the order in which they are served: array of
 * queued_job_t, transfer full. @p day_ms: time of day in ms. */
GArray *leader_team_queue(const leader_t *leader, guint team, msec_t now, int64_t day_ms);

/** Returns what one task of the job takes of its team's allowance, in cpus; above 0. */
double leader_task_cost(const queued_job_t *queued);

/** Returns the next team by fair share: of the teams with entries of @p queues left from
 * @p positions on, the one that holds the fewest cpus for its weight. @p queues: by team, GArray of
 * queued_job_t. The number of teams: none has an entry left. */
guint leader_next_team_by_fair_share(const leader_t *leader, const GPtrArray *queues,
                                     const guint *positions);

/** @} */

/** @name Machine claims (machine_claims.c)
 * @{ */

/** A machine claimed for large work, round after round. */
typedef struct machine_claim {
    msec_t since_at;        /**< When its series of claims began. */
    msec_t last_claimed_at; /**< When it was claimed last. */
} machine_claim_t;

/** Claims machines for a job whose task fits nowhere: for the rest of the round they get no work of
 * lower priority. */
void leader_claim_machines(leader_t *leader, const team_state_t *state, const queued_job_t *queued,
                           msec_t now);

/** Begins a round: totals the machines, and lifts the claims of the last round. */
void leader_begin_round(leader_t *leader);

/** @} */

/** @name Failure records (failure_records.c)
 * @{ */

/** Failures on a machine since the last success there. */
typedef struct failure_record {
    guint error_count;        /**< Failed attempts. */
    char job[ID_BYTES];       /**< Id of the job whose attempt failed first. */
    bool is_machine_at_fault; /**< A failed job has tasks that were done, or more than one job
                                 failed. */
} failure_record_t;

/** Holds the job back for a while after a failure or a refusal. */
void leader_back_off_job(job_t *job, cause_t cause, msec_t now);

/** Records what the result says of its machine. @p job: the attempt's, NULL if it is not live. */
void leader_record_failure(leader_t *leader, const attempt_result_t *result, const job_t *job);

/** @} */

/** @name Leader (leader.c)
 * @{ */

/** Returns an array of @p partitions elements, each a GArray, owned, or NULL; all NULL at first.
 * Transfer full. */
GPtrArray *leader_partition_arrays_new(guint partitions);

/** @} */

/** @name Choice of a partition (partition_choice.c)
 * @{ */

/** Returns the partition with most free cpus on machines that admit a task of the job, in
 * @p partition, and the summary of the machine there that would have the least projected load with
 * it. Transfer none; NULL: no machine admits it. */
machine_summary_t *leader_choose_summary(leader_t *leader, const job_t *job, guint *partition);

/** Returns the partition with most cpus on open machines that the job allows, whoever holds them
 * now; G_MAXUINT: no partition has any, and a request would only be refused. */
guint leader_largest_partition(const leader_t *leader, const job_spec_t *spec);

/** @} */

/** @name Placement requests (placement_requests.c)
 * @{ */

/** Appends a placement request for one task of the job (for a gang: for all its pending tasks, or
 * for none) to @p requests, an array of leader_request_t. @p state: the job's team. Returns false
 * if nothing was requested. */
bool leader_request_placement(leader_t *leader, const team_state_t *state, job_t *job,
                              GArray *requests);

/** @} */

#endif
