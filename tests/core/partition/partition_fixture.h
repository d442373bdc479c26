/* A fixture with a partition and one worker, m-000001 of type t16 (16 cpus), which has seen the
 * view of the partition. */
#ifndef PEPPERPULLEY_PARTITION_FIXTURE_H
#define PEPPERPULLEY_PARTITION_FIXTURE_H

#include "core/membership/fencing_token.h"
#include "core/partition/partition.h"
#include "core/partition/partition_internal.h"
#include "fake_worker.h"

typedef struct partition_fixture {
    GArray *machine_types; /* machine_type_t */
    GArray *teams;         /* team_t; empty */
    partition_t *partition;
    fake_worker_t *worker;
    GArray *commands;  /* worker_command_t of the last answer or push */
    uint64_t revision; /* revision of the last commit */
    msec_t now;
} partition_fixture_t;

/* Set-up and tear-down for cmocka. *state is the fixture. */
int partition_fixture_set_up(void **state);
int partition_fixture_tear_down(void **state);

/* Returns a partition of the given view without machines, with the settings of the fixture
 * (transfer full). */
partition_t *partition_fixture_new_partition(const partition_fixture_t *fixture, uint64_t view);
/* Returns the worker's machine (transfer none), or NULL if the partition does not know it. */
machine_t *fixture_machine(const partition_fixture_t *fixture);

/* Passes a heartbeat, or the body of the answer to a push, to the partition and then clears it. */
heartbeat_verdict_t deliver_heartbeat(partition_fixture_t *fixture, worker_heartbeat_t *heartbeat,
                                      bool is_push_answer);
/* Sends one heartbeat of the worker, which is accepted and answered, and advances the clock by a
 * second. */
void exchange_heartbeat(partition_fixture_t *fixture);

placement_request_t placement_request_of(const char *job, uint32_t task, uint64_t attempt,
                                         double cpus);
/* Places an attempt of 4 cpus. */
void place_task(partition_fixture_t *fixture, const char *job, uint32_t task, uint64_t attempt);
partition_batch_t *take_batch(partition_fixture_t *fixture);
/* Takes the batch of records that are due now and commits it. */
void commit_batch(partition_fixture_t *fixture);
/* Waits until deferred flushes are due, and commits what is due then. Acknowledged results leave
 * the record by this commit, unless the commit of a start removed them before. */
void commit_deferred(partition_fixture_t *fixture);
/* Runs task 0 of j-000001, as attempt 100, until its worker reports it as done. */
void run_to_completion(partition_fixture_t *fixture);
/* Loads the record of an earlier view, in which the machine has attempt 55 of task 0 of j-000001.
 */
void load_page_record(partition_fixture_t *fixture);

/* Returns the number of commands with this op in the last answer. */
guint count_commands(const partition_fixture_t *fixture, worker_command_op_t op);
/* Returns whether the results for the leader contain one for the task with this cause. */
bool has_result(const partition_fixture_t *fixture, uint32_t task, cause_t cause);

#endif
