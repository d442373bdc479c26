/* Tests of a partition's durable record: what is sent after it, and when an attempt leaves it. */
#include "partition_fixture.h"
#include "unit_test.h"

static void test_start_follows_its_record(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 0); /* not recorded: not sent */
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 1);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 0); /* listed: not sent again */
}

static void test_lost_answer_repeats_the_same_attempt(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &heartbeat, false);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 1); /* this answer is lost */
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 1);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
}

static void test_done_is_forgotten_only_when_acknowledged(void **state)
{
    partition_fixture_t *fixture = *state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_completion(fixture);
    assert_true(has_result(fixture, 0, CAUSE_DONE));
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_FORGET), 0);
    partition_acknowledge(fixture->partition, &ref);
    commit_deferred(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_FORGET), 1);
    assert_int_equal(fixture->worker->attempts->len, 0);
}

/* Each write of a key has a cost: an acknowledged result leaves the record with the next start on
 * any machine of the page, and causes no write of its own before. */
static void test_acknowledged_result_goes_with_the_next_start(void **state)
{
    partition_fixture_t *fixture = *state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_completion(fixture);
    partition_tick(fixture->partition, fixture->now);
    partition_acknowledge(fixture->partition, &ref);
    partition_batch_t *batch = take_batch(fixture);
    assert_int_equal(batch->records->len, 0);
    partition_batch_free(batch);
    place_task(fixture, "j-000001", 1, 101);
    batch = take_batch(fixture);
    assert_int_equal(batch->records->len, 1);
    const page_record_t *record = &g_array_index(batch->records, page_record_t, 0);
    const machine_record_t *machine = &g_array_index(record->machines, machine_record_t, 0);
    assert_int_equal(machine->entries->len, 1); /* the start, without the result */
    assert_int_equal(g_array_index(machine->entries, record_entry_t, 0).attempt, 101);
    partition_batch_commit(fixture->partition, batch, ++fixture->revision, fixture->now);
    partition_batch_free(batch);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
}

static void test_cancellation_before_the_record_drops_the_start(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    partition_end_job(fixture->partition, "j-000001");
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 0);
    assert_int_equal(partition_attempt_count(fixture->partition), 0);
}

static void test_cancellation_racing_done_frees_the_result(void **state)
{
    partition_fixture_t *fixture = *state;
    run_to_completion(fixture);
    partition_end_job(fixture->partition, "j-000001"); /* its result will not be acknowledged */
    commit_deferred(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->attempts->len, 0);
}

/* Jobs may have been cancelled that this controller does not know of yet: recorded attempts wait,
 * and start once the cancellations are known. */
static void test_no_start_is_sent_while_cancellations_may_be_unknown(void **state)
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
    assert_int_equal(fixture->worker->runs, 0);
    partition_end_job(fixture->partition, "j-000002"); /* the cancellation becomes known */
    partition_pause_starts(fixture->partition, false);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 1);
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

/* One task was given time to save, and one still fetches its image, when their job is cancelled. */
static void test_cancellation_gives_no_time_to_save(void **state)
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
        partition_withdraw(fixture->partition, &ref, fixture->now);
    }
    partition_end_job(fixture->partition, "j-000001");
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &heartbeat, false);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 2);
    assert_true(first_stop(fixture)->grace_s == 0);
}

/* Attempts recorded in an earlier view count until the worker, under this view's fencing token,
 * shows otherwise; one that it does not list is sent again under the same number. */
static void test_new_view_takes_over_from_the_record(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 1);
    exchange_heartbeat(fixture);
    assert_int_equal(fixture->worker->runs, 1);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
}

/* A late start of an attempt that is not recorded, beside the one that replaced it. */
static void test_attempt_without_a_record_is_stopped_at_once(void **state)
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
    assert_int_equal(fake_worker_active(fixture->worker), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_start_follows_its_record, partition_fixture_set_up,
                                        partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_lost_answer_repeats_the_same_attempt,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_done_is_forgotten_only_when_acknowledged,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_acknowledged_result_goes_with_the_next_start,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_cancellation_before_the_record_drops_the_start,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_cancellation_racing_done_frees_the_result,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_no_start_is_sent_while_cancellations_may_be_unknown,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_cancellation_gives_no_time_to_save,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_new_view_takes_over_from_the_record,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_attempt_without_a_record_is_stopped_at_once,
                                        partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("partition records", tests, NULL, NULL);
}
