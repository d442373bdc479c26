/* Tests of users' requests that can't be answered now: they are answered all the same, with the
 * time after which to retry. */
#include <stdlib.h>

#include "controller_fixture.h"
#include "io/clock.h"
#include "user_request.h"

/* Users' requests about a live job and unknown ones. */
typedef enum {
    STATUS_OF_LIVE_JOB,
    STATUS_OF_UNKNOWN_JOB,
    CANCELLATION,
    INCOMPLETE_SUBMISSION,
    SUBMISSION,
    USER_REQUEST_KINDS
} user_request_kind_t;

static const struct {
    const char *method;
    const char *path;
    const char *id;  /* of a submission; "": one that lacks all else */
    guint max_reads; /* requests to the key-value store while that gives no answer, or refuses */
} user_requests[USER_REQUEST_KINDS] = {
    [STATUS_OF_LIVE_JOB] = {"GET", "/v2/runs/j-000001", NULL, 1},
    [STATUS_OF_UNKNOWN_JOB] = {"GET", "/v2/runs/j-000099", NULL, 1},
    [CANCELLATION] = {"POST", "/v2/runs/j-000001/abort", NULL, 1},
    [INCOMPLETE_SUBMISSION] = {"POST", "/v2/runs", "", 1},
    [SUBMISSION] = {"POST", "/v2/runs", "j-000002", 2}, /* without an answer it is looked up */
};

static user_answer_t send_user_request(const fixture_t *fixture, user_request_kind_t kind)
{
    const char *method = user_requests[kind].method;
    const char *path = user_requests[kind].path;
    const char *id = user_requests[kind].id;
    if (!id)
        return user_request(fixture->ports[0], method, path, NULL, 0);
    json_t *body = *id ? fixture_job(id) : json_pack("{s:s}", "Uid", "j-000003");
    char *text = json_dumps(body, JSON_COMPACT);
    user_answer_t answer = user_request(fixture->ports[0], "POST", path, text, strlen(text));
    free(text);
    json_decref(body);
    return answer;
}

static void expect_retry_later(user_answer_t answer, int status)
{
    assert_int_equal(answer.status, status);
    assert_true(answer.retry_after_s > 0);
}

/* Every request is answered with a retry later, and the key-value store is not asked again
 * meanwhile. */
static void expect_all_to_retry_later(const fixture_t *fixture)
{
    for (guint kind = 0; kind < USER_REQUEST_KINDS; kind++) {
        guint before = fake_kv_server_user_requests(fixture->kv_server);
        expect_retry_later(send_user_request(fixture, (user_request_kind_t)kind), 503);
        assert_in_range(fake_kv_server_user_requests(fixture->kv_server) - before, 0,
                        user_requests[kind].max_reads);
    }
}

/* A user's thread. */
typedef struct user {
    const fixture_t *fixture;
    user_answer_t answer;
    pthread_t thread;
} user_t;

static void *request_status_of_unknown_job(void *data)
{
    user_t *user = data;
    user->answer = send_user_request(user->fixture, STATUS_OF_UNKNOWN_JOB);
    return NULL;
}

/* More users at once than threads and connections that could serve them; the key-value store
 * answers none of them. */
static void expect_crowd_to_retry_later(const fixture_t *fixture)
{
    enum { CROWD = REQUEST_WORKERS_COUNT + 20 };
    user_t users[CROWD];
    for (guint i = 0; i < CROWD; i++) {
        users[i].fixture = fixture;
        assert_int_equal(
            pthread_create(&users[i].thread, NULL, request_status_of_unknown_job, &users[i]), 0);
    }
    for (guint i = 0; i < CROWD; i++) {
        pthread_join(users[i].thread, NULL);
        expect_retry_later(users[i].answer, 503);
    }
}

static void submit_live_job(const fixture_t *fixture, const char *id)
{
    fixture_submit(fixture, 0, id);
    for (bool is_live = false; !is_live; controller_sleep(POLL_MS)) {
        controller_t *locked = fixture_lock(fixture, 0);
        is_live = g_hash_table_contains(locked->jobs.live, id);
        fixture_unlock(locked);
    }
}

/* What is given up is answered, though the key-value store never answers, or refuses. */
static void test_no_answer_waits_for_the_key_value_store(void **state)
{
    const fixture_t *fixture = *state;
    submit_live_job(fixture, "j-000001");
    fake_kv_server_stall(fixture->kv_server, true);
    expect_all_to_retry_later(fixture);
    expect_crowd_to_retry_later(fixture);
    fake_kv_server_stall(fixture->kv_server, false);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000001", NULL, 200, "queued");
    fake_kv_server_refuse(fixture->kv_server, 0, true);
    expect_all_to_retry_later(fixture);
}

/* Above the controller's share of the key-value store's limits nothing waits for its turn: it is
 * answered with a retry later, without a request to the key-value store. Questions about live jobs
 * are gathered, and answered whatever else is. */
static void test_no_answer_waits_for_a_share_of_the_limits(void **state)
{
    enum { OVERDRAWN = 1000000 };
    const fixture_t *fixture = *state;
    controller_t *controller = fixture->controllers[0];
    const user_request_kind_t limited[] = {STATUS_OF_UNKNOWN_JOB, INCOMPLETE_SUBMISSION,
                                           SUBMISSION};
    submit_live_job(fixture, "j-000001");
    rate_limiter_charge(&controller->api_request_limiter, OVERDRAWN, clock_steady());
    rate_limiter_charge(&controller->api_write_limiter, OVERDRAWN, clock_steady());
    guint before = fake_kv_server_user_requests(fixture->kv_server);
    for (guint i = 0; i < G_N_ELEMENTS(limited); i++)
        expect_retry_later(send_user_request(fixture, limited[i]), 429);
    assert_int_equal(fake_kv_server_user_requests(fixture->kv_server), before);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000001", NULL, 200, "queued");
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_no_answer_waits_for_the_key_value_store, setup_one_controller),
        cmocka_unit_test_setup(test_no_answer_waits_for_a_share_of_the_limits,
                               setup_one_controller),
    };
    fixture_run_tests("controller_load_shedding", tests, G_N_ELEMENTS(tests));
}
