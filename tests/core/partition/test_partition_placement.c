/* Tests of placement, preemption and draining. */
#include "partition_fixture.h"
#include "unit_test.h"

/* Guards against long chains in the hash table of attempts, which tasks with equal hashes form. */
static void test_tasks_of_jobs_with_similar_ids_have_distinct_hashes(void **state)
{
    (void)state;
    enum { JOBS = 50, TASKS = 200 };
    GHashTable *hashes = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < JOBS; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        for (uint32_t task = 0; task < TASKS; task++) {
            task_ref_t ref = task_ref(id, task, 1);
            g_hash_table_add(hashes, GUINT_TO_POINTER(task_ref_hash(&ref)));
        }
    }
    assert_int_equal(g_hash_table_size(hashes), JOBS * TASKS);
    g_hash_table_unref(hashes);
}

static void test_expired_reservation_frees_resources_but_keeps_the_attempt(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    machine_t *machine = fixture_machine(fixture);
    assert_true(machine_free_resources(machine).cpus < 12.5);
    fixture->now += 30000;
    partition_tick(fixture->partition, fixture->now);
    assert_true(machine_free_resources(machine).cpus > 15.5);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
}

static void test_full_machine_is_skipped(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000001", 0, 100, 10);
    placement_request_t second = placement_request_of("j-000001", 1, 101, 10);
    exchange_heartbeat(fixture);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    assert_null(partition_place(fixture->partition, &second, fixture->now));
}

static void test_equal_machines_get_equal_numbers_of_attempts(void **state)
{
    partition_fixture_t *fixture = *state;
    fake_worker_t *other = fake_worker_new("m-000002");
    other->fencing_token = fencing_token_first(7);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(other);
    exchange_heartbeat(fixture);
    deliver_heartbeat(fixture, &heartbeat, false);
    guint first = 0;
    for (uint32_t i = 0; i < 4; i++) {
        placement_request_t request = placement_request_of("j-000001", i, 100 + i, 4);
        machine_t *machine = partition_place(fixture->partition, &request, fixture->now);
        assert_non_null(machine);
        first += strcmp(machine->id, "m-000001") == 0;
    }
    assert_int_equal(first, 2);
    fake_worker_free(other);
}

/* Fills the machine with four tasks, which have run long enough to be preempted. */
static void fill_machine(partition_fixture_t *fixture)
{
    exchange_heartbeat(fixture);
    for (uint32_t i = 0; i < 4; i++)
        place_task(fixture, "j-000001", i, 100 + i);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    fixture->now += PREEMPT_MIN_RUN_MS;
    exchange_heartbeat(fixture);
}

/* The machine is full of tasks of low priority. The stop that makes room for a task of high
 * priority and the start of that task must be sent in the same answer. */
static void test_high_priority_task_preempts_a_low_priority_task(void **state)
{
    partition_fixture_t *fixture = *state;
    fill_machine(fixture);
    placement_request_t high_request = placement_request_of("j-000002", 0, 200, 4);
    high_request.priority = PRIORITY_HIGH;
    assert_null(partition_place(fixture->partition, &high_request, fixture->now));
    high_request.may_preempt = true;
    assert_non_null(partition_place(fixture->partition, &high_request, fixture->now));
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 1);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 1);
    assert_int_equal(fake_worker_active_count(fixture->worker), 4);
    exchange_heartbeat(fixture);
    commit_batch(fixture);
    assert_true(has_result(fixture, 3, CAUSE_STOPPED) || has_result(fixture, 2, CAUSE_STOPPED) ||
                has_result(fixture, 1, CAUSE_STOPPED) || has_result(fixture, 0, CAUSE_STOPPED));
}

static void test_equal_priority_is_not_preempted(void **state)
{
    partition_fixture_t *fixture = *state;
    fill_machine(fixture);
    placement_request_t equal = placement_request_of("j-000002", 0, 200, 4);
    equal.may_preempt = true;
    assert_null(partition_place(fixture->partition, &equal, fixture->now));
}

/* A stopped task that saves holds its resources until it has saved. */
static void test_start_waits_until_the_preempted_task_has_saved(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    placement_request_t saving = placement_request_of("j-000001", 0, 100, 16);
    saving.checkpoint_s = 10;
    saving.save_s = 4;
    assert_non_null(partition_place(fixture->partition, &saving, fixture->now));
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    fixture->now += PREEMPT_MIN_RUN_MS;
    exchange_heartbeat(fixture);
    placement_request_t normal = placement_request_of("j-000002", 0, 200, 4);
    normal.priority = PRIORITY_NORMAL;
    normal.may_preempt = true;
    assert_non_null(partition_place(fixture->partition, &normal, fixture->now));
    commit_batch(fixture);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver_heartbeat(fixture, &heartbeat, false);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 1);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 0);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_STOPPED);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_RUN), 1);
}

/* A single long task would occupy a whole draining machine for minutes, so it is stopped, saves,
 * and continues on another machine. Tasks without checkpoints are not stopped, and no task is
 * stopped while much of the machine is in use. */
static void test_tasks_with_checkpoints_leave_a_draining_machine(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    for (uint32_t task = 0; task < 3; task++) {
        placement_request_t request = placement_request_of("j-000001", task, 100 + task, 4);
        request.checkpoint_s = task == 1 ? 0 : 15;
        request.save_s = 4;
        assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    }
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    partition_set_draining(fixture->partition, "m-000001", true);
    partition_tick(fixture->partition, fixture->now);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 0); /* 12 of 16 cpus are in use */
    fake_worker_exit_attempts(fixture->worker, "j-000001", 2, CAUSE_DONE);
    exchange_heartbeat(fixture);
    partition_tick(fixture->partition, fixture->now);
    exchange_heartbeat(fixture);
    assert_int_equal(count_commands(fixture, COMMAND_STOP), 1);
    assert_int_equal(g_array_index(fixture->commands, worker_command_t, 0).task, 0);
    assert_true(g_array_index(fixture->commands, worker_command_t, 0).grace_s > 4);
}

/* Guards against drains that end with the view. With a new view every half minute, draining
 * machines would accept work again each time, and few would ever be emptied. */
static void test_drain_persists_across_views(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    exchange_heartbeat(fixture);
    partition_set_draining(fixture->partition, "m-000001", true);
    partition_t *earlier = fixture->partition;
    fixture->partition = partition_fixture_new_partition(fixture, 0);
    partition_copy_draining_machines(fixture->partition, earlier);
    partition_set_view(fixture->partition, 8);
    partition_free(earlier);
    load_page_record(fixture);
    fixture->worker->fencing_token = fencing_token_first(8);
    exchange_heartbeat(fixture);
    placement_request_t request = placement_request_of("j-000002", 0, 200, 1);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    /* A drain that the leader has cancelled is not copied to later views. */
    partition_set_draining(fixture->partition, "m-000001", false);
    earlier = fixture->partition;
    fixture->partition = partition_fixture_new_partition(fixture, 9);
    partition_copy_draining_machines(fixture->partition, earlier);
    partition_free(earlier);
    assert_int_equal(g_hash_table_size(fixture->partition->draining), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_tasks_of_jobs_with_similar_ids_have_distinct_hashes),
        cmocka_unit_test_setup_teardown(
            test_expired_reservation_frees_resources_but_keeps_the_attempt,
            partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_full_machine_is_skipped, partition_fixture_set_up,
                                        partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_equal_machines_get_equal_numbers_of_attempts,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_high_priority_task_preempts_a_low_priority_task,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_equal_priority_is_not_preempted,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_start_waits_until_the_preempted_task_has_saved,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_tasks_with_checkpoints_leave_a_draining_machine,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_drain_persists_across_views, partition_fixture_set_up,
                                        partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("partition placement", tests, NULL, NULL);
}
