/* Tests of reachability: probes, pushed commands, and which machines receive starts. */
#include "partition_fixture.h"
#include "unit_test.h"

/* Each machine has a dispatcher that keeps a connection to it. A push to the machine must be due
 * for that dispatcher alone, and must not be taken if only other dispatchers are considered. */
static void test_commands_go_to_the_dispatcher_of_their_machine(void **state)
{
    partition_fixture_t *fixture = *state;
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    const machine_t *machine = fixture_machine(fixture);
    uint32_t own_dispatcher = 1U << machine->dispatcher_index;
    assert_int_equal(partition_due_dispatchers(fixture->partition, fixture->now), own_dispatcher);
    assert_null(
        partition_take_push(fixture->partition, ~own_dispatcher, fixture->now, fixture->commands));
    assert_ptr_equal(
        partition_take_push(fixture->partition, own_dispatcher, fixture->now, fixture->commands),
        machine);
    assert_int_equal(partition_due_dispatchers(fixture->partition, fixture->now), 0);
}

/* Heartbeats arrive, but answers and pushed commands are lost. The worker waits 4 s for each answer
 * and then tries one controller after another, so that its heartbeats arrive here every 15 s. Every
 * start sent to the machine would be lost when its lease ends. */
static void test_machine_without_acknowledgements_gets_no_starts(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000001", 1, 101, 4);
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    for (int round = 0; round < 3; round++) {
        fixture->now += 15000;
        fake_worker_expire_lease(fixture->worker);
        worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
        assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_ACCEPTED);
        assert_null(partition_place(fixture->partition, &request, fixture->now));
        /* The machine counts as silent. */
        assert_true(fixture->now - fixture_machine(fixture)->last_acknowledged_at >= 15000);
        commit_batch(fixture);
        /* Its new worker epoch is proof, so the task may be placed elsewhere. */
        assert_true(has_result(fixture, 0, CAUSE_NONE));
    }
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture); /* it follows within a second, so the answer has arrived */
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

/* Takes a probe and finishes it with the result. Returns the machine (transfer none), or NULL if no
 * probe is due. */
static const machine_t *probe_machine(partition_fixture_t *fixture, push_result_t result)
{
    const machine_t *machine =
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands);
    if (!machine)
        return NULL;
    assert_int_equal(fixture->commands->len, 0);
    partition_finish_push(fixture->partition, "m-000001", fixture->commands, fencing_token_first(7),
                          result);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    if (result <= PUSH_REFUSED)
        assert_int_equal(deliver_heartbeat(fixture, &heartbeat, true), HEARTBEAT_ACCEPTED);
    else
        worker_heartbeat_clear(&heartbeat);
    if (result == PUSH_EXECUTED)
        partition_record_probe_answer(fixture->partition, "m-000001", fixture->now);
    return machine;
}

/* Without probes, and with heartbeats 3 s apart, no machine would accept starts for up to 4 s after
 * each change of view. A new owner therefore probes its machines. The answer to a push of its own
 * view cannot be an old copy. */
static void test_probed_machine_accepts_starts_before_its_first_heartbeat(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000009", 0, 900, 4);
    load_page_record(fixture);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    assert_non_null(probe_machine(fixture, PUSH_EXECUTED));
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    /* The machine accepts starts only for a short time, since only heartbeats renew leases. */
    request.task = 1;
    fixture->now += fixture->partition->acknowledgement_timeout_ms;
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    /* A heartbeat that was sent before this view may still be a copy. */
    worker_heartbeat_t copy = fake_worker_heartbeat(fixture->worker);
    copy.fencing_token = fencing_token_first(6);
    assert_int_equal(deliver_heartbeat(fixture, &copy, false), HEARTBEAT_UNVERIFIED);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    exchange_heartbeat(fixture);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

/* With a small share of a processor, probing all machines takes longer than the wait for their next
 * heartbeats. Only machines that stay silent are probed. */
static void test_delayed_probes_go_only_to_silent_machines(void **state)
{
    partition_fixture_t *fixture = *state;
    partition_delay_probes(fixture->partition, 1.0);
    load_page_record(fixture);
    assert_int_equal(partition_due_dispatchers(fixture->partition, fixture->now), 0);
    assert_null(probe_machine(fixture, PUSH_EXECUTED));
    fixture->now += fixture->partition->probe_delay_ms;
    assert_int_not_equal(partition_due_dispatchers(fixture->partition, fixture->now), 0);
    assert_non_null(probe_machine(fixture, PUSH_EXECUTED));
    /* A machine that sent a heartbeat in time accepts starts without a probe. */
    partition_free(fixture->partition);
    fixture->partition = partition_fixture_new_partition(fixture, 7);
    partition_delay_probes(fixture->partition, 1.0);
    load_page_record(fixture);
    exchange_heartbeat(fixture);
    placement_request_t request = placement_request_of("j-000009", 0, 900, 4);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    fixture->now += fixture->partition->probe_delay_ms;
    exchange_heartbeat(fixture);
    partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands);
    assert_int_equal(fixture->partition->probes_in_flight, 0);
}

static void test_machine_that_refuses_a_probe_gets_no_starts(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000009", 0, 900, 4);
    load_page_record(fixture);
    /* The worker refuses the probe because of another worker epoch or a higher fencing token. */
    assert_non_null(probe_machine(fixture, PUSH_REFUSED));
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    assert_null(probe_machine(fixture, PUSH_EXECUTED)); /* a machine is probed only once */
    assert_int_equal(fixture->partition->probes_in_flight, 0);
    exchange_heartbeat(fixture);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

/* With an interval of 3 s, heartbeats may arrive 4.5 s apart. With a limit of 4 s, a machine would
 * look unreachable each time, and after lease_s + 5 s it would be terminated, with all its tasks.
 */
static void test_workers_with_long_heartbeat_intervals_stay_reachable(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000001", 0, 100, 1);
    partition_set_heartbeat_interval(fixture->partition, 3.0);
    exchange_heartbeat(fixture);
    for (uint32_t i = 0; i < 8; i++) {
        fixture->now += 3500; /* plus 1 s in exchange_heartbeat() */
        request.task = i;
        request.attempt = 100 + i;
        assert_non_null(partition_place(fixture->partition, &request, fixture->now));
        exchange_heartbeat(fixture);
        assert_true(fixture->now - fixture_machine(fixture)->last_acknowledged_at <= 1000);
    }
}

/* A command to a machine that hangs blocks a dispatcher until the command times out. The machine
 * must get no further command and no start until it acknowledges again, so that the machines behind
 * it in the queue are served. */
static void test_hanging_machine_gets_no_push_until_it_acknowledges(void **state)
{
    partition_fixture_t *fixture = *state;
    placement_request_t request = placement_request_of("j-000001", 1, 101, 4);
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    machine_t *machine =
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands);
    assert_ptr_equal(machine, fixture_machine(fixture));
    partition_finish_push(fixture->partition, "m-000001", fixture->commands, fencing_token_first(7),
                          PUSH_UNANSWERED);
    partition_end_job(fixture->partition, "j-000001"); /* a stop is now due for the machine */
    assert_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands));
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    exchange_heartbeat(fixture);
    exchange_heartbeat(fixture);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_commands_go_to_the_dispatcher_of_their_machine,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_machine_without_acknowledgements_gets_no_starts,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(
            test_probed_machine_accepts_starts_before_its_first_heartbeat, partition_fixture_set_up,
            partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_delayed_probes_go_only_to_silent_machines,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_machine_that_refuses_a_probe_gets_no_starts,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_workers_with_long_heartbeat_intervals_stay_reachable,
                                        partition_fixture_set_up, partition_fixture_tear_down),
        cmocka_unit_test_setup_teardown(test_hanging_machine_gets_no_push_until_it_acknowledges,
                                        partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("partition reachability", tests, NULL, NULL);
}
