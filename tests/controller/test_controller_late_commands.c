/* Tests of late copies of pushed commands, with all the controllers' threads. */
#include "controller_fixture.h"

/* Waits until the worker lists that number of attempts, all of them active. */
static void wait_until_forgotten(const fixture_t *fixture, worker_client_t *worker, guint active)
{
    do {
        fixture_wait_for_active_attempts(fixture, worker, active);
    } while (fake_machine_listed_count(worker->machine) != active);
}

/* Submits jobs until the worker has received a start by a push. Returns the number of jobs. */
static guint submit_until_pushed(const fixture_t *fixture, worker_client_t *worker)
{
    guint jobs = 0;
    fixture_wait_for_active_attempts(fixture, worker, 0);
    while (jobs < 4 && fake_machine_push_count(worker->machine) == 0) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", ++jobs);
        fixture_submit(fixture, 0, id);
        fixture_wait_for_active_attempts(fixture, worker, 2 * jobs);
    }
    return jobs;
}

static void test_late_copies_of_starts_do_not_restart_tasks_that_were_moved(void **state)
{
    const fixture_t *fixture = *state;
    worker_client_t worker = worker_client_new("m-000001");
    guint jobs = submit_until_pushed(fixture, &worker);
    fake_machine_exit_attempts(worker.machine, CAUSE_ERROR);
    wait_until_forgotten(fixture, &worker, 2 * jobs); /* each task has its second attempt */
    fake_machine_repeat_pushes(worker.machine);
    assert_int_equal(fake_machine_active_count(worker.machine), 2 * jobs);
    assert_int_equal(fake_machine_started_count(worker.machine), 4 * jobs);
}

static void test_late_copies_of_starts_do_not_restart_tasks_that_were_cancelled(void **state)
{
    const fixture_t *fixture = *state;
    worker_client_t worker = worker_client_new("m-000001");
    guint jobs = submit_until_pushed(fixture, &worker);
    for (guint i = 1; i <= jobs; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        fixture_cancel(fixture, 0, id, "cancelled");
    }
    wait_until_forgotten(fixture, &worker, 0);
    fake_machine_repeat_pushes(worker.machine);
    assert_int_equal(fake_machine_active_count(worker.machine), 0);
    assert_int_equal(fake_machine_started_count(worker.machine), 2 * jobs);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_late_copies_of_starts_do_not_restart_tasks_that_were_moved,
                               setup_one_controller),
        cmocka_unit_test_setup(test_late_copies_of_starts_do_not_restart_tasks_that_were_cancelled,
                               setup_one_controller),
    };
    fixture_run_tests("controller_late_commands", tests, G_N_ELEMENTS(tests));
}
