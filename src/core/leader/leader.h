/* The leader's order of work: one queue for each team, served in turn by shares.
 *
 * Owns: the live jobs with their progress, what each team has outstanding, and the placement
 * requests made. It knows the machines only by the machine summaries that their partitions hand in.
 * The caller holds the controller's lock.
 *
 * What counts against a team's limit and a job's zones is every attempt requested or recorded and
 * not proved over, machines that hang or can't be reached included. */
#ifndef PEPPERPULLEY_LEADER_H
#define PEPPERPULLEY_LEADER_H

#include "core/partition/partition.h"
#include "core/replication/job_counts.h"
#include "core/tunables.h"
#include "core/types.h"

/* One machine as its partition describes it to the leader. */
typedef struct machine_summary {
    char machine[ID_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    bool open; /* takes starts */
    bool draining;
    int claim_priority; /* set by the leader: work below this priority waits until something larger
                           has fitted */
    resources_t total;
    resources_t free;
    guint attempts;
    msec_t silent_ms; /* since it was last reached */
    msec_t idle_ms;   /* since it last had work */
    msec_t known_ms;  /* since the partition first knew it */
} machine_summary_t;

/* An attempt and the partition that has it. */
typedef struct partition_attempt {
    task_ref_t ref;
    guint partition;
} partition_attempt_t;

typedef struct job {
    job_spec_t spec;
    uint64_t revision; /* of jobs/<id> */
    uint8_t *done;     /* a bit a task */
    uint8_t *outstanding;
    uint32_t done_count;
    uint32_t outstanding_count;
    uint32_t cursor;         /* no pending task below it */
    GArray *chunk_revisions; /* uint64_t; 0: no key */
    uint32_t dirty_chunks;
    GArray *unacknowledged; /* partition_attempt_t: attempts whose finish is not durable yet */
    GArray *acknowledging;  /* those in the commit under way */
    msec_t dirty_since;     /* the oldest progress that is not durable */
    bool ending;            /* its end is in the commit under way */
    guint errors;           /* since the last success */
    msec_t retry_at;
    GHashTable *zone_outstanding; /* zone -> count */
    job_counts_t counts;          /* as the replicas are told */
    uint64_t counts_version;      /* of their last change; 0: none so far */
} job_t;

typedef struct team_state {
    team_t team;
    double outstanding_cpus; /* out */
    double outstanding_gpus;
    double cpus_being_preempted; /* cpus of its work that is being stopped for others */
} team_state_t;

typedef struct outstanding {
    task_ref_t ref;
    guint team;
    resources_t need;
    char zone[LABEL_BYTES];
    guint partition;
} outstanding_t;

/* A placement request for a partition. types is owned by the job: deliver before the lock is given
 * up. */
typedef struct leader_request {
    guint partition;
    placement_request_t request;
} leader_request_t;

/* A machine on which attempts failed since the last success there. */
typedef struct failure_record {
    guint errors;
    char job[ID_BYTES];       /* of the first */
    bool is_machine_at_fault; /* some failed job runs elsewhere, or more than one job failed */
} failure_record_t;

/* A machine claimed for large work, round after round. */
typedef struct machine_claim {
    msec_t since;
    msec_t last;
} machine_claim_t;

/* What a placement round knows of all machines, so that it looks at each of them only for work that
 * may fit. */
typedef struct leader_round {
    guint machines;
    guint claimed;
    resources_t most_free; /* of open machines, each resource by itself: no machine has more */
    uint64_t examined;     /* summaries looked at since the leader began */
} leader_round_t;

typedef struct leader {
    uint64_t view;
    uint64_t count;              /* attempts numbered in this view */
    GHashTable *jobs;            /* id -> job_t, owned */
    GHashTable *outstanding;     /* task_ref_t -> outstanding_t, owned */
    GArray *teams;               /* team_state_t */
    GHashTable *slos;            /* class -> slo_t, from the aims; borrowed */
    const policy_t *policy;      /* borrowed */
    GHashTable *failure_records; /* machine -> failure_record_t, owned: where work failed lately */
    GHashTable *machine_claims;  /* machine -> machine_claim_t, owned: claimed of late for work too
                                    large to fit */
    GArray *deadline_slo;        /* the SLO of a deadline that no aim names */
    GPtrArray *summaries;        /* partition -> GArray of machine_summary_t, owned */
    GPtrArray *cpus_being_preempted; /* partition -> GArray of double, a team each, owned */
    uint64_t counts_epoch;           /* set by the creator; 0: no replica is served */
    uint64_t counts_version;
    guint preempting; /* requests of this round that may stop others */
    leader_round_t round;
} leader_t;

leader_t *leader_new(const GArray *teams, GHashTable *slos, const policy_t *policy,
                     guint partitions);
void leader_free(leader_t *leader);
void leader_set_view(leader_t *leader, uint64_t view);

void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t revision);
void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t revision);
void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint partition);
void leader_end_job(leader_t *leader, const char *id);

/* Hands over a partition's machine summaries; takes ownership. */
void leader_set_summaries(leader_t *leader, guint partition, GArray *summaries);
/* Cpus of each team's work that the partition is stopping for others; takes ownership. */
void leader_set_cpus_being_preempted(leader_t *leader, guint partition, GArray *cpus);
/* Placement requests for what can be placed now; now in steady milliseconds, day_ms the time of
 * day. Returns an array of leader_request_t, at most `most`. */
GArray *leader_schedule(leader_t *leader, msec_t now, int64_t day_ms, guint most);
/* Whether the attempt is requested or recorded and not over. */
bool leader_is_outstanding(const leader_t *leader, const task_ref_t *ref);
/* An attempt is over, or a placement request was refused (CAUSE_FULL). */
void leader_handle_result(leader_t *leader, guint partition, const attempt_result_t *result,
                          msec_t now);
/* Whether the machine is taken for faulty: it is to be drained. */
bool leader_is_quarantined(const leader_t *leader, const char *machine);
/* The jobs whose counts changed after the replica's version, oldest change first, at most `most`.
 * The update is the caller's. */
job_counts_update_t leader_counts(leader_t *leader, uint64_t epoch, uint64_t version, guint most);
/* The job's outstanding attempts. Array of partition_attempt_t. */
GArray *leader_outstanding(const leader_t *leader, const char *job);

/* Resources asked for by tasks that have no machine yet, with the jobs' limits applied. */
typedef struct demand {
    job_t *job;
    guint team;
    uint32_t tasks;
} demand_t;
GArray *leader_demand(const leader_t *leader, msec_t now);

/* Progress to make durable. */
typedef struct progress {
    char job[ID_BYTES];
    bool is_job_end; /* every task is done: jobs/<id> and the chunks go, ended/<id> comes */
    uint32_t done;
    uint64_t job_revision;
    guint chunk;
    uint64_t revision;
    uint8_t *bits; /* owned; NULL when end */
    gsize bytes;
    GArray *old_revisions; /* owned; chunk revisions to delete, when end */
} progress_t;
GArray *leader_progress_new(void);
/* What a transaction has taken so far, and may take. */
typedef struct kv_txn_usage {
    guint ops;
    guint max_ops;
    guint full_ops; /* the most that max_ops grows to while nothing is written */
    gsize bytes;    /* of values */
    gsize max_bytes;
    bool has_waiting_end; /* an end needs more ops than there are yet: leave them to it */
} kv_txn_usage_t;
/* Appends the ends of jobs, then, unless an end waits, progress that has waited for min_age, within
 * the room. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          kv_txn_usage_t *usage);
/* acknowledged: array of partition_attempt_t to append the attempts to that may now be forgotten.
 */
void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *acknowledged);
void leader_progress_undo(leader_t *leader, const GArray *batch);

#endif
