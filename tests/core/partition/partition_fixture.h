/* A partition with one worker, m-000001 of type t16 (16 cpus), which has seen its view. */
#ifndef PEPPERPULLEY_PARTITION_FIXTURE_H
#define PEPPERPULLEY_PARTITION_FIXTURE_H

#include "core/partition/partition.h"
#include "core/partition/partition_internal.h"
#include "fake_worker.h"

typedef struct partition_fixture {
    GArray *machine_types; /* machine_type_t */
    GArray *teams;         /* team_t; empty */
    partition_t *partition;
    fake_worker_t *worker;
    GArray *commands;  /* worker_command_t of the last answer, or push */
    uint64_t revision; /* of the last commit */
    msec_t now;
} partition_fixture_t;

/* For cmocka: the fixture is *state. */
int partition_fixture_set_up(void **state);
int partition_fixture_tear_down(void **state);

/* A partition of the given view without machines, as the fixture's. */
partition_t *partition_fixture_partition(const partition_fixture_t *fixture, uint64_t view);
/* The worker's machine (transfer none); NULL: the partition does not know it. */
machine_t *fixture_machine(const partition_fixture_t *fixture);

/* Hands a heartbeat (cleared afterwards), or the answer to a push, to the partition. */
heartbeat_verdict_t deliver_heartbeat(partition_fixture_t *fixture, worker_heartbeat_t *heartbeat,
                                      bool is_push_answer);
/* One heartbeat of the worker, accepted and answered; a second passes. */
void exchange_heartbeat(partition_fixture_t *fixture);

placement_request_t placement_request_of(const char *job, uint32_t task, uint64_t attempt,
                                         double cpus);
/* Places an attempt of 4 cpus. */
void place_task(partition_fixture_t *fixture, const char *job, uint32_t task, uint64_t attempt);
partition_batch_t *take_batch(partition_fixture_t *fixture);
/* Commits what is due. */
void commit_batch(partition_fixture_t *fixture);
/* Commits what is due once the wait of deferred flushes is over: acknowledged results leave the
 * record with the next start, or then. */
void commit_deferred(partition_fixture_t *fixture);
/* Runs task 0 of j-000001, as attempt 100, until its worker reports it done. */
void run_to_completion(partition_fixture_t *fixture);
/* Loads a record of an earlier view in which the machine has attempt 55 at task 0 of j-000001. */
void load_page_record(partition_fixture_t *fixture);

/* The commands of the last answer that have this op. */
guint count_commands(const partition_fixture_t *fixture, worker_command_op_t op);
/* Whether the leader is to receive the result that the task's attempt is over, with this cause. */
bool has_result(const partition_fixture_t *fixture, uint32_t task, cause_t cause);

#endif
