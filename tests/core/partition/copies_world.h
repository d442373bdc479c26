/* A simulated cluster for random tests of late copies: workers, one partition at a time, and the
 * durable records. Messages are lost, delayed and delivered once more; tasks end, fail, are
 * cancelled and move; leases expire; views change. Every step checks the rules. */
#ifndef PEPPERPULLEY_COPIES_WORLD_H
#define PEPPERPULLEY_COPIES_WORLD_H

#include "fake_worker.h"
#include "partition_fixture.h"

enum { WORLD_MACHINES = 4, WORLD_JOBS = 6, WORLD_JOB_TASKS = 2 };

/* A push as it was sent. */
typedef struct sent_push {
    guint machine;
    uint64_t fencing_token;
    uint64_t worker_epoch;
    GArray *commands; /* of worker_command_t, owned */
} sent_push_t;

/* What the exchange between the partition and a worker has reached. */
typedef enum exchange_phase { EXCHANGE_IDLE, EXCHANGE_SENT, EXCHANGE_HANDLED } exchange_phase_t;

typedef struct world_machine {
    fake_worker_t *worker;        /* owned */
    guint checked_starts;         /* number of entries of worker->started that were checked */
    exchange_phase_t push_phase;  /* EXCHANGE_HANDLED: the worker has executed or refused it */
    sent_push_t *push;            /* the push in flight, owned by the list of copies */
    bool is_push_refused;         /* valid if push_phase is EXCHANGE_HANDLED */
    worker_heartbeat_t answer;    /* to the push; owned if push_phase is EXCHANGE_HANDLED */
    exchange_phase_t hello_phase; /* EXCHANGE_HANDLED: the answer is on its way to the worker */
    worker_heartbeat_t heartbeat; /* owned if hello_phase is EXCHANGE_SENT */
    uint64_t answer_token;        /* valid if hello_phase is EXCHANGE_HANDLED */
    uint64_t answer_epoch;        /* the worker epoch of the heartbeat that is answered */
    bool is_answer_counted;       /* whether the heartbeat that is answered was accepted */
    GArray *answer_commands;      /* of worker_command_t, owned */
} world_machine_t;

typedef struct world_job {
    char id[ID_BYTES];
    bool is_cancelled;
    bool is_end_known; /* whether the partition knows of the cancellation */
    bool is_finished[WORLD_JOB_TASKS];
    uint64_t attempts[WORLD_JOB_TASKS]; /* the outstanding attempts; 0: none */
} world_job_t;

typedef struct world {
    const partition_fixture_t *fixture; /* machine types and teams; borrowed */
    GRand *random;
    guint seed;
    guint step;
    msec_t now;
    uint64_t view;
    uint64_t revision;
    uint64_t last_attempt;
    guint last_job;
    partition_t *partition;
    world_machine_t machines[WORLD_MACHINES];
    world_job_t jobs[WORLD_JOBS];
    GHashTable *pages;     /* name -> page_record_t, both owned: the durable records */
    GPtrArray *copies;     /* of sent_push_t, owned: each may be delivered once more at any time */
    GPtrArray *heartbeats; /* of worker_heartbeat_t, owned: each may arrive once more, or late */
    GHashTable *started;   /* names of attempts that a worker has started */
    GHashTable *over;      /* names of attempts that the partition reported as over */
    GHashTable *listed; /* name of an exited attempt that the partition no longer knows -> number of
                           answered heartbeats that listed it in this view */
    guint copies_delivered;
    guint attempts_started;
} world_t;

world_t *world_new(const partition_fixture_t *fixture, guint seed);
void world_free(world_t *world);
/* Carries out one random event and checks that no task is on two machines, that no attempt starts
 * twice or after it was reported as over, and that exited attempts are forgotten in time. Fails the
 * test otherwise. */
void world_play_step(world_t *world);

/* Each carries out the next step of an exchange with a random worker: a push, a copy of an earlier
 * push, a heartbeat, a copy of an earlier heartbeat. */
void world_play_push(world_t *world);
void world_play_copy(world_t *world);
void world_play_heartbeat(world_t *world);
void world_play_heartbeat_copy(world_t *world);
/* Abandon an exchange. */
void world_machine_drop_push(world_machine_t *machine);
void world_machine_drop_heartbeat(world_machine_t *machine);

/* Returns true in that share of all calls. */
bool world_chance(world_t *world, guint percent);
/* Returns a random number below count. */
guint world_pick(world_t *world, guint count);
/* Returns the job, or NULL if it is over and was replaced. */
world_job_t *world_find_job(world_t *world, const char *id);
/* Returns the name of an attempt (transfer full). */
char *world_attempt_name(const char *job, uint32_t task, uint64_t attempt);
/* Fails the test because of the attempt or job with that name. */
void world_fail(const world_t *world, const char *what, const char *name);

#endif
