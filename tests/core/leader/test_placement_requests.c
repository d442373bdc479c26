/* Tests of placement requests: the choice of the partition, same-zone and spread constraints, and
 * gangs. */
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

/* Guards against requests that can only be refused. Before the first machine was up, each round
 * requested work of high priority with preemption, and each refusal caused a short back-off of its
 * job. */
static void test_no_placement_is_requested_without_an_eligible_machine(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t urgent = make_job("j-000001", "team-b", 3);
    urgent.priority = PRIORITY_HIGH;
    add_job(fixture, &urgent);
    assert_int_equal(schedule_and_count(fixture), 0);
    set_idle_machine(fixture, 1, "zone-a", 2);
    /* One task fits. The other two are requested with preemption. */
    assert_int_equal(schedule_and_count(fixture), 3);
}

/* Guards against urgent work that never preempts: the partition with the most cpus was asked again
 * and again, although the task is too large for each of its machines. */
static void test_preemption_is_requested_where_the_task_fits_on_a_machine(void **state)
{
    enum { SMALL_MACHINES = 5 };
    leader_fixture_t *fixture = *state;
    job_spec_t urgent = make_job("j-000001", "team-b", 1);
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < SMALL_MACHINES; i++) {
        machine_summary_t summary = {
            .type = "s", .zone = "zone-a", .accepts_starts = true, .total = {4, 0, 999}};
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(fixture->leader, 0, summaries);
    set_machine(fixture, 1, "zone-b", 16, 0);
    urgent.priority = PRIORITY_HIGH;
    urgent.need.cpus = 8;
    add_job(fixture, &urgent);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 1);
    assert_int_equal(request_at(requests, 0)->partition, 1);
}

static void test_same_zone_job_is_placed_in_a_single_zone(void **state)
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

static void test_spread_job_places_at_most_half_of_its_tasks_in_a_zone(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 5);
    spec.needs_spread = true;
    set_idle_machine(fixture, 0, "zone-a", 100);
    add_job(fixture, &spec);
    assert_int_equal(schedule_and_count(fixture), 3);
}

/* A same-zone job has an attempt in a zone that lost its machines, and a spread job has half of its
 * tasks in the only zone with machines. These attempts may still run, so they count until they are
 * proven to be over. Only then may other tasks of the jobs start in the zone with machines. */
static void test_zone_limits_count_attempts_until_proven_to_be_over(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t same_zone = make_job("j-000001", "team-b", 2);
    job_spec_t spread = make_job("j-000002", "team-b", 3);
    same_zone.needs_same_zone = true;
    spread.needs_spread = true;
    add_job(fixture, &same_zone);
    add_job(fixture, &spread);
    record_entry_t same_zone_entry = make_record_entry("j-000001", "team-b", 0, 9);
    load_attempt(fixture, &same_zone_entry, "zone-b", 1);
    for (uint32_t task = 0; task < 2; task++) {
        record_entry_t spread_entry = make_record_entry("j-000002", "team-b", task, 9);
        load_attempt(fixture, &spread_entry, "zone-a", 0);
    }
    set_idle_machine(fixture, 0, "zone-a", 20);
    assert_int_equal(schedule_and_count(fixture), 0);
    handle_result(fixture, 1, task_ref("j-000001", 0, 9), CAUSE_NONE);
    handle_result(fixture, 0, task_ref("j-000002", 1, 9), CAUSE_NONE);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000001"), 2);
    assert_int_equal(count_requests(requests, "j-000002"), 1); /* at most 2 of 3 in zone-a */
}

/* Guards against attempt numbers of one view that run into those of the next one. Each round tried
 * to place every waiting job and used a number for it, so a long queue used up the 16 million
 * numbers of a view within hours. */
static void test_only_requests_use_attempt_numbers(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t array = make_job("j-000001", "team-b", 1);
    job_spec_t gang = make_job("j-000002", "team-b", 2);
    gang.kind = KIND_GANG;
    add_job(fixture, &array);
    add_job(fixture, &gang);
    set_machine(fixture, 0, "zone-a", 16, 0);
    for (guint i = 0; i < 10; i++)
        assert_int_equal(schedule_and_count(fixture), 0);
    assert_int_equal(fixture->leader->attempt_count, 0);
    set_idle_machine(fixture, 0, "zone-a", 16);
    assert_int_equal(schedule_and_count(fixture), 3);
    assert_int_equal(fixture->leader->attempt_count, 2);
    assert_false(leader_needs_new_view(fixture->leader));
    fixture->leader->attempt_count = 1 << (ATTEMPT_SHIFT_BITS - 1);
    assert_true(leader_needs_new_view(fixture->leader));
}

static void test_gang_is_requested_completely_or_not_at_all(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 4);
    spec.kind = KIND_GANG;
    set_idle_machine(fixture, 0, "zone-a", 6);
    add_job(fixture, &spec);
    assert_int_equal(schedule_and_count(fixture), 0);
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
        cmocka_unit_test_setup_teardown(test_no_placement_is_requested_without_an_eligible_machine,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_preemption_is_requested_where_the_task_fits_on_a_machine, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_same_zone_job_is_placed_in_a_single_zone,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_spread_job_places_at_most_half_of_its_tasks_in_a_zone,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_zone_limits_count_attempts_until_proven_to_be_over,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_only_requests_use_attempt_numbers, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_gang_is_requested_completely_or_not_at_all,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("placement_requests", tests, NULL, NULL);
}
