/* Tests of jobs from their submission to their end, with all the controllers' threads. */
#include "controller_fixture.h"

/* Guards against faults between the submission of a job and its end. One job completes, and another
 * one is cancelled while it runs. */
static void test_jobs_complete_and_are_cancelled(void **state)
{
    const fixture_t *fixture = *state;
    worker_client_t worker = worker_client_new("m-000001");
    fixture_wait_for_active_attempts(fixture, &worker, 0);
    fixture_submit(fixture, 0, "j-000001");
    fixture_wait_for_active_attempts(fixture, &worker, 2);
    fake_machine_complete_attempts(worker.machine);
    fixture_wait_until_done(fixture, &worker, "j-000001");
    fixture_submit(fixture, 0, "j-000002");
    fixture_wait_for_active_attempts(fixture, &worker, 2);
    fixture_cancel(fixture, 0, "j-000002", "cancelled");
    fixture_wait_for_active_attempts(fixture, &worker, 0);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000001", NULL, 200, "done");
    assert_int_equal(fake_machine_started_count(worker.machine), 4);
}

/* Returns whether the controller answers that the job is running, with these numbers of tasks done
 * and running. */
static bool has_counts(const fixture_t *fixture, guint controller, const char *id, json_int_t done,
                       json_int_t running)
{
    char path[URL_BYTES];
    json_t *answer = NULL;
    g_snprintf(path, sizeof path, "/v2/runs/%s", id);
    int status = fixture_request(fixture, controller, "GET", path, NULL, &answer);
    bool has_counts = status == HTTP_OK &&
                      json_integer_value(json_object_get(answer, "done")) == done &&
                      json_integer_value(json_object_get(answer, "running")) == running &&
                      g_strcmp0(json_string_value(json_object_get(answer, "Trim")), "running") == 0;
    json_decref(answer);
    return has_counts;
}

static void wait_for_counts_everywhere(const fixture_t *fixture, const char *id, json_int_t done,
                                       json_int_t running)
{
    for (guint controller = 0; controller < 2; controller++)
        while (!has_counts(fixture, controller, id, done, running))
            controller_sleep(POLL_MS);
}

/* Guards against task counts that only the leader's answers contain. Only the leader counts the
 * tasks, but the answers of every controller must contain the counts. */
static void test_every_controller_reports_task_counts(void **state)
{
    const fixture_t *fixture = *state;
    worker_client_t worker = worker_client_new("m-000001");
    worker.switches_only_when_redirected = true;
    json_t *body = fixture_job("j-000001");
    json_object_set_new(body, "Pieces", json_integer(10)); /* the machine has capacity for eight */
    fixture_wait_for_active_attempts(fixture, &worker, 0);
    fixture_expect(fixture, 0, "POST", "/v2/runs", body, 201, "queued");
    fixture_wait_for_active_attempts(fixture, &worker, 8);
    wait_for_counts_everywhere(fixture, "j-000001", 0, 8);
    fake_machine_complete_attempts(worker.machine);
    fixture_wait_for_active_attempts(fixture, &worker, 2);
    wait_for_counts_everywhere(fixture, "j-000001", 8, 2);
    fixture_cancel(fixture, 1, "j-000001", "cancelled");
}

/* Submits a job through one controller and looks it up at the other. The status may be that of a
 * repeat, because the answer to the transaction that accepted the job may have been lost. */
static void submit_and_look_up(const fixture_t *fixture, guint controller, const char *id)
{
    char path[URL_BYTES];
    json_t *body = fixture_job(id);
    g_snprintf(path, sizeof path, "/v2/runs/%s", id);
    int status = fixture_request(fixture, controller, "POST", "/v2/runs", body, NULL);
    while (status == HTTP_UNAVAILABLE) {
        controller_sleep(POLL_MS);
        status = fixture_request(fixture, controller, "POST", "/v2/runs", body, NULL);
    }
    assert_true(status == HTTP_CREATED || status == HTTP_OK);
    json_decref(body);
    fixture_expect(fixture, 1 - controller, "GET", path, NULL, 200, NULL);
}

/* Guards against faults after lost answers of the key-value store. Every third transaction is
 * executed but not answered, from the first view on. Transactions of all kinds are affected: for
 * submissions, starts, ends, cancellations, members and views. Both controllers must answer, each
 * task must start once, and no answer may contradict an earlier one about the job's state. */
static void test_lost_transaction_answers_do_not_affect_jobs(void **state)
{
    fixture_t *fixture = *state;
    fake_kv_server_lose_answers(fixture->kv_server, 3);
    fake_cloud_publish_machine_types(fixture->cloud);
    fixture_start_controllers(fixture, 2);
    fixture_wait_until_ready(fixture, 0);
    fixture_wait_until_ready(fixture, 1);
    worker_client_t worker = worker_client_new("m-000001");
    fixture_wait_for_active_attempts(fixture, &worker, 0);
    for (guint i = 1; i <= 4; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        submit_and_look_up(fixture, i % 2, id);
        fixture_wait_for_active_attempts(fixture, &worker, 2);
        if (i % 2) {
            fixture_cancel(fixture, 1, id, "cancelled");
            fixture_expect_state_everywhere(fixture, id, "cancelled");
            fixture_wait_for_active_attempts(fixture, &worker, 0);
        } else {
            fake_machine_complete_attempts(worker.machine);
            fixture_wait_until_done(fixture, &worker, id);
            fixture_expect_state_everywhere(fixture, id, "done");
        }
    }
    assert_int_equal(fake_machine_started_count(worker.machine), 8);
}

/* Guards against a slow start of the controller, whose share of a processor is small. Starting a
 * thread uses some of it, so the request workers and the dispatchers must not be started before the
 * first request and the first command. */
static void test_worker_and_dispatcher_threads_start_on_demand(void **state)
{
    const fixture_t *fixture = *state;
    controller_t *controller = fixture_lock(fixture, 0);
    assert_int_equal(controller->requests.worker_count, 0);
    assert_int_equal(controller->dispatch.started, 0);
    fixture_unlock(controller);
    worker_client_t worker = worker_client_new("m-000001");
    fixture_wait_for_active_attempts(fixture, &worker, 0);
    fixture_submit(fixture, 0, "j-000001");
    fixture_wait_for_active_attempts(fixture, &worker, 2);
    fixture_lock(fixture, 0);
    assert_in_range(controller->requests.worker_count, 1, REQUEST_WORKERS_COUNT);
    assert_int_equal(__builtin_popcount(controller->dispatch.started), 1);
    fixture_unlock(controller);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_jobs_complete_and_are_cancelled, setup_one_controller),
        cmocka_unit_test_setup(test_every_controller_reports_task_counts, setup_two_controllers),
        cmocka_unit_test_setup(test_lost_transaction_answers_do_not_affect_jobs, setup_fakes),
        cmocka_unit_test_setup(test_worker_and_dispatcher_threads_start_on_demand,
                               setup_one_controller),
    };
    fixture_run_tests("controller_work", tests, G_N_ELEMENTS(tests));
}
