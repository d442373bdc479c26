/* Tests that users never get an older state of a job than they got before, whichever
 * controller answers and whatever it has in memory. */
#include "controller/jobs/job_directory.h"
#include "controller_fixture.h"

/* Returns the transaction by which the leader records that the job is done. */
static kv_txn_t job_done_txn(const char *id)
{
    char key[URL_BYTES];
    kv_txn_t txn = kv_txn_new();
    g_snprintf(key, sizeof key, "jobs/%s", id);
    kv_txn_delete(&txn, key);
    g_snprintf(key, sizeof key, "ended/%s", id);
    kv_txn_put(&txn, key, json_pack("{s:s}", "Trim", "done"), 0);
    return txn;
}

/* Returns whether both controllers know the job as live. */
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

/* A user that polls the status of a live job, so that the second controller runs one status batch
 * after another. */
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

static void submit_and_wait_until_live_everywhere(const fixture_t *fixture)
{
    const char *ids[] = {"j-000001", "j-000002", "j-000003", "j-000009"};
    for (guint i = 0; i < G_N_ELEMENTS(ids); i++) {
        fixture_submit(fixture, i % 2, ids[i]);
        fixture_expect_state_everywhere(fixture, ids[i], "queued");
        while (!is_live_everywhere(fixture, ids[i]))
            controller_sleep(POLL_MS);
    }
}

/* Guards against controllers that contradict each other. Right after a job is accepted, done or
 * confirmed as cancelled, users send requests about it to both controllers and repeat its
 * submission. The controllers' memory is out of date, because no change reaches them. Neither may
 * answer with an older state than the other one has answered with. */
static void test_no_controller_answers_with_an_older_job_state_than_another(void **state)
{
    const fixture_t *fixture = *state;
    submit_and_wait_until_live_everywhere(fixture);
    fake_kv_server_suppress_changes(fixture->kv_server);
    poller_t poller = {.fixture = fixture};
    assert_int_equal(pthread_create(&poller.thread, NULL, poll_status, &poller), 0);
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
    fixture_expect_state_everywhere(fixture, "j-000001", "cancelled");
    /* The answer to the commit of this cancellation is lost. */
    fake_kv_server_lose_answer_for_key(fixture->kv_server, "ended/j-000002");
    fixture_cancel(fixture, 1, "j-000002", "cancelled");
    fixture_expect_state_everywhere(fixture, "j-000002", "cancelled");
    fake_kv_server_apply(fixture->kv_server, job_done_txn("j-000003"));
    fixture_expect_state_everywhere(fixture, "j-000003", "done");
    fixture_submit(fixture, 0, "j-000004");
    fixture_expect_state_everywhere(fixture, "j-000004", "queued");
    fixture_cancel(fixture, 1, "j-000004", "cancelled");
    fixture_expect_state_everywhere(fixture, "j-000004", "cancelled");
    fake_kv_server_lose_answer_for_key(fixture->kv_server, "jobs/j-000005");
    fixture_expect(fixture, 1, "POST", "/v2/runs", fixture_job("j-000005"), 200, "queued");
    fixture_expect_state_everywhere(fixture, "j-000005", "queued");
    fake_kv_server_apply(fixture->kv_server, job_done_txn("j-000005"));
    fixture_expect_state_everywhere(fixture, "j-000005", "done");
    atomic_store(&poller.is_stopping, true);
    pthread_join(poller.thread, NULL);
}

/* Records more terminal jobs than the controller keeps in memory. */
static void record_more_jobs_than_cached(controller_t *controller)
{
    for (guint i = 0; i < TERMINAL_JOBS_COUNT + TERMINAL_STATE_CACHE_COUNT; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-1%05u", i);
        job_directory_record_terminal(controller, id, i % 4 != 0);
    }
}

/* Guards against wrong answers about jobs whose terminal state was evicted from the bounded caches.
 * The state must be read from the key-value store again, and the answers must not change. */
static void test_job_states_evicted_from_memory_are_read_again(void **state)
{
    const fixture_t *fixture = *state;
    fixture_submit(fixture, 0, "j-000001");
    fixture_submit(fixture, 0, "j-000002");
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
    fake_kv_server_apply(fixture->kv_server, job_done_txn("j-000002"));
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000002", NULL, 200, "done");
    controller_t *controller = fixture_lock(fixture, 0);
    record_more_jobs_than_cached(controller);
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
    /* The cancellation was evicted from the log and is appended again with the new answer. */
    assert_true(fixture_is_in_cancellation_log(fixture, 0, "j-000001"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_no_controller_answers_with_an_older_job_state_than_another,
                               setup_two_controllers),
        cmocka_unit_test_setup(test_job_states_evicted_from_memory_are_read_again,
                               setup_one_controller),
    };
    fixture_run_tests("controller_job_state", tests, G_N_ELEMENTS(tests));
}
