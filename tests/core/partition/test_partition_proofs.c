/* Tests of what proves that an attempt is over, so that its task may be placed again, and of what
 * does not. */
#include "partition_fixture.h"
#include "unit_test.h"

static void test_silence_does_not_prove_that_an_attempt_is_over(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    fixture->now += (msec_t)3600 * 1000;
    partition_tick(fixture->partition, fixture->now);
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
}

static void test_new_worker_epoch_proves_that_older_attempts_are_over(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    fake_worker_expire_lease(fixture->worker);
    exchange_heartbeat(fixture);
    /* The result is reported only after the attempt has left the record. */
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_NONE));
    assert_int_equal(partition_attempt_count(fixture->partition), 0);
}

/* A pushed `run` gets no answer and arrives after the task has ended. If the attempt had been
 * forgotten before the worker saw a higher fencing token, the worker would start it again. */
static void test_late_run_does_not_restart_a_finished_attempt(void **state)
{
    partition_fixture_t *fixture = *state;
    const uint64_t fencing_token = fencing_token_first(7);
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    GArray *late_commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_non_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, late_commands));
    partition_finish_push(fixture->partition, "m-000001", late_commands, fencing_token,
                          PUSH_UNANSWERED);
    exchange_heartbeat(fixture); /* the answer to this heartbeat starts the task */
    assert_int_equal(fixture->worker->started_count, 1);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_ERROR);
    /* That answer has also raised the token, so the late `run` is refused from then on. */
    assert_false(fake_worker_handle_push(fixture->worker, fencing_token, 1, late_commands));
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_FORGET), 0); /* it is still recorded */
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 0);
    assert_false(fake_worker_handle_push(fixture->worker, fencing_token, 1, late_commands));
    assert_int_equal(fixture->worker->started_count, 1);
    g_array_unref(late_commands);
}

static void test_cancelled_attempt_with_a_run_in_flight_waits_for_proof(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    GArray *late_commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, late_commands);
    partition_end_job(fixture->partition, "j-000001");
    exchange_heartbeat(fixture); /* not listed, but the pushed command may still arrive */
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    assert_true(fake_worker_handle_push(fixture->worker, fencing_token_first(7), 1, late_commands));
    partition_finish_push(fixture->partition, "m-000001", late_commands, fencing_token_first(7),
                          PUSH_UNANSWERED);
    exchange_heartbeat(fixture);
    assert_int_equal(fake_worker_active_count(fixture->worker),
                     0); /* stopped as soon as it is listed */
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_STOPPED));
    g_array_unref(late_commands);
}

/* A job whose attempt was recorded in an earlier view is cancelled. The absence of the attempt from
 * the worker's list proves nothing until the worker has seen the fencing token of this view. */
static void test_absence_is_proof_only_under_the_current_fencing_token(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    partition_end_job(fixture->partition, "j-000001");
    fixture->worker->fencing_token = fencing_token_first(6);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_UNVERIFIED);
    fake_worker_handle_answer(fixture->worker, fencing_token_first(7), fixture->commands);
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_STOPPED));
}

/* All controllers were down for longer than a lease, so the workers killed all their tasks. The
 * fencing token of a worker's second heartbeat shows that this heartbeat is not a copy. Its new
 * worker epoch proves that each recorded attempt is over, so the tasks may be placed again. */
static void test_recorded_attempts_are_over_after_an_outage_of_all_controllers(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    fixture->worker->fencing_token = fencing_token_first(6);
    fixture->worker->heartbeat_sequence = 40;
    fake_worker_expire_lease(fixture->worker);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_UNVERIFIED);
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    fake_worker_handle_answer(fixture->worker, fencing_token_first(7), fixture->commands);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 0); /* the old attempt is not sent again */
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_NONE));
}

/* The leader failed over while this machine, which runs a long task, was unreachable or received no
 * answers from the new owner. Its heartbeats arrive with the old fencing token. The attempt must
 * stay recorded until the cloud confirms that the machine is terminated. */
static void test_machine_without_answers_keeps_its_task_through_a_failover(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    fixture->worker->fencing_token = fencing_token_first(6);
    reported_attempt_t reported_attempt = {.job = "j-000001", .attempt = 55, .state = TASK_RUNNING};
    g_array_append_val(fixture->worker->attempts, reported_attempt);
    for (int i = 0; i < 4; i++) {
        worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
        assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_UNVERIFIED);
        fixture->now += 15000;
    }
    fake_worker_expire_lease(fixture->worker);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &heartbeat, false);
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    partition_record_machine_terminated(fixture->partition, "m-000001");
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_NONE));
}

/* Pushed commands reach the worker, but its heartbeats reach no controller, so its lease ends
 * nevertheless. The answer that refuses a command shows the new worker epoch, which is proof. An
 * answer of the old epoch proves nothing. */
static void test_push_answer_with_a_new_worker_epoch_is_proof(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    assert_non_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands));
    assert_int_equal(fixture->commands->len, 0);
    worker_heartbeat_t same_epoch_answer = fake_worker_heartbeat(fixture->worker);
    /* It lists no attempt, which alone proves nothing. */
    assert_int_equal(deliver_heartbeat(fixture, &same_epoch_answer, true), HEARTBEAT_ACCEPTED);
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    fake_worker_expire_lease(fixture->worker);
    worker_heartbeat_t answer = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &answer, true);
    partition_finish_push(fixture->partition, "m-000001", fixture->commands, fencing_token_first(7),
                          PUSH_REFUSED);
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_NONE));
    placement_request_t request = placement_request_of("j-000009", 0, 900, 4);
    fixture->now += fixture->partition->acknowledgement_timeout_ms;
    /* The machine gets no starts, since its lease cannot be renewed. */
    assert_null(partition_place(fixture->partition, &request, fixture->now));
}

static void test_termination_of_the_machine_is_proof(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    partition_record_machine_terminated(fixture->partition, "m-000001");
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_NONE));
    assert_int_equal(partition_machine_count(fixture->partition), 0);
}

/* Places a task whose pushed `run` goes unanswered, and cancels its job. Returns the commands. */
static GArray *cancel_after_an_unanswered_run(partition_fixture_t *fixture)
{
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    GArray *late_commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_non_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, late_commands));
    partition_finish_push(fixture->partition, "m-000001", late_commands, fencing_token_first(7),
                          PUSH_UNANSWERED);
    partition_end_job(fixture->partition, "j-000001");
    return late_commands;
}

/* Heartbeats that do not list the task prove nothing while the `run` may still arrive, that is,
 * until one shows a fencing token under which the worker refuses it. */
static void test_cancelled_attempt_with_an_unanswered_run_waits_for_proof(void **state)
{
    partition_fixture_t *fixture = *state;
    GArray *late_commands = cancel_after_an_unanswered_run(fixture);
    for (guint i = 0; i < 16; i++) { /* none of the answers arrives */
        worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
        assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_ACCEPTED);
        commit_batch(fixture);
        assert_int_equal(partition_results(fixture->partition)->len, 0);
    }
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_STOPPED));
    assert_false(
        fake_worker_handle_push(fixture->worker, fencing_token_first(7), 1, late_commands));
    assert_int_equal(fixture->worker->started_count, 0);
    g_array_unref(late_commands);
}

/* The `run` arrives after all. Its attempt is stopped in the answer to the next heartbeat, and is
 * forgotten only under a fencing token under which every copy of the `run` is refused. */
static void test_cancelled_attempt_that_starts_late_is_stopped_and_forgotten(void **state)
{
    partition_fixture_t *fixture = *state;
    GArray *late_commands = cancel_after_an_unanswered_run(fixture);
    assert_true(fake_worker_handle_push(fixture->worker, fencing_token_first(7), 1, late_commands));
    assert_int_equal(fake_worker_active_count(fixture->worker), 1);
    exchange_heartbeat(fixture);
    assert_int_equal(fake_worker_active_count(fixture->worker), 0);
    assert_int_equal(count_commands(fixture, COMMAND_FORGET), 0);
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    assert_true(has_result(fixture, 0, CAUSE_STOPPED));
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 0);
    assert_false(
        fake_worker_handle_push(fixture->worker, fencing_token_first(7), 1, late_commands));
    assert_int_equal(fixture->worker->started_count, 1);
    g_array_unref(late_commands);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_silence_does_not_prove_that_an_attempt_is_over,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_new_worker_epoch_proves_that_older_attempts_are_over,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_late_run_does_not_restart_a_finished_attempt,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_cancelled_attempt_with_a_run_in_flight_waits_for_proof,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_absence_is_proof_only_under_the_current_fencing_token,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_recorded_attempts_are_over_after_an_outage_of_all_controllers,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_machine_without_answers_keeps_its_task_through_a_failover,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_push_answer_with_a_new_worker_epoch_is_proof,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_termination_of_the_machine_is_proof,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_cancelled_attempt_with_an_unanswered_run_waits_for_proof, partition_fixture_set_up,
            partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_cancelled_attempt_that_starts_late_is_stopped_and_forgotten,
            partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("partition proofs", tests, NULL, NULL);
}
