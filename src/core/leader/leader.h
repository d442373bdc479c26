/** @file
 * The leader's scheduler: a queue of jobs for each team, with fair share between the teams.
 *
 * It owns the live jobs with their progress and the outstanding attempts, and makes the placement
 * requests. It knows machines only from the summaries that their partitions send. Placement is
 * projected least-loaded and has two steps. The leader chooses a partition by the summaries and
 * subtracts each request from the free resources of a summary. The partition then chooses the
 * machine by its score and reserves the resources.
 *
 * Every attempt that is requested or recorded counts against its team's quota and its job's zone
 * constraints until it is proven to be over, even if its machine hangs or is unreachable.
 *
 * All functions are called with the controller's lock held. None of them blocks, reads a clock or
 * does input or output.
 */
#ifndef PEPPERPULLEY_LEADER_H
#define PEPPERPULLEY_LEADER_H

#include "core/leader/demand.h"
#include "core/leader/job_progress.h"
#include "core/leader/leader_type.h"
#include "core/leader/machine_summary.h"
#include "core/partition/attempt_result.h"
#include "core/partition/page_record.h"
#include "core/partition/placement_request.h"
#include "core/replication/job_counts.h"

/** A placement request and the partition that is to serve it. */
typedef struct leader_request {
    guint partition;             /**< Index of the partition in the view. */
    placement_request_t request; /**< The request. Its types are borrowed from the job: copy or
                                    deliver them before the lock is released. */
} leader_request_t;

/** Returns a leader without jobs; transfer full. @p teams: array of team_t, copied. @p slos maps
 * class names to slo_t *. @p slos and @p policy: transfer none; they must outlive the leader.
 * @p partitions: number of partitions in the view. */
leader_t *leader_new(const GArray *teams, GHashTable *slos, const policy_t *policy,
                     guint partitions);

/** Frees the leader and everything that it owns. */
void leader_free(leader_t *leader);

/** Begins a view. Attempt numbers consist of the view number and a counter that restarts in each
 * view. */
void leader_set_view(leader_t *leader, uint64_t view);

/** Adds a live job. @p spec is copied; @p revision is the revision of the key jobs/ID. Does nothing
 * if the job is already known. */
void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t revision);

/** Removes a job that is cancelled or done. Its outstanding attempts still count against its team's
 * quota. */
void leader_remove_job(leader_t *leader, const char *id);

/** Returns the live job with this id, or NULL if there is none. Transfer none; valid until the
 * leader is changed. */
const job_t *leader_find_job(const leader_t *leader, const char *id);

/** Returns how many tasks of the job are done and how many are outstanding; the job id in the
 * result is left empty. Both counts are 0 if the job is not live. */
job_counts_t leader_job_counts(const leader_t *leader, const char *id);

/** Counts an attempt from a machine's record as outstanding. @p zone: zone of that machine;
 * @p partition: index of the partition that has the machine. */
void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint partition);

/** Replaces a partition's machine summaries: array of machine_summary_t, transfer full. */
void leader_set_summaries(leader_t *leader, guint partition, GArray *summaries);

/** Replaces a partition's numbers of cpus that are being preempted. @p cpus: array of double,
 * transfer full; for each team, in the order of the teams, the cpus of its attempts that the
 * partition is preempting. */
void leader_set_cpus_being_preempted(leader_t *leader, guint partition, GArray *cpus);

/** Makes placement requests for the tasks that can be placed now, and counts them as outstanding.
 * @p now: steady clock; @p wall_clock_ms: wall-clock time in ms. Returns an array of
 * leader_request_t with at most @p max_requests elements, or more if a gang, which is never split,
 * exceeds that limit. Transfer full. */
GArray *leader_schedule(leader_t *leader, msec_t now, int64_t wall_clock_ms, guint max_requests);

/** Returns whether half of the view's attempt numbers are used, so that the fencing token is to be
 * advanced: numbers beyond those of the view would belong to the next one. */
bool leader_needs_new_view(const leader_t *leader);

/** Returns whether the attempt is outstanding. */
bool leader_is_outstanding(const leader_t *leader, const task_ref_t *ref);

/** Returns the job's outstanding attempts: array of partition_attempt_t, transfer full. */
GArray *leader_outstanding_attempts(const leader_t *leader, const char *job);

/** Records that an attempt is over, or that the partition refused its placement request
 * (CAUSE_FULL). If the attempt is no longer outstanding, for example because its result arrived
 * before, only a success is recorded, for its machine. */
void leader_handle_result(leader_t *leader, guint partition, const attempt_result_t *result,
                          msec_t now);

/** Returns whether the machine is quarantined because jobs that run elsewhere fail on it. A
 * quarantined machine is to be drained. */
bool leader_is_quarantined(const leader_t *leader, const char *machine);

/** Returns the ids of the machines whose quarantine has ended since the last call (transfer full,
 * including the strings); their drains are to be cancelled. A quarantine ends when its evidence is
 * void, because a task succeeded on the machine, or a job was cancelled or failed elsewhere without
 * having finished a task; and QUARANTINE_MAX_MS after the call that found it to have begun. */
GPtrArray *leader_update_quarantines(leader_t *leader, msec_t now);

/** Returns the job counts that a replica lacks: at most @p max_jobs jobs whose counts changed after
 * the replica's @p version, oldest change first. If the replica's @p epoch is not the current one,
 * all jobs count as changed. Transfer full: cleared by job_counts_update_clear. */
job_counts_update_t leader_job_counts_since(leader_t *leader, uint64_t epoch, uint64_t version,
                                            guint max_jobs);

#endif
