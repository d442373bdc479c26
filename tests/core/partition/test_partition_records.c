/* Tests of a partition's durable record: which commands are sent only after a commit, and when an
 * attempt is removed. */
#include "partition_fixture.h"
#include "unit_test.h"

static void test_run_is_sent_only_after_the_start_is_recorded(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 0); /* not recorded, so not sent */
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 1);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 0); /* listed, so not sent again */
}

static void test_run_in_a_lost_answer_is_sent_again(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &heartbeat, false);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 1); /* this answer is lost */
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 1);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
}

static void test_finished_attempt_is_forgotten_only_after_acknowledgement(void **state)
{
    partition_fixture_t *fixture = *state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_completion(fixture);
    assert_true(has_result(fixture, 0, CAUSE_DONE));
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_FORGET), 0);
    partition_acknowledge_result(fixture->partition, &ref);
    commit_deferred(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_FORGET), 1);
    assert_int_equal(fixture->worker->attempts->len, 0);
}

/* Each write of a key has a cost. An acknowledged result therefore leaves the record together with
 * the next start on any machine of the page, and does not cause a write of its own before that. */
static void test_acknowledged_result_leaves_the_record_with_the_next_start(void **state)
{
    partition_fixture_t *fixture = *state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_completion(fixture);
    partition_tick(fixture->partition, fixture->now);
    partition_acknowledge_result(fixture->partition, &ref);
    partition_batch_t *batch = take_batch(fixture);
    assert_int_equal(batch->records->len, 0);
    partition_batch_free(batch);
    place_task(fixture, "j-000001", 1, 101);
    batch = take_batch(fixture);
    assert_int_equal(batch->records->len, 1);
    const page_record_t *record = &g_array_index(batch->records, page_record_t, 0);
    const machine_record_t *machine = &g_array_index(record->machines, machine_record_t, 0);
    assert_int_equal(machine->entries->len, 1); /* the start, but not the result */
    assert_int_equal(g_array_index(machine->entries, record_entry_t, 0).attempt, 101);
    partition_batch_commit(fixture->partition, batch, ++fixture->revision, fixture->now);
    partition_batch_free(batch);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
}

static void test_start_cancelled_before_its_commit_is_dropped(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    partition_end_job(fixture->partition, "j-000001");
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 0);
    assert_int_equal(partition_attempt_count(fixture->partition), 0);
}

static void test_finished_attempt_of_a_cancelled_job_is_forgotten(void **state)
{
    partition_fixture_t *fixture = *state;
    run_to_completion(fixture);
    partition_end_job(fixture->partition, "j-000001"); /* its result will not be acknowledged */
    commit_deferred(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 0);
}

/* While this controller may not know of all cancellations, a `run` could start a cancelled job.
 * Recorded attempts wait, and start once the cancellations are known. */
static void test_no_run_is_sent_while_starts_are_paused(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    place_task(fixture, "j-000002", 0, 101);
    commit_batch(fixture);
    partition_pause_starts(fixture->partition, true);
    exchange_heartbeat(fixture);
    assert_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands));
    assert_int_equal(fixture->worker->started_count, 0);
    partition_end_job(fixture->partition, "j-000002"); /* the cancellation becomes known */
    partition_pause_starts(fixture->partition, false);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 1);
    assert_string_equal(g_array_index(fixture->worker->attempts, reported_attempt_t, 0).job,
                        "j-000001");
}

static const worker_command_t *first_stop(const partition_fixture_t *fixture)
{
    for (guint i = 0; i < fixture->commands->len; i++)
        if (g_array_index(fixture->commands, worker_command_t, i).op == COMMAND_STOP)
            return &g_array_index(fixture->commands, worker_command_t, i);
    return NULL;
}

/* Two tasks of a job were stopped before the job is cancelled: one was given time to save, and one
 * still fetches its image. The cancellation must stop both without time to save. */
static void test_cancelled_tasks_get_no_time_to_save(void **state)
{
    partition_fixture_t *fixture = *state;
    const task_state_t states[] = {TASK_SAVING, TASK_FETCHING};
    exchange_heartbeat(fixture);
    for (uint32_t i = 0; i < 2; i++) {
        placement_request_t request = placement_request_of("j-000001", i, 100 + i, 4);
        request.checkpoint_s = 30;
        request.save_s = 10;
        partition_place(fixture->partition, &request, fixture->now);
        commit_batch(fixture);
        exchange_heartbeat(fixture);
        g_array_index(fixture->worker->attempts, reported_attempt_t, i).state = states[i];
        task_ref_t ref = task_ref("j-000001", i, 100 + i);
        partition_withdraw_placement(fixture->partition, &ref, fixture->now);
    }
    partition_end_job(fixture->partition, "j-000001");
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &heartbeat, false);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 2);
    assert_true(first_stop(fixture)->grace_s == 0);
}

/* Attempts recorded in an earlier view are kept until the worker shows, under this view's fencing
 * token, that they are over. If the worker does not list an attempt, its `run` is sent again under
 * the same attempt number. */
static void test_new_view_continues_recorded_attempts(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 1);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->started_count, 1);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
}

/* A late `run` started an attempt that is no longer recorded, next to the attempt that replaced it.
 * The unrecorded one must be stopped. */
static void test_unrecorded_attempt_is_stopped_at_once(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 101);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    reported_attempt_t outdated = {.job = "j-000001", .attempt = 100, .state = TASK_RUNNING};
    g_array_append_val(fixture->worker->attempts, outdated);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 1);
    assert_int_equal(g_array_index(fixture->commands, worker_command_t, 0).attempt, 100);
    assert_int_equal(fake_worker_active_count(fixture->worker), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_run_is_sent_only_after_the_start_is_recorded,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_run_in_a_lost_answer_is_sent_again,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_finished_attempt_is_forgotten_only_after_acknowledgement, partition_fixture_set_up,
            partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_acknowledged_result_leaves_the_record_with_the_next_start,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_start_cancelled_before_its_commit_is_dropped,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_finished_attempt_of_a_cancelled_job_is_forgotten,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_no_run_is_sent_while_starts_are_paused,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_cancelled_tasks_get_no_time_to_save,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_new_view_continues_recorded_attempts,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_unrecorded_attempt_is_stopped_at_once,
                                        partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("partition records", tests, NULL, NULL);
}
