/* Tests of quotas: every attempt counts against its team's limit until it is proven to be over. */
#include "core/leader/demand.h"
#include "leader_fixture.h"
#include "unit_test.h"

static void test_team_limit_counts_outstanding_attempts(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-a", 50);
    set_idle_machine(fixture, 0, "zone-a", 1000);
    add_job(fixture, &spec);
    assert_int_equal(schedule_and_count(fixture), 12); /* the limit of 24 cpus, 2 for each task */
    assert_int_equal(schedule_and_count(fixture), 0);  /* no attempt is proven to be over */
}

static void test_recorded_attempts_of_ended_jobs_count_against_the_quota(void **state)
{
    leader_fixture_t *fixture = *state;
    record_entry_t entry = make_record_entry("j-000009", "team-a", 0, 9);
    entry.need.cpus = 23;
    load_attempt(fixture, &entry, "zone-a", 0);
    job_spec_t spec = make_job("j-000001", "team-a", 1);
    set_idle_machine(fixture, 0, "zone-a", 1000);
    add_job(fixture, &spec);
    assert_int_equal(schedule_and_count(fixture), 0);
    handle_result(fixture, 0, task_ref("j-000009", 0, 9), CAUSE_NONE);
    assert_int_equal(schedule_and_count(fixture), 1);
}

/* Both teams are at their limits with attempts on unreachable machines. One job was cancelled
 * before the new leader read the records, another is cancelled afterwards. Each attempt counts
 * until it is proven to be over, and then makes room for exactly one task. */
static void test_quotas_hold_across_a_leader_change_with_cancellations(void **state)
{
    leader_fixture_t *fixture = *state;
    g_array_index(fixture->teams, team_t, 1).max_cpus = 24;
    replace_leader(fixture, 2, 4);
    job_spec_t cancelled_later = make_job("j-000001", "team-a", 12);
    add_job(fixture, &cancelled_later);
    for (uint32_t i = 0; i < 12; i++) {
        record_entry_t team_a_entry = make_record_entry("j-000001", "team-a", i, 9);
        record_entry_t team_b_entry = make_record_entry("j-000002", "team-b", i, 9);
        load_attempt(fixture, &team_a_entry, "zone-b", 1);
        load_attempt(fixture, &team_b_entry, "zone-b", 1);
    }
    leader_remove_job(fixture->leader, "j-000001");
    job_spec_t waiting[] = {make_job("j-000003", "team-a", 50), make_job("j-000004", "team-b", 50)};
    set_idle_machine(fixture, 0, "zone-a", 1000);
    add_job(fixture, &waiting[0]);
    add_job(fixture, &waiting[1]);
    assert_int_equal(schedule_and_count(fixture), 0);
    task_ref_t ended[] = {task_ref("j-000001", 3, 9), task_ref("j-000002", 5, 9)};
    cause_t causes[] = {CAUSE_NONE, CAUSE_STOPPED};
    for (guint i = 0; i < 2; i++) {
        handle_result(fixture, 1, ended[i], causes[i]);
        handle_result(fixture, 1, ended[i], causes[i]); /* a duplicate counts only once */
        g_autoptr(GArray) requests = schedule(fixture);
        assert_int_equal(requests->len, 1);
        assert_int_equal(count_requests(requests, waiting[i].id), 1);
    }
}

/* Returns the number of tasks of the only job for which there is demand. */
static uint32_t count_demanded(const leader_fixture_t *fixture)
{
    g_autoptr(GArray) demand = leader_demand(fixture->leader, 1000);
    return demand->len ? g_array_index(demand, job_demand_t, 0).tasks : 0;
}

/* Guards against machines that are scaled out, and kept, for tasks that the limits of their team do
 * not admit: gpus were not considered, and neither that a gang needs all of its tasks at once. */
static void test_there_is_no_demand_beyond_the_limits_of_the_team(void **state)
{
    leader_fixture_t *fixture = *state;
    add_team(fixture, "team-c", 0, 0);
    g_array_index(fixture->teams, team_t, 2).max_gpus = 3;
    replace_leader(fixture, 1, 3);
    job_spec_t spec = make_job("j-000001", "team-c", 9);
    spec.need.gpus = 1;
    add_job(fixture, &spec);
    assert_int_equal(count_demanded(fixture), 3);
    replace_leader(fixture, 1, 3);
    spec = make_job("j-000001", "team-a", 13); /* team-a has 24 cpus at most */
    add_job(fixture, &spec);
    assert_int_equal(count_demanded(fixture), 12);
    replace_leader(fixture, 1, 3);
    spec.kind = KIND_GANG;
    add_job(fixture, &spec);
    assert_int_equal(count_demanded(fixture), 0);
    replace_leader(fixture, 1, 3);
    spec.tasks = 12;
    add_job(fixture, &spec);
    assert_int_equal(count_demanded(fixture), 12);
}

/* Guards against urgent work for which no machine is scaled out. It is requested with preemption,
 * refused, and requested again half a second later, so it was seldom among the demand. */
static void test_a_refused_request_does_not_hide_demand(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t urgent = make_job("j-000001", "team-b", 1);
    urgent.priority = PRIORITY_HIGH;
    add_job(fixture, &urgent);
    set_machine(fixture, 0, "zone-a", 16, 0);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 1);
    handle_result(fixture, 0, task_ref("j-000001", 0, request_at(requests, 0)->request.attempt),
                  CAUSE_FULL);
    assert_int_equal(count_demanded(fixture), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_team_limit_counts_outstanding_attempts, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_recorded_attempts_of_ended_jobs_count_against_the_quota, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_there_is_no_demand_beyond_the_limits_of_the_team,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_refused_request_does_not_hide_demand, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_quotas_hold_across_a_leader_change_with_cancellations,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("quota", tests, NULL, NULL);
}
