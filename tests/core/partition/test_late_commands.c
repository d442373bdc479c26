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

/* Two heartbeats suffice: the first one shows that the attempt has exited, and the second one is
 * sent after it has left the record. */
static void exchange_until_forgotten(partition_fixture_t *fixture)
{
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 0);
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

static void test_late_copy_of_an_answered_run_does_not_restart_a_refused_start(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_FULL);
    exchange_until_forgotten(fixture);
    assert_true(has_result(fixture, 0, CAUSE_FULL));
    assert_late_copy_starts_nothing(fixture, &push);
}

static void test_late_copy_of_an_answered_run_does_not_restart_a_withdrawn_task(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    task_ref_t ref = task_ref("j-000001", 0, 100);
    partition_withdraw_placement(fixture->partition, &ref, fixture->now);
    exchange_heartbeat(fixture);
    assert_int_equal(fake_worker_active_count(fixture->worker), 0);
    exchange_until_forgotten(fixture);
    assert_late_copy_starts_nothing(fixture, &push);
}

static void test_late_copy_of_an_answered_run_does_not_restart_a_task_after_its_lease(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    fake_worker_expire_lease(fixture->worker);
    exchange_heartbeat(fixture);
    assert_late_copy_starts_nothing(fixture, &push);
}

static void
test_late_copy_of_an_answered_run_does_not_restart_a_task_of_an_earlier_view(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_ERROR);
    /* The new owner finds neither the attempt in the records nor the push in its memory. */
    partition_free(fixture->partition);
    fixture->partition = partition_fixture_new_partition(fixture, 8);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_UNVERIFIED);
    assert_int_equal(fixture->commands->len, 0);
    fake_worker_handle_answer(fixture->worker, fencing_token_first(8), fixture->commands);
    exchange_until_forgotten(fixture);
    assert_late_copy_starts_nothing(fixture, &push);
}

static void test_attempt_is_not_forgotten_while_it_is_recorded(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_ERROR);
    for (guint i = 0; i < 10; i++) /* the key-value store is down, so nothing is committed */
        exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 1);
    exited_statistics_t statistics = partition_exited_statistics(fixture->partition, fixture->now);
    assert_int_equal(statistics.count, 1);
    assert_int_equal(statistics.oldest_ms, 10 * MS_PER_S);
    assert_true(execute(fixture, &push)); /* the worker remembers the attempt */
    assert_late_copy_starts_nothing(fixture, &push);
}

static void test_push_refused_because_the_token_was_raised_is_sent_again(void **state)
{
    partition_fixture_t *fixture = *state;
    received_push_t push = start_by_push(fixture);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_ERROR);
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000002", 0, 101);
    commit_batch(fixture);
    g_array_set_size(push.commands, 0);
    assert_non_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, push.commands));
    exchange_heartbeat(fixture); /* its answer raises the token before the push arrives */
    assert_int_equal(fixture->worker->started_count, 2); /* the answer also started the task */
    assert_false(execute(fixture, &push));
    partition_finish_push(fixture->partition, fixture->worker->id, push.commands,
                          push.fencing_token, PUSH_REFUSED);
    place_task(fixture, "j-000003", 0, 102);
    commit_batch(fixture);
    g_array_unref(push.commands);
    push = push_commands(fixture);
    assert_int_equal(fixture->worker->started_count, 3);
    g_array_unref(push.commands);
}

/* Lists exited attempts of earlier views. */
static void list_exited_attempts(partition_fixture_t *fixture, guint count)
{
    for (guint i = 0; i < count; i++) {
        reported_attempt_t attempt = {
            .job = "j-000009", .task = i, .attempt = 1, .state = TASK_EXITED, .cause = CAUSE_ERROR};
        g_array_append_val(fixture->worker->attempts, attempt);
    }
}

static void
test_machine_with_many_exited_attempts_gets_no_starts_until_they_are_forgotten(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000001", 0, 100, 4);
    list_exited_attempts(fixture, EXITED_ATTEMPTS_MAX_COUNT);
    exchange_heartbeat(fixture);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    assert_int_equal(fixture->worker->attempts->len, 0);
    exchange_heartbeat(fixture);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

static void test_new_view_is_requested_when_the_tokens_of_the_view_are_used_up(void **state)
{
    partition_fixture_t *fixture = *state;
    list_exited_attempts(fixture, 1);
    fixture->worker->fencing_token = fencing_token_first(8) - 1;
    exchange_heartbeat(fixture);
    assert_true(partition_needs_new_view(fixture->partition));
    assert_int_equal(fixture->worker->attempts->len, 1);
    partition_set_view(fixture->partition, 8);
    fixture->worker->fencing_token = fencing_token_first(8);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 0);
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
        cmocka_unit_test_setup_teardown(
            test_late_copy_of_an_answered_run_does_not_restart_a_refused_start,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_late_copy_of_an_answered_run_does_not_restart_a_withdrawn_task,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_late_copy_of_an_answered_run_does_not_restart_a_task_after_its_lease,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_late_copy_of_an_answered_run_does_not_restart_a_task_of_an_earlier_view,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_attempt_is_not_forgotten_while_it_is_recorded,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_push_refused_because_the_token_was_raised_is_sent_again, partition_fixture_set_up,
            partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_machine_with_many_exited_attempts_gets_no_starts_until_they_are_forgotten,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_new_view_is_requested_when_the_tokens_of_the_view_are_used_up,
            partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("late_commands", tests, NULL, NULL);
}
