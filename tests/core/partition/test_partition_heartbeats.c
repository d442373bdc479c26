/* Tests of worker heartbeats: which are applied, and which are not because they are copies, late or
 * out of order. */
#include "partition_fixture.h"
#include "unit_test.h"

/* The change count triggers placement rounds and commits, so a heartbeat that changes nothing must
 * not increase it. */
static void test_unchanged_heartbeat_keeps_the_change_count(void **state)
{
    partition_fixture_t *fixture = *state;
    uint64_t changes = partition_change_count(fixture->partition);
    exchange_heartbeat(fixture);
    /* The machine accepts starts now. */
    assert_true(partition_change_count(fixture->partition) > changes);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    changes = partition_change_count(fixture->partition);
    for (guint i = 0; i < 10; i++)
        exchange_heartbeat(fixture);
    assert_int_equal(partition_change_count(fixture->partition), changes);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_DONE);
    exchange_heartbeat(fixture);
    assert_true(partition_change_count(fixture->partition) > changes);
    changes = partition_change_count(fixture->partition);
    fixture->now += 20000; /* the machine is silent, and then sends heartbeats again */
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    assert_true(partition_change_count(fixture->partition) > changes);
}

static void test_heartbeat_of_an_old_worker_epoch_is_a_duplicate(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    worker_heartbeat_t late_heartbeat = fake_worker_heartbeat(fixture->worker);
    fake_worker_expire_lease(fixture->worker);
    exchange_heartbeat(fixture);
    assert_int_equal(deliver_heartbeat(fixture, &late_heartbeat, false), HEARTBEAT_DUPLICATE);
}

/* The answer to a pushed command may overtake a heartbeat. The late heartbeat is answered, because
 * its worker would otherwise switch to another controller, but its content is not applied. */
static void test_out_of_order_heartbeat_is_not_applied(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    worker_heartbeat_t late_heartbeat = fake_worker_heartbeat(fixture->worker);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_non_null(partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, commands));
    assert_true(fake_worker_handle_push(fixture->worker, fencing_token_first(7), 1, commands));
    g_array_unref(commands);
    worker_heartbeat_t answer = fake_worker_heartbeat(fixture->worker);
    /* The push answer lists the task as running. */
    assert_int_equal(deliver_heartbeat(fixture, &answer, true), HEARTBEAT_ACCEPTED);
    assert_int_equal(deliver_heartbeat(fixture, &late_heartbeat, false), HEARTBEAT_OUT_OF_ORDER);
    assert_int_equal(fixture->commands->len, 0);
    assert_true(fixture_machine(fixture)->running == 1);
}

/* Two controllers both consider themselves the owner of the machine. The worker must ignore the
 * answer of the one with the older fencing token, so that this owner cannot start or stop anything.
 */
static void test_worker_ignores_an_owner_with_an_older_fencing_token(void **state)
{
    partition_fixture_t *fixture = *state;
    partition_t *older_owner = partition_fixture_new_partition(fixture, 6);
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    partition_handle_heartbeat(older_owner, &heartbeat, false, fixture->now, commands);
    assert_false(fake_worker_handle_answer(fixture->worker, fencing_token_first(6), commands));
    assert_int_equal(fake_worker_active_count(fixture->worker), 1);
    worker_heartbeat_clear(&heartbeat);
    g_array_unref(commands);
    partition_free(older_owner);
}

/* After a restart or a change of view, a new owner has no earlier heartbeat to compare with. A copy
 * of a heartbeat that is minutes old must not restore an older worker epoch or address, prove that
 * an attempt is absent, cause a `forget`, or make the machine look alive. */
static void test_new_owner_does_not_apply_a_copied_heartbeat(void **state)
{
    partition_fixture_t *fixture = *state;
    load_page_record(fixture);
    partition_end_job(fixture->partition, "j-000001");
    fake_worker_t *earlier_worker = fake_worker_new("m-000001");
    earlier_worker->fencing_token = fencing_token_first(6);
    earlier_worker->heartbeat_sequence = 40;
    worker_heartbeat_t copy = fake_worker_heartbeat(earlier_worker);
    g_strlcpy(copy.address, "10.9.9.9:1", sizeof copy.address);
    fixture->now += 5000;
    assert_int_equal(deliver_heartbeat(fixture, &copy, false), HEARTBEAT_UNVERIFIED);
    assert_int_equal(fixture->commands->len, 0);
    assert_string_equal(fixture_machine(fixture)->address, "10.1.0.1:9000");
    assert_int_equal(fixture_machine(fixture)->last_acknowledged_at, fixture->now - 5000);
    assert_false(
        partition_is_reachable(fixture->partition, fixture_machine(fixture), fixture->now));
    commit_batch(fixture);
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    fake_worker_free(earlier_worker);
}

/* A copy of a heartbeat reaches the owner that received the original. It is not newer than the
 * original, so its content must not be applied, and it must not shorten the time for which the
 * machine counts as silent. */
static void test_owner_does_not_apply_a_copied_heartbeat(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    worker_heartbeat_t original = fake_worker_heartbeat(fixture->worker);
    worker_heartbeat_t copy = original;
    copy.attempts = g_array_copy(original.attempts);
    deliver_heartbeat(fixture, &original, false);
    msec_t received_at = fixture->now;
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    fixture->now += 20000;
    assert_int_equal(deliver_heartbeat(fixture, &copy, false), HEARTBEAT_DUPLICATE);
    assert_int_equal(fixture_machine(fixture)->last_acknowledged_at, received_at);
    assert_int_equal(fixture_machine(fixture)->last_heartbeat_at, received_at);
    assert_int_equal(fixture_machine(fixture)->reservations->len, 1); /* not confirmed */
    assert_int_equal(fixture->commands->len, 0);
}

/* Guards against a copied heartbeat that adds a terminated machine again. The resources of that
 * machine would look free, and starts would wait there for minutes. */
static void test_copied_heartbeat_does_not_restore_a_terminated_machine(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000001", 0, 100, 4);
    exchange_heartbeat(fixture);
    worker_heartbeat_t copy = fake_worker_heartbeat(fixture->worker);
    partition_record_machine_terminated(fixture->partition, "m-000001");
    commit_batch(fixture);
    assert_int_equal(deliver_heartbeat(fixture, &copy, false), HEARTBEAT_DUPLICATE);
    assert_int_equal(partition_machine_count(fixture->partition), 0);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_unchanged_heartbeat_keeps_the_change_count,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_heartbeat_of_an_old_worker_epoch_is_a_duplicate,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_out_of_order_heartbeat_is_not_applied,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_worker_ignores_an_owner_with_an_older_fencing_token,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_new_owner_does_not_apply_a_copied_heartbeat,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_owner_does_not_apply_a_copied_heartbeat,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_copied_heartbeat_does_not_restore_a_terminated_machine,
                                        partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("partition heartbeats", tests, NULL, NULL);
}
