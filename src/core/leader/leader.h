/** @file
 * The leader's order of work: a queue for each team, served by fair share.
 *
 * Owns the live jobs with their progress, the outstanding attempts and the placement requests made.
 * It knows machines only by the summaries that their partitions hand in. Placement is projected
 * least-loaded in two steps: the leader chooses the partition by the summaries and lowers what they
 * have free by each request; the partition then chooses the machine by its score and reserves.
 *
 * Against a team's quota and a job's zones counts every attempt that is requested or recorded and
 * not proved over, those on machines that hang or can't be reached included.
 *
 * All functions are called with the controller's lock held; none waits, reads a clock or does input
 * or output.
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
    placement_request_t request; /**< Its types are borrowed from the job: copy or deliver them
                                    before the lock is released. */
} leader_request_t;

/** Returns a leader without jobs; transfer full. @p teams: array of team_t, copied. @p slos: class
 * name to slo_t *, and @p policy: both transfer none, and must outlive the leader. @p partitions:
 * their number in the view. */
leader_t *leader_new(const GArray *teams, GHashTable *slos, const policy_t *policy,
                     guint partitions);

/** Frees the leader and all that it owns. */
void leader_free(leader_t *leader);

/** Begins a view: attempt numbers are counted from its number on. */
void leader_set_view(leader_t *leader, uint64_t view);

/** Adds a live job; @p spec is copied, @p revision is that of jobs/{id}. Ignored if the job is
 * known. */
void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t revision);

/** Removes a job that is cancelled or over. Its outstanding attempts go on counting against its
 * team's quota. */
void leader_end_job(leader_t *leader, const char *id);

/** Returns the live job; NULL: there is none of this id. Transfer none, valid until the leader is
 * changed. */
const job_t *leader_find_job(const leader_t *leader, const char *id);

/** Returns how many tasks of the job are done and outstanding, without the job's id; zeros for a
 * job that is not live. */
job_counts_t leader_job_counts(const leader_t *leader, const char *id);

/** Counts an attempt that a machine's record has as outstanding. @p zone: its machine's. */
void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint partition);

/** Replaces a partition's machine summaries: array of machine_summary_t, transfer full. */
void leader_set_summaries(leader_t *leader, guint partition, GArray *summaries);

/** Replaces the cpus of each team's work that the partition is preempting: array of double in the
 * order of the teams, transfer full. */
void leader_set_cpus_being_preempted(leader_t *leader, guint partition, GArray *cpus);

/** Makes placement requests for the tasks that can be placed now, and counts them as outstanding.
 * @p now: steady clock; @p day_ms: time of day in ms. Returns an array of at most @p max_requests
 * leader_request_t (a gang, which is never divided, may exceed that). Transfer full. */
GArray *leader_schedule(leader_t *leader, msec_t now, int64_t day_ms, guint max_requests);

/** Returns whether the attempt is outstanding. */
bool leader_is_outstanding(const leader_t *leader, const task_ref_t *ref);

/** Returns the job's outstanding attempts: array of partition_attempt_t, transfer full. */
GArray *leader_outstanding(const leader_t *leader, const char *job);

/** Records that an attempt is over, or that the partition refused its placement request
 * (CAUSE_FULL). A result that came before changes nothing. */
void leader_handle_result(leader_t *leader, guint partition, const attempt_result_t *result,
                          msec_t now);

/** Returns whether the machine is quarantined, since jobs that run elsewhere fail on it: it is to
 * be drained. */
bool leader_is_quarantined(const leader_t *leader, const char *machine);

/** Returns the jobs whose counts changed after the replica's @p version of @p epoch, oldest change
 * first, at most @p max_jobs. Of another epoch, all are returned. Transfer full: cleared by
 * job_counts_update_clear. */
job_counts_update_t leader_counts(leader_t *leader, uint64_t epoch, uint64_t version,
                                  guint max_jobs);

#endif
