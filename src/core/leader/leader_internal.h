/** @file
 * Declarations that the source files of the leader share. Included in this folder only.
 *
 * As in leader.h, all functions are called with the controller's lock held. A source file calls
 * only functions from sections above its own.
 */
#ifndef PEPPERPULLEY_LEADER_INTERNAL_H
#define PEPPERPULLEY_LEADER_INTERNAL_H

#include "core/leader/leader.h"

/** @name Task bitmaps (task_bitmap.c)
 * @{ */

/** Returns the bit at @p index of a bitmap. */
bool task_bitmap_get(const uint8_t *bits, uint32_t index);

/** Sets the bit at @p index of a bitmap to @p value. */
void task_bitmap_set(uint8_t *bits, uint32_t index, bool value);

/** Returns the size in bytes of a bitmap for @p tasks tasks. */
gsize task_bitmap_bytes(uint32_t tasks);

/** Returns the number of chunks in a bitmap for @p tasks tasks. */
guint task_bitmap_chunk_count(uint32_t tasks);

/** @} */

/** @name Admission (admission.c)
 * @{ */

/** Returns the team with this name, or NULL if the settings have none. @p index, which may be NULL,
 * receives the team's index in leader_t.teams if the team is found. */
team_state_t *leader_find_team(const leader_t *leader, const char *name, guint *index);

/** Returns whether the team's limits permit one more task that needs the resources @p need. */
bool leader_team_admits(const team_state_t *state, resources_t need);

/** Returns the number of the job's tasks that are neither done nor outstanding. */
uint32_t leader_pending_task_count(const job_t *job);

/** Returns whether even the job's newest attempt was requested JOB_BACKOFF_MAX_MS ago or earlier,
 * or under an earlier view. */
bool leader_has_newest_lasted(const job_t *job, msec_t now);

/** Returns whether the job may have one more outstanding task at @p now; its back-off is not
 * considered. Returns false while the commit in flight contains the job's completion and, after
 * repeated failures, while the job has outstanding attempts of which the newest was requested less
 * than JOB_BACKOFF_MAX_MS ago. */
bool leader_job_admits(const job_t *job, msec_t now);

/** Returns whether no task of the job may be placed at @p now, either because the job is backing
 * off or because leader_job_admits returns false. */
bool leader_is_job_blocked(const job_t *job, msec_t now);

/** @} */

/** @name Outstanding attempts (outstanding_attempts.c)
 * @{ */

/** Counts an attempt as outstanding for its team, its job and its zone. @p team: name of the team;
 * @p need: resources that the attempt holds; @p zone: its zone, empty if it counts in none;
 * @p partition: index of the partition that handles it. */
void leader_add_outstanding(leader_t *leader, task_ref_t ref, const char *team, resources_t need,
                            const char *zone, guint partition);

/** Removes an attempt from the outstanding attempts. Returns its job (transfer none), or NULL if
 * the attempt was not outstanding, the job is not live or the job has no task with this index. */
job_t *leader_remove_outstanding(leader_t *leader, const task_ref_t *ref);

/** @} */

/** @name Job progress (job_progress.c)
 * @{ */

/** Counts the task as done unless it is already. */
void leader_mark_task_done(job_t *job, uint32_t task);

/** @} */

/** @name Team queues (team_queues.c)
 * @{ */

/** A job in its team's queue. */
typedef struct queued_job {
    job_t *job;                  /**< Borrowed from the leader. */
    uint32_t starvation_minimum; /**< Number of outstanding tasks that the job is to get because it
                                    has waited long. The entry is served early until this number is
                                    reached. 0: this is the ordinary entry of the job. */
    double pending_cpu_s;        /**< Estimated cpu seconds of its pending tasks. */
    double latest_start_ms;      /**< Latest start that meets its next SLO, wall-clock time in ms;
                                    infinite if it has no SLO or can meet none. */
} queued_job_t;

/** Returns the team's jobs that have pending tasks and are not blocked, in the order in which they
 * are served: array of queued_job_t, transfer full. @p now: steady clock. @p wall_clock_ms:
 * wall-clock time in ms. */
GArray *leader_team_queue(const leader_t *leader, guint team, msec_t now, int64_t wall_clock_ms);

/** Returns the cpus that one task of the job takes from its team's allowance; above 0. */
double leader_task_cost(const queued_job_t *queued);

/** Returns the index of the next team by fair share: among the teams that still have entries to
 * serve, the one that holds the fewest cpus in relation to its weight. Returns the number of teams
 * if no team has an entry left. @p queues: for each team, a GArray of queued_job_t. @p positions:
 * for each team, the index of its next entry to serve. */
guint leader_next_team_by_fair_share(const leader_t *leader, const GPtrArray *queues,
                                     const guint *positions);

/** @} */

/** @name Machine claims (machine_claims.c)
 * @{ */

/** The claims of one machine for large work. A series consists of claims with less than
 * CLAIM_COOLDOWN_MS between them. */
typedef struct machine_claim {
    msec_t since_at;        /**< When the current series of claims began. */
    msec_t last_claimed_at; /**< When the machine was last claimed. */
} machine_claim_t;

/** Claims machines for a job whose tasks fit on no machine now. For the rest of the round, claimed
 * machines get no work of lower priority. @p state: the job's team. */
void leader_claim_machines(leader_t *leader, const team_state_t *state, const queued_job_t *queued,
                           msec_t now);

/** Begins a placement round: computes the totals of the machines and removes the claims of the last
 * round. */
void leader_begin_round(leader_t *leader);

/** @} */

/** @name Failure records (failure_records.c)
 * @{ */

/** The failed attempts of one job on a machine. */
typedef struct failed_job {
    guint error_count;  /**< Number of failed attempts. */
    bool has_succeeded; /**< Whether the job has finished a task on any machine. */
} failed_job_t;

/** Failed attempts on a machine since the last success there. */
typedef struct failure_record {
    GHashTable *jobs; /**< Job id (char *, owned) to failed_job_t *, owned. A job that ended without
                         having finished a task is removed. */
} failure_record_t;

/** Frees a failure_record_t. For GHashTable. */
void leader_free_failure_record(gpointer data);

/** Sets the back-off of the job after an attempt that failed or was refused for @p cause. */
void leader_back_off_job(job_t *job, cause_t cause, msec_t now);

/** Updates the failure record of the machine of the result. @p job: the job of the attempt. If it
 * is NULL, because the attempt is not outstanding or its job is not live, a failure does not count:
 * it was counted before, or proves nothing about the machine. */
void leader_record_failure(leader_t *leader, const attempt_result_t *result, job_t *job);

/** Called when a job has ended. If it has finished no task, its failures were probably caused by a
 * mistake in the job, and no longer count against any machine. */
void leader_forget_failures(leader_t *leader, const job_t *job);

/** @} */

/** @name Leader (leader.c)
 * @{ */

/** Returns an array of @p partitions elements, all NULL at first. Each element is a GArray that the
 * array owns, or NULL. Transfer full. */
GPtrArray *leader_partition_arrays_new(guint partitions);

/** @} */

/** @name Choice of a partition (partition_choice.c)
 * @{ */

/** Chooses the partition with the most free cpus on machines that admit a task of the job. Stores
 * its index in @p partition, and returns the summary of its machine that has the lowest projected
 * load with the task (transfer none). Returns NULL if no machine admits the task. */
machine_summary_t *leader_choose_summary(leader_t *leader, const job_t *job, guint *partition);

/** Returns the index of the partition with the most cpus, free or in use, on machines that accept
 * starts, that the job allows and that are large enough for one of its tasks. Returns G_MAXUINT if
 * no partition has such a machine, so that a request would only be refused. */
guint leader_largest_partition(const leader_t *leader, const job_spec_t *spec);

/** @} */

/** @name Placement requests (placement_requests.c)
 * @{ */

/** Appends a placement request for one task of the job to @p requests, an array of
 * leader_request_t. For a gang, appends requests for all of its pending tasks or for none.
 * @p state: the job's team. Returns false if nothing was requested. */
bool leader_request_placement(leader_t *leader, const team_state_t *state, job_t *job,
                              GArray *requests);

/** @} */

#endif
