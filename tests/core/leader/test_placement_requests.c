/* Tests of placement requests: the partition chosen, and what binds a job's tasks to a zone or to
 * each other. */
#include "leader_fixture.h"
#include "unit_test.h"

static void test_requests_go_to_the_partition_with_most_free_resources(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    set_idle_machine(fixture, 0, "zone-a", 4);
    set_idle_machine(fixture, 1, "zone-b", 16);
    add_job(fixture, &spec);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 1);
    assert_int_equal(request_at(requests, 0)->partition, 1);
}

/* Before the first machine was up, urgent work was requested with preemption round after round, and
 * each refusal held its job back for a moment. */
static void test_nothing_is_requested_where_there_is_no_machine(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t urgent = make_job("j-000001", "team-b", 3);
    urgent.priority = PRIORITY_HIGH;
    add_job(fixture, &urgent);
    assert_int_equal(schedule_count(fixture), 0);
    set_idle_machine(fixture, 1, "zone-a", 2);
    /* One fits, others may be preempted for two. */
    assert_int_equal(schedule_count(fixture), 3);
}

static void test_same_zone_binds_the_later_tasks(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 3);
    spec.needs_same_zone = true;
    set_idle_machine(fixture, 0, "zone-a", 2);
    set_idle_machine(fixture, 1, "zone-b", 3);
    add_job(fixture, &spec);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 1);
    assert_string_equal(request_at(requests, 0)->request.zone, "zone-b");
}

static void test_spread_keeps_half_in_a_zone(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 5);
    spec.needs_spread = true;
    set_idle_machine(fixture, 0, "zone-a", 100);
    add_job(fixture, &spec);
    assert_int_equal(schedule_count(fixture), 3);
}

/* The zone of a bound job lost its machines: what may still run there binds the others, and they
 * start elsewhere as soon as it is proved over. */
static void test_a_bound_job_moves_only_when_its_old_zone_is_proved_empty(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t same_zone = make_job("j-000001", "team-b", 2);
    job_spec_t spread = make_job("j-000002", "team-b", 3);
    same_zone.needs_same_zone = true;
    spread.needs_spread = true;
    add_job(fixture, &same_zone);
    add_job(fixture, &spread);
    record_entry_t bound = make_record_entry("j-000001", "team-b", 0, 9);
    load_attempt(fixture, &bound, "zone-b", 1);
    for (uint32_t task = 0; task < 2; task++) {
        record_entry_t half = make_record_entry("j-000002", "team-b", task, 9);
        load_attempt(fixture, &half, "zone-a", 0);
    }
    set_idle_machine(fixture, 0, "zone-a", 20);
    assert_int_equal(schedule_count(fixture), 0);
    handle_result(fixture, 1, task_ref("j-000001", 0, 9), CAUSE_NONE);
    handle_result(fixture, 0, task_ref("j-000002", 1, 9), CAUSE_NONE);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000001"), 2);
    assert_int_equal(count_requests(requests, "j-000002"), 1); /* the half that may be here */
}

static void test_gang_is_requested_whole_or_not_at_all(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 4);
    spec.kind = KIND_GANG;
    set_idle_machine(fixture, 0, "zone-a", 6);
    add_job(fixture, &spec);
    assert_int_equal(schedule_count(fixture), 0);
    set_idle_machine(fixture, 1, "zone-b", 6);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 4);
    assert_int_equal(request_at(requests, 0)->request.attempt,
                     request_at(requests, 3)->request.attempt);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_requests_go_to_the_partition_with_most_free_resources,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_nothing_is_requested_where_there_is_no_machine,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_same_zone_binds_the_later_tasks, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_spread_keeps_half_in_a_zone, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_a_bound_job_moves_only_when_its_old_zone_is_proved_empty, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_gang_is_requested_whole_or_not_at_all, set_up_leader,
                                        tear_down_leader),
    };
    return cmocka_run_group_tests_name("placement_requests", tests, NULL, NULL);
}
