/* Tests of cancellations. If a controller answers a user that a job is cancelled, the job must be
 * in the controller's cancellation log, from which the siblings learn of the cancellation, and the
 * job's tasks must be stopped wherever they run. */
#include "controller/jobs/job_directory.h"
#include "controller_fixture.h"
#include "io/clock.h"
#include "io/records.h"

/* Cancels the job in the key-value store, like another controller whose messages are lost. */
static void cancel_at_another_controller(const fixture_t *fixture, const char *id)
{
    char key[URL_BYTES];
    g_snprintf(key, sizeof key, "jobs/%s", id);
    uint64_t revision = fake_kv_server_revision(fixture->kv_server, key);
    assert_int_equal(
        fake_kv_server_apply(fixture->kv_server, records_build_cancellation(id, revision, 2)),
        KV_OK);
}

/* Returns whether the controller treats the job as ended. It then stops the job's tasks, whatever
 * it receives from the key-value store. */
static bool is_stopped(const fixture_t *fixture, guint controller, const char *id)
{
    controller_t *locked = fixture_lock(fixture, controller);
    bool is_stopped = g_hash_table_contains(locked->jobs.terminal, id) &&
                      !g_hash_table_contains(locked->jobs.live, id);
    fixture_unlock(locked);
    return is_stopped;
}

/* Guards against cancellations that a controller confirms to users, but of which its siblings never
 * learn. This happens if only cancellations that the controller committed itself, and whose commit
 * was answered, are appended to the cancellation log. */
static void test_every_cancelled_answer_is_appended_to_the_cancellation_log(void **state)
{
    const fixture_t *fixture = *state;
    const char *ids[] = {"j-000001", "j-000002", "j-000003", "j-000004", "j-000005"};
    for (guint i = 0; i < G_N_ELEMENTS(ids); i++)
        fixture_submit(fixture, 0, ids[i]);
    /* A cancellation, and its repeat, which is answered from the cache. */
    fixture_cancel(fixture, 0, ids[0], "cancelled");
    assert_true(fixture_is_in_cancellation_log(fixture, 0, ids[0]));
    fixture_cancel(fixture, 0, ids[0], "cancelled");
    assert_int_equal(fixture_cancellation_log_count(fixture, 0), 1);
    /* A cancellation for which the answer to the commit is lost. */
    fake_kv_server_lose_answer_for_key(fixture->kv_server, "ended/j-000002");
    fixture_cancel(fixture, 0, ids[1], "cancelled");
    assert_true(fixture_is_in_cancellation_log(fixture, 0, ids[1]));
    /* A status read, a repeated submission and a cancellation, each of a job that another
     * controller has cancelled. */
    cancel_at_another_controller(fixture, ids[2]);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000003", NULL, 200, "cancelled");
    assert_true(fixture_is_in_cancellation_log(fixture, 0, ids[2]));
    cancel_at_another_controller(fixture, ids[3]);
    fixture_expect(fixture, 0, "POST", "/v2/runs", fixture_job(ids[3]), 200, "cancelled");
    assert_true(fixture_is_in_cancellation_log(fixture, 0, ids[3]));
    cancel_at_another_controller(fixture, ids[4]);
    fixture_cancel(fixture, 0, ids[4], "cancelled");
    assert_true(fixture_is_in_cancellation_log(fixture, 0, ids[4]));
    assert_int_equal(fixture_cancellation_log_count(fixture, 0), 5);
}

/* Guards against tasks that continue to run because an outage begins right after the commit of a
 * cancellation, so that no change of jobs/ arrives. The controller that confirmed the cancellation
 * must stop the tasks nevertheless, and a list of jobs read before the cancellation must not
 * restore the job. */
static void test_a_controller_stops_jobs_that_it_confirmed_as_cancelled(void **state)
{
    const fixture_t *fixture = *state;
    fixture_submit(fixture, 0, "j-000001");
    fixture_submit(fixture, 0, "j-000002");
    fake_kv_server_suppress_changes(fixture->kv_server);
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
    assert_true(is_stopped(fixture, 0, "j-000001"));
    assert_false(is_stopped(fixture, 0, "j-000002"));
    controller_t *locked = fixture_lock(fixture, 0);
    job_spec_t old = {.id = "j-000001", .tasks = 2};
    job_directory_add(locked, &old, 1);
    fixture_unlock(locked);
    assert_true(is_stopped(fixture, 0, "j-000001"));
}

/* Sends a heartbeat of a worker with one running task. Returns the commands in the answer (transfer
 * full), or NULL if the status is not 200. */
static json_t *send_heartbeat_with_task(const fixture_t *fixture, guint controller,
                                        json_int_t heartbeat_sequence, const char *task)
{
    json_t *answer = NULL;
    json_t *body =
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:[{s:s,s:I,s:s}]}", "Winch", "m-000001",
                  "Address", "127.0.0.1:1", "Hull", "t16", "Dock", "zone-a", "Driftwood", 1,
                  "Watch", (json_int_t)1, "Tally", heartbeat_sequence, "Helm", (json_int_t)0,
                  "Pieces", "Piece", task, "Heave", (json_int_t)1, "Trim", "running");
    int status = fixture_request(fixture, controller, "POST", "/hello", body, &answer);
    json_t *commands = status == HTTP_OK ? json_incref(json_object_get(answer, "Calls")) : NULL;
    json_decref(answer);
    json_decref(body);
    return commands;
}

/* Waits until the controller has a view of both members and knows that number of live jobs. */
static void wait_for_members_and_jobs(const fixture_t *fixture, guint controller, guint jobs)
{
    for (bool is_known = false; !is_known; controller_sleep(POLL_MS)) {
        controller_t *locked = fixture_lock(fixture, controller);
        is_known =
            g_hash_table_size(locked->jobs.live) == jobs && locked->membership.view.count == 2;
        fixture_unlock(locked);
    }
}

/* Guards against tasks that continue to run after their job is cancelled. The key-value store
 * refuses the controller to which their worker sends its heartbeats, and the job is cancelled
 * through the sibling. The refused controller must learn of the cancellation from the sibling, and
 * its answers to heartbeats, which renew the worker's lease, must stop the job's tasks. */
static void test_an_isolated_controller_stops_jobs_cancelled_at_its_sibling(void **state)
{
    const fixture_t *fixture = *state;
    fixture_submit(fixture, 0, "j-000001");
    fixture_submit(fixture, 0, "j-000002");
    wait_for_members_and_jobs(fixture, 1, 2);
    fake_kv_server_refuse(fixture->kv_server, 1, true);
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
    while (!fixture_is_in_cancellation_log(fixture, 1, "j-000001"))
        controller_sleep(POLL_MS);
    json_int_t heartbeat_sequence = 1;
    json_t *commands = send_heartbeat_with_task(fixture, 1, heartbeat_sequence, "j-000001/0");
    while (!commands) {
        controller_sleep(POLL_MS);
        heartbeat_sequence++;
        commands = send_heartbeat_with_task(fixture, 1, heartbeat_sequence, "j-000001/0");
    }
    assert_int_equal(json_array_size(commands), 1);
    assert_string_equal(json_string_value(json_object_get(json_array_get(commands, 0), "Call")),
                        "stop");
    json_decref(commands);
    /* The refused controller also answers users with the new state. */
    fixture_expect(fixture, 1, "GET", "/v2/runs/j-000001", NULL, 200, "cancelled");
}

static void wait_for_both_members(const fixture_t *fixture, guint controller)
{
    for (bool has_both = false; !has_both; controller_sleep(POLL_MS)) {
        controller_t *locked = fixture_lock(fixture, controller);
        has_both = locked->membership.view.count == 2;
        fixture_unlock(locked);
    }
}

/* Returns the index of the machine's owner, according to the first controller's view. */
static guint current_owner(const fixture_t *fixture)
{
    controller_t *locked = fixture_lock(fixture, 0);
    guint member = membership_owner_index(locked, "m-000001", "zone-a");
    const char *name = locked->membership.view.members[member].name;
    guint owner = (guint)(name[strlen(name) - 1] - '0');
    fixture_unlock(locked);
    return owner;
}

/* Makes the leader, which is one of the two controllers, exclude the member. */
static void exclude_member(const fixture_t *fixture, guint member)
{
    char name[ID_BYTES];
    msec_t until = clock_steady() + EXCLUSION_MS;
    g_snprintf(name, sizeof name, "controller-%u", member);
    for (guint i = 0; i < 2; i++) {
        controller_t *locked = fixture_lock(fixture, i);
        g_hash_table_insert(locked->membership.election.excluded, g_strdup(name),
                            g_memdup2(&until, sizeof until));
        pthread_cond_broadcast(&locked->membership.changed);
        fixture_unlock(locked);
    }
}

/* Guards against cancellations that are lost while a machine changes its owner. The leader excludes
 * the owner, so that the other controller becomes the owner. One job on the machine is cancelled
 * through the new owner before the change is complete, and another one through the former owner
 * afterwards. The tasks of both must stop, and none may be started again. */
static void test_a_cancellation_stops_tasks_while_their_machine_changes_owner(void **state)
{
    const fixture_t *fixture = *state;
    for (guint i = 0; i < 2; i++)
        wait_for_both_members(fixture, i);
    worker_client_t worker = worker_client_new("m-000001");
    fixture_submit(fixture, 0, "j-000001");
    fixture_submit(fixture, 1, "j-000002");
    fixture_wait_for_active_attempts(fixture, &worker, 4);
    guint owner = current_owner(fixture);
    exclude_member(fixture, owner);
    fixture_cancel(fixture, 1 - owner, "j-000001", "cancelled");
    fixture_wait_for_active_attempts(fixture, &worker, 2);
    while (current_owner(fixture) == owner)
        controller_sleep(POLL_MS);
    fixture_cancel(fixture, owner, "j-000002", "cancelled");
    fixture_wait_for_active_attempts(fixture, &worker, 0);
    assert_int_equal(fake_machine_started_count(worker.machine), 4);
    fixture_expect_state_everywhere(fixture, "j-000001", "cancelled");
    fixture_expect_state_everywhere(fixture, "j-000002", "cancelled");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_every_cancelled_answer_is_appended_to_the_cancellation_log,
                               setup_one_controller),
        cmocka_unit_test_setup(test_a_controller_stops_jobs_that_it_confirmed_as_cancelled,
                               setup_one_controller),
        cmocka_unit_test_setup(test_an_isolated_controller_stops_jobs_cancelled_at_its_sibling,
                               setup_two_controllers),
        cmocka_unit_test_setup(test_a_cancellation_stops_tasks_while_their_machine_changes_owner,
                               setup_two_controllers),
    };
    fixture_run_tests("controller_cancellation", tests, G_N_ELEMENTS(tests));
}
