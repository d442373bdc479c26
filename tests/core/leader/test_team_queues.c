/* Tests of the order of work: fair share between teams, the order of a team's jobs. */
#include "leader_fixture.h"
#include "unit_test.h"

static void test_teams_are_served_by_fair_share_and_guarantee(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t of_team_a = make_job("j-000001", "team-a", 100);
    job_spec_t of_team_b = make_job("j-000002", "team-b", 100);
    set_idle_machine(fixture, 0, "zone-a", 64);
    add_job(fixture, &of_team_a);
    add_job(fixture, &of_team_b);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 32);
    assert_true(count_requests(requests, "j-000002") > 2 * count_requests(requests, "j-000001"));
    assert_true(count_requests(requests, "j-000001") >= 4); /* its guarantee of 8 cpus */
}

/* A new leader, for whom neither team has a guarantee or a limit. */
static void remove_quotas(leader_fixture_t *fixture)
{
    g_array_set_size(fixture->teams, 0);
    add_team(fixture, "team-a", 0, 0);
    add_team(fixture, "team-b", 0, 0);
    replace_leader(fixture, 2, 3);
}

/* By equal starts, tasks of five minutes of teams without a guarantee came to hold five sixths of
 * the cpus beside the others' of twenty seconds. What is freed goes to the team that holds less for
 * its weight. */
static void test_a_share_is_one_of_the_resources_in_use(void **state)
{
    leader_fixture_t *fixture = *state;
    remove_quotas(fixture);
    record_entry_t loaded = make_record_entry("j-000009", "team-a", 0, 9);
    loaded.need.cpus = 40;
    load_attempt(fixture, &loaded, "zone-a", 0);
    job_spec_t of_team_a = make_job("j-000001", "team-a", 100);
    job_spec_t of_team_b = make_job("j-000002", "team-b", 100);
    set_idle_machine(fixture, 0, "zone-a", 30);
    add_job(fixture, &of_team_a);
    add_job(fixture, &of_team_b);
    g_autoptr(GArray) first_round = schedule(fixture);
    assert_int_equal(count_requests(first_round, "j-000002"), 15);
    /* Team-b holds 30 now: 10 more make it equal, and the rest is divided. */
    set_idle_machine(fixture, 0, "zone-a", 30);
    g_autoptr(GArray) second_round = schedule(fixture);
    assert_int_equal(count_requests(second_round, "j-000002"), 10);
    assert_int_equal(count_requests(second_round, "j-000001"), 5);
}

/* Five-minute tasks without an SLO took half of all machines, and most jobs that had one missed it.
 */
static void test_work_without_an_aim_counts_half_of_its_team(void **state)
{
    leader_fixture_t *fixture = *state;
    remove_quotas(fixture);
    job_spec_t with_deadline = make_job("j-000001", "team-a", 100);
    job_spec_t without = make_job("j-000002", "team-b", 100);
    with_deadline.deadline_s = 100;
    set_idle_machine(fixture, 0, "zone-a", 30);
    add_job(fixture, &with_deadline);
    add_job(fixture, &without);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000001"), 10);
    assert_int_equal(count_requests(requests, "j-000002"), 5);
}

static void test_priority_comes_before_age(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t older = make_job("j-000001", "team-b", 1);
    job_spec_t urgent = make_job("j-000002", "team-b", 1);
    urgent.priority = PRIORITY_HIGH;
    urgent.submitted_ms = 1500;
    set_idle_machine(fixture, 0, "zone-a", 2);
    add_job(fixture, &older);
    add_job(fixture, &urgent);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000002"), 1);
    assert_int_equal(count_requests(requests, "j-000001"), 0);
}

static void test_deadlines_that_cannot_be_met_come_last(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t too_late = make_job("j-000001", "team-b", 1);
    job_spec_t in_time = make_job("j-000002", "team-b", 1);
    too_late.deadline_s = 5; /* estimate 10 */
    in_time.deadline_s = 500;
    set_idle_machine(fixture, 0, "zone-a", 2);
    add_job(fixture, &too_late);
    add_job(fixture, &in_time);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000002"), 1);
    assert_int_equal(count_requests(requests, "j-000001"), 0);
}

/* Small jobs keep coming, and all resources go to them: the large one is started after two minutes
 * all the same, and gets on after four. */
static void test_large_job_is_begun_under_lasting_overload(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t large = make_job("j-000001", "team-b", 160);
    large.priority = PRIORITY_LOW;
    add_job(fixture, &large);
    for (int i = 2; i < 60; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06d", i);
        job_spec_t small = make_job(id, "team-b", 2);
        small.submitted_ms = large.submitted_ms + (int64_t)5000 * i;
        add_job(fixture, &small);
    }
    int64_t ages[] = {STARVING_MS - 1000, STARVING_MS, STARVING_MS + 10000, STARVING_LONG_MS};
    guint started[] = {0, 1, 0, 10}; /* requested then, with resources for twenty tasks */
    for (int i = 0; i < 4; i++) {
        set_idle_machine(fixture, 0, "zone-a", 40);
        g_autoptr(GArray) requests =
            leader_schedule(fixture->leader, 1000, large.submitted_ms + ages[i], 100);
        assert_int_equal(requests->len, 20);
        assert_int_equal(count_requests(requests, "j-000001"), started[i]);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_teams_are_served_by_fair_share_and_guarantee,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_share_is_one_of_the_resources_in_use, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_work_without_an_aim_counts_half_of_its_team,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_priority_comes_before_age, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_deadlines_that_cannot_be_met_come_last, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_large_job_is_begun_under_lasting_overload,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("team_queues", tests, NULL, NULL);
}
