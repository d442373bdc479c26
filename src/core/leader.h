/* The leader's order of work: one queue for each team, served in turn by shares.
 *
 * Owns: the live jobs with their progress, what each team has out, and the offers made. It knows
 * the machines only by the rows that their parts hand in. The caller holds the node's lock.
 *
 * What counts against a team's limit and a job's zones is every attempt offered or recorded and not
 * proved over, machines that hang or can't be reached included. */
#ifndef PEPPERPULLEY_LEADER_H
#define PEPPERPULLEY_LEADER_H

#include "core/knobs.h"
#include "core/part.h"
#include "core/types.h"

/* One machine as its part sums it up for the leader. */
typedef struct {
    char machine[ID_SIZE];
    char type[LABEL_SIZE];
    char zone[LABEL_SIZE];
    bool spot;
    bool open; /* takes starts */
    bool draining;
    int held; /* the leader's: work below this urgency waits until something larger has fitted */
    room_t total;
    room_t free;
    guint attempts;
    msec_t silent_ms; /* since it was last reached */
    msec_t idle_ms;   /* since it last had work */
    msec_t known_ms;  /* since the part first knew it */
} machine_row_t;

/* An attempt that its part may forget once its finish is durable. */
typedef struct {
    task_ref_t ref;
    guint part;
} settle_t;

typedef struct {
    job_spec_t spec;
    uint64_t stamp; /* of jobs/<id> */
    uint8_t *done;  /* a bit a task */
    uint8_t *live;
    uint32_t n_done;
    uint32_t n_live;
    uint32_t cursor;      /* no pending task below it */
    GArray *chunk_stamps; /* uint64_t; 0: no key */
    uint32_t dirty_chunks;
    GArray *unsettled;  /* settle_t: attempts whose finish is not durable yet */
    GArray *settling;   /* those in the commit under way */
    msec_t dirty_since; /* the oldest progress that is not durable */
    bool ending;        /* its end is in the commit under way */
    guint errors;       /* since the last success */
    msec_t retry_at;
    GHashTable *zone_live; /* zone -> count */
} job_t;

typedef struct {
    team_t team;
    double cpus; /* out */
    double gpus;
    double yielding; /* cpus of its work that is being stopped for others */
} team_state_t;

typedef struct {
    task_ref_t ref;
    guint team;
    room_t need;
    char zone[LABEL_SIZE];
    guint part;
} live_t;

/* An offer for a part. types is owned by the job: deliver before the lock is given up. */
typedef struct {
    guint part;
    offer_t offer;
} leader_offer_t;

/* A machine on which attempts failed since the last success there. */
typedef struct {
    guint errors;
    char job[ID_SIZE]; /* of the first */
    bool sound;        /* some failed job runs elsewhere, or more than one job failed */
} suspect_t;

/* A machine held for large work, round after round. */
typedef struct {
    msec_t since;
    msec_t last;
} hold_t;

typedef struct {
    uint64_t view;
    uint64_t count;         /* attempts numbered in this view */
    GHashTable *jobs;       /* id -> job_t, owned */
    GHashTable *live;       /* task_ref_t -> live_t, owned */
    GArray *teams;          /* team_state_t */
    GHashTable *targets;    /* class -> targets_t, from the aims; borrowed */
    const policy_t *policy; /* borrowed */
    GHashTable *suspects;   /* machine -> suspect_t, owned: where work failed lately */
    GHashTable *holds;      /* machine -> hold_t, owned: held of late for work too large to fit */
    GArray *once;           /* the target of a deadline that no aim names */
    GPtrArray *rows;        /* part -> GArray of machine_row_t, owned */
    GPtrArray *yields;      /* part -> GArray of double, a team each, owned */
    guint preempting;       /* offers of this round that may stop others */
} leader_t;

leader_t *leader_new(const GArray *teams, GHashTable *targets, const policy_t *policy, guint parts);
void leader_free(leader_t *leader);
void leader_set_view(leader_t *leader, uint64_t view);

void leader_add_job(leader_t *leader, const job_spec_t *spec, uint64_t stamp);
void leader_load_chunk(leader_t *leader, const char *id, guint chunk, const uint8_t *bits,
                       gsize bytes, uint64_t stamp);
void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint part);
void leader_end_job(leader_t *leader, const char *id);

/* Hands over a part's rows; takes ownership. */
void leader_set_rows(leader_t *leader, guint part, GArray *rows);
/* Cpus of each team's work that the part is stopping for others; takes ownership. */
void leader_set_yielding(leader_t *leader, guint part, GArray *cpus);
/* Offers for what can be placed now; now in steady milliseconds, day_ms the time of day.
 * Returns an array of leader_offer_t, at most `most`. */
GArray *leader_schedule(leader_t *leader, msec_t now, int64_t day_ms, guint most);
/* Whether the attempt is offered or recorded and not over. */
bool leader_is_out(const leader_t *leader, const task_ref_t *ref);
/* An attempt is over, or an offer was refused (CAUSE_FULL). */
void leader_outcome(leader_t *leader, guint part, const outcome_t *outcome, msec_t now);
/* Whether the machine is taken for faulty: it is to be drained, and not kept. */
bool leader_condemns(const leader_t *leader, const char *machine);
/* Attempts of the job that are out. Array of settle_t. */
GArray *leader_out(const leader_t *leader, const char *job);

/* Room asked for by tasks that have no machine yet, with the jobs' limits applied. */
typedef struct {
    job_t *job;
    guint team;
    uint32_t tasks;
} demand_t;
GArray *leader_demand(const leader_t *leader, msec_t now);

/* Progress to make durable. */
typedef struct {
    char job[ID_SIZE];
    bool end; /* every task is done: jobs/<id> and the chunks go, ended/<id> comes */
    uint32_t done;
    uint64_t job_stamp;
    guint chunk;
    uint64_t stamp;
    uint8_t *bits; /* owned; NULL when end */
    gsize bytes;
    GArray *old_stamps; /* owned; chunk stamps to delete, when end */
} progress_t;
GArray *leader_progress_new(void);
/* What a transaction has taken so far, and may take. */
typedef struct {
    guint ops, max_ops;
    gsize bytes, max_bytes; /* of values */
} txn_room_t;
/* Appends the ends of jobs, then progress that has waited for min_age, within the room. */
void leader_progress_take(leader_t *leader, msec_t now, msec_t min_age, GArray *batch,
                          txn_room_t *room);
/* settled: array of settle_t to append the attempts to that may now be forgotten. */
void leader_progress_commit(leader_t *leader, const GArray *batch, uint64_t revision,
                            GArray *settled);
void leader_progress_undo(leader_t *leader, const GArray *batch);

#endif
