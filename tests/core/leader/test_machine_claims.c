/* Tests of machine claims: large work gets machines, for a bounded time and at a bounded cost. */
#include "leader_fixture.h"
#include "unit_test.h"

/* A task of 4 cpus that goes first, and small ones of low priority. */
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

/* Small low tasks took each cpu that was freed, and a large normal task never found four at once.
 */
static void test_machines_are_claimed_for_a_large_task_that_goes_first(void **state)
{
    leader_fixture_t *fixture = *state;
    set_machine(fixture, 0, "zone-a", 4, 3);
    add_large_and_small_job(fixture);
    assert_int_equal(schedule_count(fixture), 0); /* claimed: the last small task ends soon */
    set_idle_machine(fixture, 0, "zone-a", 4);
    set_idle_machine(fixture, 1, "zone-b", 2);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(count_requests(requests, "j-000001"), 1);
    /* Where the large one can't go, others can. */
    assert_int_equal(count_requests(requests, "j-000002"), 2);
}

/* The large task's resources do not come free: what the claimed machine has is kept from the small
 * ones for a while only. */
static void test_a_machine_claim_is_bounded(void **state)
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

/* Spot machines that are nearly full. */
static void set_busy_machines(leader_fixture_t *fixture, guint count)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < count; i++) {
        machine_summary_t summary = {
            .is_open = true, .is_spot = true, .total = {16, 0, 64}, .free = {0.5, 0, 64}};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        g_strlcpy(summary.type, "t16", sizeof summary.type);
        g_strlcpy(summary.zone, "zone-a", sizeof summary.zone);
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(fixture->leader, 0, summaries);
}

/* A backlog costs what can be done about it, not its length times the machines. */
static void test_work_that_fits_nowhere_examines_no_machine(void **state)
{
    leader_fixture_t *fixture = *state;
    enum { MACHINES = 64, JOBS = 200 };
    set_busy_machines(fixture, MACHINES);
    for (guint i = 0; i < JOBS; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        job_spec_t spec = make_job(id, "team-a", 50);
        spec.priority = PRIORITY_LOW; /* nothing is preempted or claimed for it */
        add_job(fixture, &spec);
    }
    assert_int_equal(schedule_count(fixture), 0);
    assert_int_equal(fixture->leader->round.summaries_examined, 0);
    job_spec_t spec = make_job("j-900000", "team-a", 50);
    add_job(fixture, &spec);
    schedule_count(fixture);
    /* Claimed for the one of higher priority: an eighth of the machines, each after examining all.
     */
    assert_in_range(fixture->leader->round.summaries_examined, 1,
                    MACHINES * (MACHINES / CLAIMED_MACHINES_DIVISOR));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_machines_are_claimed_for_a_large_task_that_goes_first,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_machine_claim_is_bounded, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_work_that_fits_nowhere_examines_no_machine,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("machine_claims", tests, NULL, NULL);
}
