/* Tests of pushed commands that reach the worker once more, after they were executed and answered.
 */
#include "partition_fixture.h"
#include "unit_test.h"

/* A push as the worker received it. */
typedef struct received_push {
    uint64_t fencing_token;
    uint64_t worker_epoch;
    GArray *commands; /* of worker_command_t, owned */
} received_push_t;

static bool execute(partition_fixture_t *fixture, const received_push_t *push)
{
    return fake_worker_handle_push(fixture->worker, push->fencing_token, push->worker_epoch,
                                   push->commands);
}

/* Pushes what is due to the worker, which executes and answers it. */
static received_push_t push_commands(partition_fixture_t *fixture)
{
    received_push_t push = {.fencing_token =
                                partition_fencing_token(fixture->partition, fixture->worker->id),
                            .worker_epoch = fixture->worker->worker_epoch,
                            .commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t))};
    assert_non_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, push.commands));
    assert_true(execute(fixture, &push));
    worker_heartbeat_t answer = fake_worker_heartbeat(fixture->worker);
    partition_finish_push(fixture->partition, fixture->worker->id, push.commands,
                          push.fencing_token, PUSH_EXECUTED);
    deliver_heartbeat(fixture, &answer, true);
    return push;
}

/* Starts task 0 of j-000001 by a push that is answered. */
static received_push_t start_by_push(partition_fixture_t *fixture)
{
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    received_push_t push = push_commands(fixture);
    assert_int_equal(fixture->worker->started_count, 1);
    return push;
}

static void exchange_until_forgotten(partition_fixture_t *fixture)
{
    do {
        exchange_heartbeat(fixture);
        commit_batch(fixture);
    } while (fixture->worker->attempts->len > 0);
}

static void assert_late_copy_starts_nothing(partition_fixture_t *fixture, received_push_t *push)
{
    execute(fixture, push);
    assert_int_equal(fixture->worker->started_count, 1);
    g_array_unref(push->commands);
}

static void test_late_copy_of_an_answered_run_does_not_restart_a_moved_task(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_ERROR);
    exchange_until_forgotten(fixture);
    assert_true(has_result(fixture, 0, CAUSE_ERROR)); /* the task may be placed elsewhere */
    assert_late_copy_starts_nothing(fixture, &push);
}

static void test_late_copy_of_an_answered_run_does_not_restart_a_cancelled_task(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    partition_end_job(fixture->partition, "j-000001");
    exchange_heartbeat(fixture);
    assert_int_equal(fake_worker_active_count(fixture->worker), 0);
    exchange_until_forgotten(fixture);
    assert_late_copy_starts_nothing(fixture, &push);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_late_copy_of_an_answered_run_does_not_restart_a_moved_task,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_late_copy_of_an_answered_run_does_not_restart_a_cancelled_task,
            partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("late_commands", tests, NULL, NULL);
}
