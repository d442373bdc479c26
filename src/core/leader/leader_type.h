/** @file
 * The leader's data: live jobs, outstanding attempts, teams, machine summaries.
 *
 * Guarded by the controller's lock. Other folders may read the fields. Only the functions of
 * leader.h and job_progress.h change them, except for leader_t.counts_epoch, which the creator
 * sets.
 */
#ifndef PEPPERPULLEY_LEADER_TYPE_H
#define PEPPERPULLEY_LEADER_TYPE_H

#include "core/leader/machine_summary.h"
#include "core/replication/job_counts.h"
#include "core/tunables.h"
#include "core/types.h"

/** An attempt and the partition that handles it. */
typedef struct partition_attempt {
    task_ref_t ref;  /**< The attempt. */
    guint partition; /**< Index of the partition in the view. */
} partition_attempt_t;

/** A live job and its progress. Owned by leader_t.jobs. */
typedef struct job {
    job_spec_t spec;              /**< As submitted, except that may_use_spot is false if the
                                     policy rules out spot machines for the job. */
    uint64_t revision;            /**< Revision of the key jobs/ID. */
    uint8_t *done_bits;           /**< Owned; a bit for each task, set if the task is done. */
    uint8_t *outstanding_bits;    /**< Owned; a bit for each task, set if an attempt is
                                     outstanding. */
    uint32_t done_count;          /**< Number of bits set in done_bits. */
    uint32_t outstanding_count;   /**< Number of bits set in outstanding_bits. */
    uint32_t first_pending;       /**< No task below this index is pending. */
    GArray *chunk_revisions;      /**< Array of uint64_t, owned: the revision of the key of each
                                     chunk of done_bits; 0: the key does not exist. */
    uint32_t dirty_chunks;        /**< A bit for each chunk, set if it has progress that is neither
                                     durable nor in the commit in flight. */
    GArray *uncommitted_attempts; /**< Array of partition_attempt_t, owned: attempts that are done
                                     but not yet part of a commit. */
    GArray *committing_attempts; /**< Array of partition_attempt_t, owned: attempts whose completion
                                    is in the commit in flight; NULL: no commit is in flight. */
    msec_t dirty_since_at;       /**< When the oldest progress of dirty_chunks was received. */
    bool is_completion_in_flight; /**< Whether the commit in flight completes the job. */
    guint consecutive_errors;     /**< Failed attempts since the last success. */
    guint failed_machine_count;   /**< Number of machines on which attempts have failed since the
                                     last success of an attempt on any machine. */
    msec_t last_requested_at;     /**< When a task was last requested; 0: never. */
    msec_t retry_at;              /**< No task of the job is requested before this time. */
    GHashTable *zone_outstanding; /**< Zone name (char *, owned) to the number of outstanding
                                     attempts there (GINT_TO_POINTER). */
    job_counts_t counts;          /**< Counts as last published to the replicas. */
    uint64_t counts_version;      /**< Version of the last change of counts; 0: never changed. */
} job_t;

/** A team and the resources that its outstanding attempts hold. */
typedef struct team_state {
    team_t team;                 /**< Its quota, from the settings. */
    double outstanding_cpus;     /**< Cpus of its outstanding attempts. */
    double outstanding_gpus;     /**< Gpus of its outstanding attempts. */
    double cpus_being_preempted; /**< Cpus of its attempts that partitions are preempting. */
} team_state_t;

/** An outstanding attempt: it was requested or is recorded, and it is not proven to be over. It
 * counts against its team's quota and its job's zone constraints even if its machine hangs or is
 * unreachable. */
typedef struct outstanding_attempt {
    task_ref_t ref;         /**< The attempt; the key in leader_t.outstanding. */
    guint team_index;       /**< Index in leader_t.teams; G_MAXUINT: the settings no longer have
                               the team. */
    resources_t need;       /**< Resources that it holds. */
    char zone[LABEL_BYTES]; /**< Zone in which it counts; empty: none. */
    guint partition;        /**< Index of the partition that handles it. */
} outstanding_attempt_t;

/** Totals over all machines in a placement round. They allow the round to skip the search through
 * the summaries for work that cannot fit on any machine. */
typedef struct leader_round {
    guint machine_count;         /**< Number of machines of all partitions. */
    guint claimed_count;         /**< Number of machines claimed in this round. */
    resources_t max_free;        /**< For each resource, the largest free amount on any machine that
                                    accepts starts; the maxima may be of different machines. */
    uint64_t summaries_examined; /**< Number of summaries examined since leader_new. */
} leader_round_t;

/** The leader's state. */
typedef struct leader {
    uint64_t view;           /**< View number; the upper bits of attempt numbers. */
    uint64_t attempt_count;  /**< Counter of this view; the lower bits of attempt numbers. */
    GHashTable *jobs;        /**< Job id (char *, in the value) to job_t *, owned. */
    GHashTable *outstanding; /**< task_ref_t * (in the value) to outstanding_attempt_t *, owned. */
    GArray *teams;           /**< Array of team_state_t, owned; in the settings' order. */
    GHashTable *slos;        /**< Class name (char *) to slo_t *; transfer none. */
    const policy_t *policy;  /**< The operators' policy; transfer none. */
    GHashTable *failure_records; /**< Machine id (char *, owned) to failure_record_t *, owned: the
                                    machines on which an attempt failed since the last success. */
    GHashTable *quarantines;     /**< Machine id (char *, owned) to msec_t *, owned: when
                                    leader_update_quarantines found that the machine's quarantine
                                    had begun. */
    GHashTable *machine_claims;  /**< Machine id (char *, owned) to machine_claim_t *, owned: the
                                    machines that have been claimed. */
    GArray *default_deadline_multiples; /**< Array of double, owned: the single multiple 1, for
                                           classes without deadline multiples. */
    GPtrArray *summaries; /**< By partition: GArray of machine_summary_t, owned; NULL: not
                             received yet. */
    GPtrArray *cpus_being_preempted; /**< By partition: GArray of double, one for each team, owned;
                                        NULL: not received yet. */
    uint64_t counts_epoch;   /**< Epoch of the published job counts, set by the creator; 0: nothing
                                is published. */
    uint64_t counts_version; /**< Version of the last change of a job's counts. */
    guint preempting_request_count; /**< Number of requests of this round that may preempt. */
    leader_round_t round;           /**< Totals of the current round. */
} leader_t;

#endif
