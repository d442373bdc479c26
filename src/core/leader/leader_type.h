/** @file
 * The leader's data: live jobs, outstanding attempts, teams, machine summaries.
 *
 * Guarded by the controller's lock. Other folders may read the fields; the functions of leader.h
 * and job_progress.h alone change them, but for leader_t.counts_epoch.
 */
#ifndef PEPPERPULLEY_LEADER_TYPE_H
#define PEPPERPULLEY_LEADER_TYPE_H

#include "core/leader/machine_summary.h"
#include "core/replication/job_counts.h"
#include "core/tunables.h"
#include "core/types.h"

/** An attempt and the partition that has it. */
typedef struct partition_attempt {
    task_ref_t ref;  /**< The attempt. */
    guint partition; /**< Index of the partition in the view. */
} partition_attempt_t;

/** A live job and its progress. Owned by leader_t.jobs. */
typedef struct job {
    job_spec_t spec;            /**< As submitted; spot as the operators' settings left it. */
    uint64_t revision;          /**< Revision of the key jobs/{id}. */
    uint8_t *done_bits;         /**< Owned; a bit for each task: it is done. */
    uint8_t *outstanding_bits;  /**< Owned; a bit for each task: an attempt is outstanding. */
    uint32_t done_count;        /**< Bits set in done_bits. */
    uint32_t outstanding_count; /**< Bits set in outstanding_bits. */
    uint32_t first_pending;     /**< No task below this index is pending. */
    GArray *chunk_revisions;    /**< Array of uint64_t, owned: for each chunk of done_bits the
                                   revision of its key; 0: no key. */
    uint32_t dirty_chunks;      /**< A bit for each chunk with progress that is not durable. */
    GArray *unacknowledged;     /**< Array of partition_attempt_t, owned: attempts that are done and
                                   in no commit yet. */
    GArray *acknowledging;      /**< Array of partition_attempt_t, owned: those in the commit in
                                   flight; NULL: none is in flight. */
    msec_t dirty_since_at;      /**< When the oldest progress that is not durable came in. */
    bool is_ending;             /**< Its end is in the commit in flight. */
    guint consecutive_errors;   /**< Failures since its last success. */
    msec_t retry_at;            /**< Until then none of its tasks is requested. */
    GHashTable *zone_outstanding; /**< Zone name (char *, owned) to the number of outstanding
                                     attempts there (GINT_TO_POINTER). */
    job_counts_t counts;          /**< Its counts as last published to the replicas. */
    uint64_t counts_version;      /**< Version of the last change of counts; 0: never changed. */
} job_t;

/** A team and what its outstanding attempts hold. */
typedef struct team_state {
    team_t team;                 /**< Its quota, from the settings. */
    double outstanding_cpus;     /**< Cpus of its outstanding attempts. */
    double outstanding_gpus;     /**< Accelerators of its outstanding attempts. */
    double cpus_being_preempted; /**< Cpus of its work that partitions are preempting. */
} team_state_t;

/** An outstanding attempt: requested or recorded, and not proved over. It counts against its team's
 * quota and its job's zones even when its machine hangs or can't be reached. */
typedef struct outstanding {
    task_ref_t ref;         /**< The attempt; the key in leader_t.outstanding. */
    guint team_index;       /**< Index in leader_t.teams; G_MAXUINT: the settings no longer have
                               the team. */
    resources_t need;       /**< What it holds. */
    char zone[LABEL_BYTES]; /**< The zone that it counts for; empty: none. */
    guint partition;        /**< Index of the partition that has it. */
} outstanding_t;

/** What a placement round knows of all machines, so that it examines single summaries only for work
 * that may fit. */
typedef struct leader_round {
    guint machine_count;   /**< Machines of all partitions. */
    guint claimed_count;   /**< Machines claimed in this round. */
    resources_t most_free; /**< Over the open machines, each resource by itself: no machine has
                              more of it free. */
    uint64_t summaries_examined; /**< Summaries examined since the leader was made. */
} leader_round_t;

/** The leader. */
typedef struct leader {
    uint64_t view;               /**< View number, the upper bits of attempt numbers. */
    uint64_t attempt_count;      /**< Attempt numbers given out in this view. */
    GHashTable *jobs;            /**< Job id (char *, in the value) to job_t *, owned. */
    GHashTable *outstanding;     /**< task_ref_t * (in the value) to outstanding_t *, owned. */
    GArray *teams;               /**< Array of team_state_t, owned; in the settings' order. */
    GHashTable *slos;            /**< Class name (char *) to slo_t *; transfer none. */
    const policy_t *policy;      /**< The operators' policy; transfer none. */
    GHashTable *failure_records; /**< Machine id (char *, owned) to failure_record_t *, owned: where
                                    attempts failed since the last success. */
    GHashTable *machine_claims;  /**< Machine id (char *, owned) to machine_claim_t *, owned:
                                    machines claimed in recent rounds. */
    GArray *deadline_slo;        /**< Array of double, owned: the deadline multiples of a class
                                    whose SLOs name none, which is the deadline itself. */
    GPtrArray *summaries;        /**< By partition: GArray of machine_summary_t, owned; NULL: not
                                    received yet. */
    GPtrArray *cpus_being_preempted; /**< By partition: GArray of double, one for each team, owned;
                                        NULL: not received yet. */
    uint64_t counts_epoch;   /**< Epoch of the published job counts, set by the creator; 0: nothing
                                is published. */
    uint64_t counts_version; /**< Version of the last change of a job's counts. */
    guint preempting_request_count; /**< Requests of this round that may preempt. */
    leader_round_t round;           /**< Totals of the current round. */
} leader_t;

#endif
