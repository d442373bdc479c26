/* Tests of the order of work: fair share between teams and the order of a team's jobs. */
#include "leader_fixture.h"
#include "unit_test.h"

static void test_teams_are_served_by_fair_share_and_guarantee(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t team_a_job = make_job("j-000001", "team-a", 100);
    job_spec_t team_b_job = make_job("j-000002", "team-b", 100);
    set_idle_machine(fixture, 0, "zone-a", 64);
    add_job(fixture, &team_a_job);
    add_job(fixture, &team_b_job);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 32);
    assert_true(count_requests(requests, "j-000002") > 2 * count_requests(requests, "j-000001"));
    assert_true(count_requests(requests, "j-000001") >= 4); /* its guarantee of 8 cpus */
}

/* Replaces the leader by one for which neither team has a guarantee or a limit. */
static void remove_quotas(leader_fixture_t *fixture)
{
    g_array_set_size(fixture->teams, 0);
    add_team(fixture, "team-a", 0, 0);
    add_team(fixture, "team-b", 0, 0);
    replace_leader(fixture, 2, 3);
}

/* Guards against fair share by number of starts. With equal starts, teams without a guarantee whose
 * tasks took five minutes came to hold five sixths of the cpus, because the tasks of the other
 * teams took twenty seconds. Free cpus must go to the team that holds fewer in relation to its
 * weight. */
static void test_fair_share_compares_cpus_in_use_instead_of_starts(void **state)
{
    leader_fixture_t *fixture = *state;
    remove_quotas(fixture);
    record_entry_t loaded = make_record_entry("j-000009", "team-a", 0, 9);
    loaded.need.cpus = 40;
    load_attempt(fixture, &loaded, "zone-a", 0);
    job_spec_t team_a_job = make_job("j-000001", "team-a", 100);
    job_spec_t team_b_job = make_job("j-000002", "team-b", 100);
    set_idle_machine(fixture, 0, "zone-a", 30);
    add_job(fixture, &team_a_job);
    add_job(fixture, &team_b_job);
    g_autoptr(GArray) first_round = schedule(fixture);
    assert_int_equal(count_requests(first_round, "j-000002"), 15);
    /* Team-b holds 30 cpus now and team-a holds 40. Team-b gets 10 cpus, and the other 20 are
     * divided equally. */
    set_idle_machine(fixture, 0, "zone-a", 30);
    g_autoptr(GArray) second_round = schedule(fixture);
    assert_int_equal(count_requests(second_round, "j-000002"), 10);
    assert_int_equal(count_requests(second_round, "j-000001"), 5);
}

/* Guards against missed SLOs: tasks of five minutes without an SLO took half of all machines, and
 * most jobs with an SLO missed it. */
static void test_work_without_slo_gets_half_of_its_team_weight(void **state)
{
    leader_fixture_t *fixture = *state;
    remove_quotas(fixture);
    job_spec_t with_deadline = make_job("j-000001", "team-a", 100);
    job_spec_t without_slo = make_job("j-000002", "team-b", 100);
    with_deadline.deadline_s = 100;
    set_idle_machine(fixture, 0, "zone-a", 30);
    add_job(fixture, &with_deadline);
    add_job(fixture, &without_slo);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000001"), 10);
    assert_int_equal(count_requests(requests, "j-000002"), 5);
}

static void test_higher_priority_job_goes_before_older_job(void **state)
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

static void test_jobs_that_cannot_meet_their_deadline_go_last(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t too_late = make_job("j-000001", "team-b", 1);
    job_spec_t in_time = make_job("j-000002", "team-b", 1);
    too_late.deadline_s = 5; /* the estimate is 10 s */
    in_time.deadline_s = 500;
    set_idle_machine(fixture, 0, "zone-a", 2);
    add_job(fixture, &too_late);
    add_job(fixture, &in_time);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000002"), 1);
    assert_int_equal(count_requests(requests, "j-000001"), 0);
}

/* Guards against starvation of a large job of low priority. Small jobs keep arriving and would take
 * all resources. The large job must nevertheless get its first task started after two minutes
 * (STARVATION_AGE_MS) and more of its tasks after four (LONG_STARVATION_AGE_MS). */
static void test_large_job_starts_under_lasting_overload(void **state)
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
    int64_t ages[] = {STARVATION_AGE_MS - 1000, STARVATION_AGE_MS, STARVATION_AGE_MS + 10000,
                      LONG_STARVATION_AGE_MS};
    guint started[] = {0, 1, 0, 10}; /* of twenty tasks requested at that age */
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
        cmocka_unit_test_setup_teardown(test_fair_share_compares_cpus_in_use_instead_of_starts,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_work_without_slo_gets_half_of_its_team_weight,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_higher_priority_job_goes_before_older_job,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_jobs_that_cannot_meet_their_deadline_go_last,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_large_job_starts_under_lasting_overload, set_up_leader,
                                        tear_down_leader),
    };
    return cmocka_run_group_tests_name("team_queues", tests, NULL, NULL);
}
