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

/* Runs a round on a machine with 20 free cpus. Returns the number of requests. */
static guint schedule_and_count_at(leader_fixture_t *fixture, msec_t now)
{
    set_idle_machine(fixture, 0, "zone-a", 20);
    g_autoptr(GArray) requests = leader_schedule(fixture->leader, now, 2000, 100);
    return requests->len;
}

/* Reports at this time that the outstanding attempt at the task has failed. */
static void fail_task(leader_fixture_t *fixture, const char *job, uint32_t task, msec_t now)
{
    g_autoptr(GArray) attempts = leader_outstanding_attempts(fixture->leader, job);
    for (guint i = 0; i < attempts->len; i++) {
        attempt_result_t failed = {.ref = g_array_index(attempts, partition_attempt_t, i).ref,
                                   .cause = CAUSE_ERROR};
        if (failed.ref.task == task)
            leader_handle_result(fixture->leader, 0, &failed, now);
    }
}

static void add_job_of_kind(leader_fixture_t *fixture, job_kind_t kind)
{
    job_spec_t spec = make_job("j-000001", "team-b", 7);
    spec.kind = kind;
    add_job(fixture, &spec);
    assert_int_equal(schedule_and_count_at(fixture, 1000), 7);
}

/* Guards against a service that loses replicas for good. Its replicas end with an error now and
 * then, but never successfully, so after the fourth such end it counted as failing, however far
 * apart the ends were, and its other replicas kept the lost ones from being started again. */
static void test_lost_replicas_of_a_service_are_started_again(void **state)
{
    leader_fixture_t *fixture = *state;
    add_job_of_kind(fixture, KIND_SERVICE);
    for (uint32_t i = 0; i < 6; i++) {
        msec_t now = 1000 + (i + 1) * (msec_t)JOB_BACKOFF_MAX_MS;
        fail_task(fixture, "j-000001", i, now);
        assert_int_equal(schedule_and_count_at(fixture, now), 1);
    }
}

/* Guards against a job with running tasks that counts as failing and gets no further attempt: an
 * attempt that lasts must not hinder the next one for more than JOB_BACKOFF_MAX_MS. */
static void test_a_failing_job_with_running_tasks_gets_further_attempts(void **state)
{
    leader_fixture_t *fixture = *state;
    add_job_of_kind(fixture, KIND_ARRAY);
    for (uint32_t i = 0; i < JOB_ERRORS_BACKOFF_COUNT; i++)
        fail_task(fixture, "j-000001", i, 1000);
    assert_int_equal(schedule_and_count_at(fixture, 1000 + JOB_BACKOFF_MAX_MS - 1), 0);
    msec_t first = 1000 + JOB_BACKOFF_MAX_MS;
    assert_int_equal(schedule_and_count_at(fixture, first), 1);
    assert_int_equal(schedule_and_count_at(fixture, first + JOB_BACKOFF_MAX_MS - 1), 0);
    assert_int_equal(schedule_and_count_at(fixture, first + JOB_BACKOFF_MAX_MS), 1);
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

/* Adds two jobs, and lets the tasks of both fail on the machine until it is quarantined. */
static void quarantine_by_two_jobs(leader_fixture_t *fixture, const char *machine)
{
    job_spec_t first = make_job("j-000001", "team-b", 9);
    job_spec_t second = make_job("j-000002", "team-b", 9);
    add_job(fixture, &first);
    add_job(fixture, &second);
    fail_on_machine(fixture, machine, "j-000001", 0);
    fail_on_machine(fixture, machine, "j-000001", 1);
    fail_on_machine(fixture, machine, "j-000002", 0);
    assert_true(leader_is_quarantined(fixture->leader, machine));
}

/* Returns the number of machines whose quarantine has ended. */
static guint update_quarantines(leader_fixture_t *fixture, msec_t now)
{
    g_autoptr(GPtrArray) ended = leader_update_quarantines(fixture->leader, now);
    return ended->len;
}

/* Guards against a machine that stays quarantined, and keeps other work waiting, after the jobs
 * have been cancelled that were submitted with a mistake and failed on it. */
static void test_quarantine_ends_when_the_failing_jobs_are_cancelled(void **state)
{
    leader_fixture_t *fixture = *state;
    quarantine_by_two_jobs(fixture, "m-1");
    assert_int_equal(update_quarantines(fixture, 1000), 0);
    leader_remove_job(fixture->leader, "j-000001");
    assert_false(leader_is_quarantined(fixture->leader, "m-1"));
    assert_int_equal(update_quarantines(fixture, 1100), 1);
    assert_int_equal(update_quarantines(fixture, 1200), 0);
}

/* Guards against machines that are quarantined because of jobs with a mistake, which fail on every
 * machine. A job that has finished a task counts on every machine. */
static void test_a_job_that_fails_elsewhere_is_no_evidence_against_a_machine(void **state)
{
    leader_fixture_t *fixture = *state;
    quarantine_by_two_jobs(fixture, "m-1");
    fail_on_machine(fixture, "m-2", "j-000001", 2);
    assert_false(leader_is_quarantined(fixture->leader, "m-1"));
    fail_on_machine(fixture, "m-2", "j-000002", 1);
    fail_on_machine(fixture, "m-2", "j-000002", 2);
    assert_false(leader_is_quarantined(fixture->leader, "m-2"));
    record_entry_t entry = make_record_entry("j-000001", "team-b", 3, 77);
    load_attempt(fixture, &entry, "zone-a", 0);
    handle_result(fixture, 0, task_ref("j-000001", 3, 77), CAUSE_DONE);
    assert_false(leader_is_quarantined(fixture->leader, "m-1")); /* two failures count */
    fail_on_machine(fixture, "m-1", "j-000001", 4);
    assert_true(leader_is_quarantined(fixture->leader, "m-1"));
    leader_remove_job(fixture->leader, "j-000001");
    assert_true(leader_is_quarantined(fixture->leader, "m-1"));
}

/* Guards against a quarantine without an end: long tasks run on the machine, so it is not returned,
 * and other work that can run only there waits. */
static void test_quarantine_ends_after_its_longest_time(void **state)
{
    leader_fixture_t *fixture = *state;
    quarantine_by_two_jobs(fixture, "m-1");
    assert_int_equal(update_quarantines(fixture, 1000), 0);
    assert_int_equal(update_quarantines(fixture, 1000 + QUARANTINE_MAX_MS - 1), 0);
    assert_int_equal(update_quarantines(fixture, 1000 + QUARANTINE_MAX_MS), 1);
    assert_false(leader_is_quarantined(fixture->leader, "m-1"));
}

/* Guards against results that are counted twice, or that arrive after their job was cancelled. */
static void test_failures_of_unknown_attempts_do_not_count(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t first = make_job("j-000001", "team-b", 9);
    add_job(fixture, &first);
    fail_on_machine(fixture, "m-1", "j-000001", 0);
    attempt_result_t repeated = {.ref = task_ref("j-000001", 0, 77), .cause = CAUSE_ERROR};
    g_strlcpy(repeated.machine, "m-1", sizeof repeated.machine);
    leader_handle_result(fixture->leader, 0, &repeated, 1000);
    fail_on_machine(fixture, "m-1", "j-000009", 0); /* not live */
    assert_false(leader_is_quarantined(fixture->leader, "m-1"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_job_that_fails_everywhere_backs_off, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_lost_replicas_of_a_service_are_started_again,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_failing_job_with_running_tasks_gets_further_attempts,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_machine_is_quarantined_after_failures_of_several_jobs,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_quarantine_ends_when_the_failing_jobs_are_cancelled,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_a_job_that_fails_elsewhere_is_no_evidence_against_a_machine, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_quarantine_ends_after_its_longest_time, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_failures_of_unknown_attempts_do_not_count,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("failure_records", tests, NULL, NULL);
}
