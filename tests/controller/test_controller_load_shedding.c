/* Tests of users' requests that cannot be served at the moment. They must be refused with a
 * Retry-After header instead of being left without an answer. */
#include <stdlib.h>

#include "controller_fixture.h"
#include "io/clock.h"
#include "user_request.h"

/* Kinds of users' requests, about a live job and about unknown jobs. */
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
    const char *id; /* NULL: not a submission; "": a submission that lacks all fields but its id */
    guint max_kv_requests; /* most requests to the key-value store while it is unavailable */
} user_requests[USER_REQUEST_KINDS] = {
    [STATUS_OF_LIVE_JOB] = {"GET", "/v2/runs/j-000001", NULL, 1},
    [STATUS_OF_UNKNOWN_JOB] = {"GET", "/v2/runs/j-000099", NULL, 1},
    [CANCELLATION] = {"POST", "/v2/runs/j-000001/abort", NULL, 1},
    [INCOMPLETE_SUBMISSION] = {"POST", "/v2/runs", "", 1},
    /* The commit, and a read if the commit is not answered. */
    [SUBMISSION] = {"POST", "/v2/runs", "j-000002", 2},
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

static void expect_refused_for_now(user_answer_t answer, int status)
{
    assert_int_equal(answer.status, status);
    assert_true(answer.retry_after_s > 0);
}

/* Expects each kind of request to be refused with a Retry-After header, and to cause at most
 * max_kv_requests requests to the key-value store. */
static void expect_all_refused_for_now(const fixture_t *fixture)
{
    for (guint kind = 0; kind < USER_REQUEST_KINDS; kind++) {
        guint before = fake_kv_server_user_requests(fixture->kv_server);
        expect_refused_for_now(send_user_request(fixture, (user_request_kind_t)kind), 503);
        assert_in_range(fake_kv_server_user_requests(fixture->kv_server) - before, 0,
                        user_requests[kind].max_kv_requests);
    }
}

/* A user who sends a request from a thread of its own. */
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

/* Sends requests of more users at once than there are threads and connections to serve them, while
 * the key-value store does not answer. Expects each one to be refused with a Retry-After header. */
static void expect_concurrent_users_refused_for_now(const fixture_t *fixture)
{
    enum { USERS = REQUEST_WORKERS_COUNT + 20 };
    user_t users[USERS];
    for (guint i = 0; i < USERS; i++) {
        users[i].fixture = fixture;
        assert_int_equal(
            pthread_create(&users[i].thread, NULL, request_status_of_unknown_job, &users[i]), 0);
    }
    for (guint i = 0; i < USERS; i++) {
        pthread_join(users[i].thread, NULL);
        expect_refused_for_now(users[i].answer, 503);
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

/* Guards against users that get no answer while the key-value store does not answer or refuses
 * requests. Each of their requests must be refused with a Retry-After header. */
static void test_requests_get_retry_later_while_the_key_value_store_is_unavailable(void **state)
{
    const fixture_t *fixture = *state;
    submit_live_job(fixture, "j-000001");
    fake_kv_server_stall_user_requests(fixture->kv_server, true);
    expect_all_refused_for_now(fixture);
    expect_concurrent_users_refused_for_now(fixture);
    fake_kv_server_stall_user_requests(fixture->kv_server, false);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000001", NULL, 200, "queued");
    fake_kv_server_refuse(fixture->kv_server, 0, true);
    expect_all_refused_for_now(fixture);
}

/* Guards against requests that wait because the controller has used up its share of the key-value
 * store's rate limits. They must be refused with a Retry-After header, without a request to the
 * key-value store. Status reads of live jobs, which are batched, and cancellations are still
 * served. */
static void test_requests_above_the_rate_limit_get_retry_later(void **state)
{
    enum { TOKENS_OVER_LIMIT = 1000000 };
    const fixture_t *fixture = *state;
    controller_t *controller = fixture->controllers[0];
    const user_request_kind_t limited[] = {STATUS_OF_UNKNOWN_JOB, INCOMPLETE_SUBMISSION,
                                           SUBMISSION};
    submit_live_job(fixture, "j-000001");
    rate_limiter_charge(&controller->api_request_limiter, TOKENS_OVER_LIMIT, clock_steady());
    rate_limiter_charge(&controller->api_write_limiter, TOKENS_OVER_LIMIT, clock_steady());
    guint before = fake_kv_server_user_requests(fixture->kv_server);
    for (guint i = 0; i < G_N_ELEMENTS(limited); i++)
        expect_refused_for_now(send_user_request(fixture, limited[i]), 429);
    assert_int_equal(fake_kv_server_user_requests(fixture->kv_server), before);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000001", NULL, 200, "queued");
    fixture_cancel(fixture, 0, "j-000001", "cancelled");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(
            test_requests_get_retry_later_while_the_key_value_store_is_unavailable,
            setup_one_controller),
        cmocka_unit_test_setup(test_requests_above_the_rate_limit_get_retry_later,
                               setup_one_controller),
    };
    fixture_run_tests("controller_load_shedding", tests, G_N_ELEMENTS(tests));
}
