/* Tests of failure records: jobs that fail repeatedly back off, and machines on which several jobs
 * fail are quarantined. */
#include "leader_fixture.h"
#include "unit_test.h"

/* Guards against a job that fails on every machine and accumulates reservations until its partition
 * appears full. This is a known weakness of projected least-loaded placement. */
static void test_job_that_fails_everywhere_backs_off(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 50);
    set_idle_machine(fixture, 0, "zone-a", 20);
    add_job(fixture, &spec);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 10);
    for (guint i = 0; i < requests->len; i++) {
        const placement_request_t *request = &request_at(requests, i)->request;
        handle_result(fixture, 0, task_ref(request->job, request->task, request->attempt),
                      CAUSE_ERROR);
    }
    set_idle_machine(fixture, 0, "zone-a", 20);
    assert_int_equal(schedule_and_count(fixture), 0);
    g_autoptr(GArray) later =
        leader_schedule(fixture->leader, 1000 + JOB_BACKOFF_MAX_MS, 2000, 100);
    assert_int_equal(later->len, 1);
}

static void fail_on_machine(leader_fixture_t *fixture, const char *machine, const char *job,
                            uint32_t task)
{
    record_entry_t entry = make_record_entry(job, "team-b", task, 77);
    load_attempt(fixture, &entry, "zone-a", 0);
    attempt_result_t failed = {.ref = task_ref(job, task, 77), .cause = CAUSE_ERROR};
    g_strlcpy(failed.machine, machine, sizeof failed.machine);
    leader_handle_result(fixture->leader, 0, &failed, 1000);
}

static void test_machine_is_quarantined_after_failures_of_several_jobs(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t first = make_job("j-000001", "team-b", 9);
    job_spec_t second = make_job("j-000002", "team-b", 9);
    add_job(fixture, &first);
    add_job(fixture, &second);
    for (uint32_t i = 0; i < 5; i++)
        fail_on_machine(fixture, "m-1", "j-000001", i); /* the job may be at fault */
    assert_false(leader_is_quarantined(fixture->leader, "m-1"));
    fail_on_machine(fixture, "m-1", "j-000002", 0);
    assert_true(leader_is_quarantined(fixture->leader, "m-1"));
    fail_on_machine(fixture, "m-2", "j-000001", 6);
    fail_on_machine(fixture, "m-2", "j-000002", 1);
    assert_false(leader_is_quarantined(fixture->leader, "m-2"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_job_that_fails_everywhere_backs_off, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_machine_is_quarantined_after_failures_of_several_jobs,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("failure_records", tests, NULL, NULL);
}
