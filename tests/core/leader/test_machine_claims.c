/* Tests of machine claims: machines are kept for large work within bounds of time and cost. */
#include "leader_fixture.h"
#include "unit_test.h"

/* Adds a job with one task of 4 cpus, which is first in the queue, and a job with small tasks of
 * low priority. */
static void add_large_and_small_job(leader_fixture_t *fixture)
{
    job_spec_t large = make_job("j-000001", "team-b", 1);
    job_spec_t small = make_job("j-000002", "team-b", 9);
    large.need.cpus = 4;
    small.need.cpus = 1;
    small.priority = PRIORITY_LOW;
    add_job(fixture, &large);
    add_job(fixture, &small);
}

/* Guards against starvation of a large task of normal priority: small tasks of low priority took
 * each cpu that was freed, so that four cpus were never free at once. */
static void test_machines_are_claimed_for_a_large_task_first_in_the_queue(void **state)
{
    leader_fixture_t *fixture = *state;
    set_machine(fixture, 0, "zone-a", 4, 3);
    add_large_and_small_job(fixture);
    assert_int_equal(schedule_and_count(fixture), 0); /* claimed until the last cpu is free */
    set_idle_machine(fixture, 0, "zone-a", 4);
    set_idle_machine(fixture, 1, "zone-b", 2);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000001"), 1);
    /* Small tasks use the machine on which the large one does not fit. */
    assert_int_equal(count_requests(requests, "j-000002"), 2);
}

/* The resources that the large task needs never become free. The claimed machine must be kept from
 * the small tasks for a limited time only. */
static void test_machine_claim_ends_after_the_maximum_time(void **state)
{
    leader_fixture_t *fixture = *state;
    add_large_and_small_job(fixture);
    guint started = 0;
    for (msec_t now = 1000; now < 91000 && !started; now += 250) {
        set_machine(fixture, 0, "zone-a", 4, 3);
        g_autoptr(GArray) requests = leader_schedule(fixture->leader, now, 2000, 100);
        started = count_requests(requests, "j-000002");
        assert_true(now > CLAIM_MAX_MS || started == 0);
    }
    assert_int_equal(started, 3);
}

/* Gives partition 0 spot machines that have half a cpu free each. */
static void set_busy_machines(leader_fixture_t *fixture, guint count)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < count; i++) {
        machine_summary_t summary = {
            .accepts_starts = true, .is_spot = true, .total = {16, 0, 64}, .free = {0.5, 0, 64}};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        g_strlcpy(summary.type, "t16", sizeof summary.type);
        g_strlcpy(summary.zone, "zone-a", sizeof summary.zone);
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(fixture->leader, 0, summaries);
}

/* Guards against placement rounds whose cost is the length of the backlog times the number of
 * machines. Work that fits on no machine must not make the round examine the summaries. */
static void test_round_skips_summaries_for_work_that_fits_no_machine(void **state)
{
    leader_fixture_t *fixture = *state;
    enum { MACHINES = 64, JOBS = 200 };
    set_busy_machines(fixture, MACHINES);
    for (guint i = 0; i < JOBS; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        job_spec_t spec = make_job(id, "team-a", 50);
        spec.priority = PRIORITY_LOW; /* neither preempts nor claims */
        add_job(fixture, &spec);
    }
    assert_int_equal(schedule_and_count(fixture), 0);
    assert_int_equal(fixture->leader->round.summaries_examined, 0);
    job_spec_t spec = make_job("j-900000", "team-a", 50);
    add_job(fixture, &spec);
    schedule_and_count(fixture);
    /* For the job of normal priority an eighth of the machines is claimed. Each claim examines all
     * summaries. */
    assert_in_range(fixture->leader->round.summaries_examined, 1,
                    MACHINES * (MACHINES / CLAIMED_MACHINES_DIVISOR));
}

/* Guards against machines that are kept for a job that cannot use them, because its other task is
 * in another zone, which delays the work that can. */
static void test_no_machine_is_claimed_in_a_zone_that_the_job_may_not_use(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t large = make_job("j-000001", "team-b", 2);
    job_spec_t small = make_job("j-000002", "team-b", 9);
    large.need.cpus = 4;
    large.needs_same_zone = true;
    small.need.cpus = 1;
    small.priority = PRIORITY_LOW;
    add_job(fixture, &large);
    add_job(fixture, &small);
    record_entry_t entry = make_record_entry("j-000001", "team-b", 0, 7);
    load_attempt(fixture, &entry, "zone-a", 0);
    set_machine(fixture, 1, "zone-b", 4, 3);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000002"), 3);
}

/* Guards against machines that are kept for a job that gets only one attempt at a time because it
 * fails. */
static void test_no_machine_is_claimed_for_a_job_that_may_not_start_a_task(void **state)
{
    leader_fixture_t *fixture = *state;
    add_large_and_small_job(fixture);
    job_spec_t failing = make_job("j-000003", "team-b", JOB_ERRORS_BACKOFF_COUNT + 2);
    failing.need.cpus = 4;
    leader_remove_job(fixture->leader, "j-000001");
    add_job(fixture, &failing);
    for (uint32_t i = 0; i < JOB_ERRORS_BACKOFF_COUNT; i++) {
        record_entry_t entry = make_record_entry("j-000003", "team-b", i, 7);
        load_attempt(fixture, &entry, "zone-a", 0);
        handle_result(fixture, 0, task_ref("j-000003", i, 7), CAUSE_ERROR);
    }
    set_idle_machine(fixture, 0, "zone-a", 4);
    set_machine(fixture, 1, "zone-b", 4, 3);
    g_autoptr(GArray) requests =
        leader_schedule(fixture->leader, 1000 + JOB_BACKOFF_MAX_MS, 2000, 100);
    assert_int_equal(count_requests(requests, "j-000003"), 1);
    assert_int_equal(count_requests(requests, "j-000002"), 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_machines_are_claimed_for_a_large_task_first_in_the_queue, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_machine_claim_ends_after_the_maximum_time,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_no_machine_is_claimed_in_a_zone_that_the_job_may_not_use, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_no_machine_is_claimed_for_a_job_that_may_not_start_a_task, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_round_skips_summaries_for_work_that_fits_no_machine,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("machine_claims", tests, NULL, NULL);
}
