/* Tests that the answers about a job never go back, whichever controller gives them and whatever it
 * has in memory. */
#include "controller/jobs/job_directory.h"
#include "controller_fixture.h"

/* The transaction by which the leader ends the job as done. */
static kv_txn_t end_txn(const char *id)
{
    char key[URL_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "jobs/%s", id);
    kv_txn_delete(&txn, key);
    g_snprintf(key, sizeof key, "ended/%s", id);
    kv_txn_put(&txn, key, json_pack("{s:s}", "Trim", "done"), 0);
    return txn;
}

/* Whether both controllers know the job as live. */
static bool is_live_everywhere(const fixture_t *fixture, const char *id)
{
    bool is_live = true;
    for (guint i = 0; i < 2; i++) {
        controller_t *locked = fixture_lock(fixture, i);
        is_live = is_live && g_hash_table_contains(locked->jobs.live, id);
        fixture_unlock(locked);
    }
    return is_live;
}

/* A user that requests a live job's status again and again, so that the second controller's status
 * batches never rest. */
typedef struct poller {
    const fixture_t *fixture;
    atomic_bool is_stopping;
    pthread_t thread;
} poller_t;

static void *poll_status(void *data)
{
    poller_t *poller = data;
    http_client_t *client = http_client_new(1);
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "http://127.0.0.1:%u/v2/runs/j-000009", poller->fixture->ports[1]);
    while (!atomic_load(&poller->is_stopping))
        http_call(client, "GET", url, NULL, 10000, NULL);
    return NULL;
}

static void submit_everywhere_live(const fixture_t *fixture)
{
    const char *ids[] = {"j-000001", "j-000002", "j-000003", "j-000009"};
    for (guint i = 0; i < G_N_ELEMENTS(ids); i++) {
        fixture_submit(fixture, i % 2, ids[i]);
        fixture_expect_everywhere(fixture, ids[i], "queued");
        while (!is_live_everywhere(fixture, ids[i]))
            controller_sleep(POLL_MS);
    }
}

/* Users send requests to both controllers at once after a job was accepted, ended or confirmed as
 * cancelled, and repeat the submission. What the controllers hold in memory is out of date: no
 * change reaches them. Neither answers anything older than the other. */
static void test_no_controller_answers_older_than_another(void **state)
{
    const fixture_t *fixture = *state;
    submit_everywhere_live(fixture);
    fake_kv_server_silence_watches(fixture->kv_server);
    poller_t poller = {.fixture = fixture};
    assert_int_equal(pthread_create(&poller.thread, NULL, poll_status, &poller), 0);
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
    fixture_expect_everywhere(fixture, "j-000001", "cancelled");
    /* The answer to the commit is lost. */
    fake_kv_server_lose_answer_for_key(fixture->kv_server, "ended/j-000002");
    fixture_cancel(fixture, 1, "j-000002", "cancelled");
    fixture_expect_everywhere(fixture, "j-000002", "cancelled");
    fake_kv_server_apply(fixture->kv_server, end_txn("j-000003"));
    fixture_expect_everywhere(fixture, "j-000003", "done");
    fixture_submit(fixture, 0, "j-000004");
    fixture_expect_everywhere(fixture, "j-000004", "queued");
    fixture_cancel(fixture, 1, "j-000004", "cancelled");
    fixture_expect_everywhere(fixture, "j-000004", "cancelled");
    fake_kv_server_lose_answer_for_key(fixture->kv_server, "jobs/j-000005");
    fixture_expect(fixture, 1, "POST", "/v2/runs", fixture_job("j-000005"), 200, "queued");
    fixture_expect_everywhere(fixture, "j-000005", "queued");
    fake_kv_server_apply(fixture->kv_server, end_txn("j-000005"));
    fixture_expect_everywhere(fixture, "j-000005", "done");
    atomic_store(&poller.is_stopping, true);
    pthread_join(poller.thread, NULL);
}

/* Records more terminal jobs than the controller's lists hold. */
static void overflow_terminal_jobs(controller_t *controller)
{
    for (guint i = 0; i < TERMINAL_JOBS_COUNT + TERMINAL_STATE_CACHE_COUNT; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-1%05u", i);
        job_directory_record_terminal(controller, id, i % 4 != 0);
    }
}

/* What fell out of the lists is read again, and answered as before. */
static void test_lists_that_overflow_cost_reads_only(void **state)
{
    const fixture_t *fixture = *state;
    fixture_submit(fixture, 0, "j-000001");
    fixture_submit(fixture, 0, "j-000002");
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
    fake_kv_server_apply(fixture->kv_server, end_txn("j-000002"));
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000002", NULL, 200, "done");
    controller_t *controller = fixture_lock(fixture, 0);
    overflow_terminal_jobs(controller);
    assert_false(g_hash_table_contains(controller->jobs.terminal_states, "j-000001"));
    assert_false(g_hash_table_contains(controller->jobs.terminal, "j-000001"));
    assert_in_range(g_hash_table_size(controller->jobs.terminal_states), 1,
                    TERMINAL_STATE_CACHE_COUNT);
    assert_in_range(g_hash_table_size(controller->jobs.terminal), 1, TERMINAL_JOBS_COUNT);
    assert_in_range(g_queue_get_length(controller->jobs.cancellations.entries), 1,
                    CANCELLATION_LOG_COUNT);
    fixture_unlock(controller);
    fixture_expect(fixture, 0, "POST", "/v2/runs", fixture_job("j-000001"), 200, "cancelled");
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000001", NULL, 200, "cancelled");
    fixture_expect(fixture, 0, "POST", "/v2/runs", fixture_job("j-000002"), 200, "done");
    fixture_cancel(fixture, 0, "j-000002", "done");
    /* Answered once more, it is logged once more. */
    assert_true(fixture_is_cancellation_logged(fixture, 0, "j-000001"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_no_controller_answers_older_than_another,
                               setup_two_controllers),
        cmocka_unit_test_setup(test_lists_that_overflow_cost_reads_only, setup_one_controller),
    };
    fixture_run_tests("controller_job_state", tests, G_N_ELEMENTS(tests));
}
