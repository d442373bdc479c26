/* A partition: the machines that one controller owns in one view.
 *
 * Owns: machines, their attempts and reservations, in memory. Wanted: every recorded attempt
 * listed by its worker, every stopped or ended one gone. The caller holds the lock of the
 * controller; nothing here waits, reads a clock or does input or output.
 *
 * An attempt is taken off a machine's record only on proof that it is over and cannot still begin:
 *  - the worker reports a newer worker epoch (commands of an older one are refused there);
 *  - a heartbeat of this worker epoch lists it as exited (a late copy of its `run` has no effect
 * then, and `forget` is held back while a copy may be under way);
 *  - an ordinary heartbeat, sent under a fencing token above any under which `run` went out, lacks
 * it;
 *  - the cloud confirmed that the machine is gone.
 * Silence, a lapsed reservation, a list of machines or a refused connection is no proof. */
#ifndef PEPPERPULLEY_PARTITION_H
#define PEPPERPULLEY_PARTITION_H

#include "core/membership/ownership.h"
#include "core/partition/reservation.h"
#include "core/types.h"

/* What the leader asks a partition to place. */
typedef struct placement_request {
    char job[ID_BYTES];
    char team[LABEL_BYTES];
    char image[LABEL_BYTES];
    char zone[LABEL_BYTES]; /* empty: any */
    char **types;           /* borrowed for the call; NULL: any */
    resources_t need;
    bool spot;
    bool gang; /* its tasks stand or fall together */
    priority_t priority;
    double save_s;
    double checkpoint_s;
    uint64_t job_revision; /* of jobs/<id>, which the start's commit requires unchanged */
    bool may_preempt;      /* where no resources are free, work of lower priority may be stopped */
    bool claims_guarantee; /* the team claims its guarantee: any priority of the teams below may go
                            */
    uint64_t preemptible_teams; /* whose work may be stopped, a bit for each team of the settings */
    uint32_t task;
    uint64_t attempt;
} placement_request_t;

/* What stands in a machine's record for one attempt. */
typedef struct record_entry {
    char job[ID_BYTES];
    char team[LABEL_BYTES];
    char image[LABEL_BYTES];
    resources_t need;
    priority_t priority;
    double save_s;
    double checkpoint_s;
    uint32_t task;
    uint64_t attempt;
} record_entry_t;

/* A machine in its shard's record. entries: array of record_entry_t, owned. */
typedef struct machine_record {
    char machine[ID_BYTES];
    char address[ADDRESS_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    uint64_t worker_epoch;
    GArray *entries;
} machine_record_t;

/* machines/<page> in the key-value store: one key for several machines of a shard, since every
 * change of a key is paid for, whatever its size. machines: array of machine_record_t, owned. */
typedef struct page_record {
    char shard[SHARD_NAME_BYTES];
    guint page;
    uint64_t revision;
    GArray *machines;
} page_record_t;
GArray *machine_records_new(void);

typedef enum {
    ATTEMPT_PLACED,     /* reserved, not in the record yet */
    ATTEMPT_RECORDED,   /* `run` may go out */
    ATTEMPT_TERMINATED, /* proved over; leaves the record with the next commit (done: when
                         * acknowledged)
                         */
} attempt_phase_t;

typedef struct machine machine_t;

/* The machines of one key. It is written when something is to start or to be placed again (urgent),
 * and when it has been long enough that acknowledged results stand in it (lazy). */
typedef struct page {
    char shard[SHARD_NAME_BYTES];
    guint number;         /* in its shard */
    uint64_t revision;    /* of its key; 0: none */
    GPtrArray *machines;  /* borrowed */
    uint64_t flush_order; /* 0, or its turn: first come, first written */
    bool is_flush_deferred;
    msec_t flush_deferred_at;
    gsize size;   /* estimated bytes of its record when it was put together last; 0: never */
    bool is_full; /* a start found no room in it: it is to be divided */
    struct page *split_sibling; /* machines went from one to the other, and the record does not say
                          so yet: both are written in one transaction */
    bool is_in_batch;           /* in the commit under way */
} page_t;

/* Pages of a shard: one, until its record nears the value limit. Owns them. */
typedef struct shard {
    char name[SHARD_NAME_BYTES];
    GPtrArray *pages;
} shard_t;

typedef struct attempt {
    task_ref_t ref; /* its key */
    record_entry_t entry;
    uint64_t reservation_id; /* names its reservation */
    machine_t *machine;
    attempt_phase_t phase;
    uint64_t job_revision;
    uint64_t worker_epoch;                            /* under which it was recorded */
    bool is_in_record;                                /* the durable record has it */
    enum { BATCH_NONE, BATCH_ADD, BATCH_DROP } batch; /* what a commit under way does to it */
    bool is_listed;
    task_state_t state;
    cause_t cause;
    bool is_done_reported; /* the leader was told; it stays recorded until acknowledged */
    bool is_acknowledged;
    bool waits_for_preempted; /* for the resources of work that is being stopped */
    bool is_preempted;
    bool is_stop_requested; /* wanted: gone */
    msec_t kill_at;         /* from then on without time to save */
    msec_t listed_since_at;
} attempt_t;

struct machine {
    char id[ID_BYTES];
    char address[ADDRESS_BYTES];
    char type[LABEL_BYTES];
    char zone[LABEL_BYTES];
    bool spot;
    bool is_capacity_known;
    resources_t capacity;
    bool has_responded; /* it was heard in this view, by a heartbeat or by the answer to a probe */
    bool has_heartbeat; /* by an ordinary heartbeat */
    bool needs_probe;   /* to be asked for its state: its next heartbeat may be seconds away */
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
    uint64_t last_accepted_sequence; /* number of the newest ordinary heartbeat of this worker
                                        epoch; a copy has no higher */
    uint64_t fencing_token;
    uint64_t receipt_count; /* local count of heartbeats received */
    msec_t last_heartbeat_at;
    msec_t
        last_acknowledged_at; /* last sign that what we say arrives there; reports alone are none */
    msec_t first_seen_at;
    msec_t idle_since;
    msec_t interruption_at; /* when the cloud takes it; 0: not announced */
    bool is_draining;
    GPtrArray *attempts; /* attempt_t, owned */
    GArray *reservations;
    GHashTable *images; /* seen in use here, so probably in its cache */
    resources_t booked; /* of the last heartbeat */
    guint starting;
    guint running;
    guint errors; /* failures of jobs that run elsewhere */
    page_t *page;
    bool is_page_full;    /* alone in its page, and that is full: no more starts for now */
    bool is_push_failing; /* a pushed command did not get through since it was last reached: one
                      machine that hangs must not hold up those that don't */
    bool is_terminated;   /* the cloud confirmed it; the struct goes with its last attempt */
    bool is_push_in_flight;
    guint dispatcher_index; /* of the dispatcher that serves it, unless that is busy */
    bool is_push_queued;
    uint64_t unanswered_fencing_token; /* a direct `run` under it got no answer: a copy may still
                                          arrive */
};

/* Told to the leader: an attempt that is over. Anything but done is told after its record is gone.
 */
typedef struct attempt_result {
    task_ref_t ref;
    cause_t cause;
    char machine[ID_BYTES];
} attempt_result_t;

typedef struct partition {
    uint64_t view;
    GHashTable *machines; /* id -> machine_t, owned */
    GHashTable *shards;   /* name -> shard_t, owned */
    GHashTable *
        terminated_machines; /* ids of machines that are gone, owned: their names never come back */
    GHashTable *draining;    /* ids of machines that are to be emptied, owned */
    GHashTable *attempts;    /* task_ref_t -> attempt_t, borrowed from the machines */
    GQueue *push_queue; /* machines that want pushed commands, borrowed; first come first served */
    uint64_t last_flush_order; /* of urgent pages */
    uint64_t last_reservation_id;
    const GArray *machine_types;
    const GArray *teams;    /* team_t, in the order of placement_request_t.preempted attempts */
    GArray *results;        /* attempt_result_t, drained by the caller */
    uint64_t changes;       /* grows with whatever a round of placing or a commit should look at:
                               results, records to write, machines that open or close */
    guint round_robin_turn; /* round robin among equals */
    msec_t reservation_ttl;
    msec_t acknowledgement_timeout; /* a machine not reached for so long gets no starts and no
                                       commands */
    guint probes_in_flight;         /* probes under way */
    msec_t
        probe_delay; /* a machine that has not reported for so long since it was loaded is probed */
    bool are_starts_paused; /* no `run` goes out */
    bool has_preempted;     /* it has stopped some work for other work */
} partition_t;

partition_t *partition_new(const GArray *machine_types, const GArray *teams,
                           msec_t reservation_ttl);
void partition_free(partition_t *partition);
/* A new fencing token of the same leadership: nothing is read again. */
void partition_set_view(partition_t *partition, uint64_t view);
void partition_load(partition_t *partition, const page_record_t *record, msec_t now);
/* Machines that `earlier` was emptying are emptied on: a view changes nothing about why. Before the
 * records are loaded. */
void partition_inherit_drains(partition_t *partition, const partition_t *earlier);
/* The machine is to take no starts and be emptied, or is to be kept after all. */
void partition_set_draining(partition_t *partition, const char *id, bool is_draining);
/* The types became known or changed: capacities are looked up again. */
void partition_apply_machine_types(partition_t *partition);

/* Chooses a machine by the score and reserves; NULL: none has enough free. */
machine_t *partition_place(partition_t *partition, const placement_request_t *request, msec_t now);
/* Cpus of a team's work that is being stopped for others. */
double partition_cpus_being_preempted(const partition_t *partition, const char *team);
/* Takes back what was placed: dropped and told if it is not recorded yet, else stopped. */
void partition_withdraw(partition_t *partition, const task_ref_t *ref, msec_t now);
/* Resources that neither reports nor reservations take. */
resources_t partition_free_resources(const machine_t *machine);

/* Overtaken: older than what is known of this worker epoch, as when the answer to a pushed command
 * came first. Nothing of it is taken, but its worker waits for an answer. Unproven: the first
 * heartbeat to this partition, and from before its view, so perhaps a copy that comes minutes late;
 * nothing of it is taken, and the answer gives the worker the fencing token that its next heartbeat
 * will show. Stale: of an earlier worker epoch, or a copy of a heartbeat that came before. */
typedef enum {
    HEARTBEAT_ACCEPTED,
    HEARTBEAT_OUT_OF_ORDER,
    HEARTBEAT_UNVERIFIED,
    HEARTBEAT_DUPLICATE
} heartbeat_verdict_t;
/* A heartbeat, or the body of a pushed command's answer (direct). commands: array of
 * worker_command_t to append the answer's commands to; unused for direct ones. */
heartbeat_verdict_t partition_handle_heartbeat(partition_t *partition,
                                               const worker_heartbeat_t *heartbeat, bool is_push,
                                               msec_t now, GArray *commands);
/* A heartbeat came that could not be answered: the machine is not silent. */
void partition_record_unanswered_heartbeat(partition_t *partition,
                                           const worker_heartbeat_t *heartbeat, msec_t now);
/* Whether what we say has arrived at the machine of late, so that it may get starts. */
bool partition_is_reachable(const partition_t *partition, const machine_t *machine, msec_t now);
/* How often workers report sets what counts as fresh. */
void partition_set_heartbeat_interval(partition_t *partition, double heartbeat_interval_s);
/* Probes wait until the machine should have reported twice: where a probe of each takes longer than
 * that. */
void partition_delay_probes(partition_t *partition, double heartbeat_interval_s);
/* It executed a pushed command of this view, and what it said was taken. */
void partition_record_probe_answer(partition_t *partition, const char *id, msec_t now);
/* While cancellations may be unknown here no start is sent; what is recorded waits. */
void partition_pause_starts(partition_t *partition, bool pause);
/* The job was cancelled or is over: its attempts stop, those not yet recorded are dropped. */
void partition_end_job(partition_t *partition, const char *job);
/* Asks one attempt to stop, saving if it can. */
void partition_stop(partition_t *partition, attempt_t *attempt, msec_t now);
/* The leader has the finished bit durable. */
void partition_acknowledge(partition_t *partition, const task_ref_t *ref);
/* The cloud confirmed that the machine is gone. */
void partition_machine_terminated(partition_t *partition, const char *id);
/* Lapses reservations, empties what is being drained; once a tick. */
void partition_tick(partition_t *partition, msec_t now);

/* Commits. A batch holds the records to write (array of page_record_t; one without machines is a
 * deletion) and the jobs that must still exist. */
typedef struct partition_batch {
    GArray *records;
    GHashTable
        *jobs;   /* id -> revision (pointer-sized): conditions, so that no start follows an end */
    gsize bytes; /* estimated, of all records */
} partition_batch_t;

/* What a batch may take. */
typedef struct partition_limits {
    guint ops;       /* keys */
    guint jobs;      /* conditions on jobs */
    gsize value_max; /* bytes of a record */
    gsize bytes;     /* of all records, if there is more than one */
} partition_limits_t;
partition_batch_t *partition_batch_take(partition_t *partition, const partition_limits_t *limits,
                                        msec_t now);
void partition_batch_commit(partition_t *partition, partition_batch_t *batch, uint64_t revision,
                            msec_t now);
/* It was certainly not executed. */
void partition_batch_undo(partition_t *partition, partition_batch_t *batch);
void partition_batch_free(partition_batch_t *batch);

/* Direct commands. A machine has a dispatcher, which names the dispatcher that keeps a connection
 * to it. The next machine of these dispatchers (a bit each) that wants some, or NULL; its commands
 * are appended (none: it is only asked for its state). */
machine_t *partition_take_push(partition_t *partition, uint32_t dispatchers, msec_t now,
                               GArray *commands);
/* The dispatchers of the machines whose turn it is now, a bit each. */
uint32_t partition_due_dispatchers(const partition_t *partition, msec_t now);
typedef enum {
    PUSH_EXECUTED,
    PUSH_REFUSED,
    PUSH_DISCARDED, /* its sender stood still before it left: judged anew */
    PUSH_NOT_SENT,
    PUSH_UNANSWERED
} push_result_t;
void partition_finish_push(partition_t *partition, const char *id, const GArray *commands,
                           uint64_t fencing_token, push_result_t result);
/* Whether something waits for the fencing token to move before it can be forgotten or proved. */
bool partition_needs_new_fencing_token(const partition_t *partition);

#endif
