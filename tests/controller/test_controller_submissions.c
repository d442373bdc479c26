/* Tests of the answers to malformed, impossible and repeated submissions and cancellations. */
#include <stdlib.h>

#include "controller_fixture.h"
#include "io/codec/codec.h"
#include "io/records.h"
#include "user_request.h"

/* Returns a submission in which the field has this value (transfer full), or which lacks the field
 * if the value is NULL. */
static json_t *job_with_field(const char *name, json_t *value)
{
    json_t *body = fixture_job("j-000009");
    if (value)
        json_object_set_new(body, name, value);
    else
        json_object_del(body, name);
    return body;
}

static void expect_refused(const fixture_t *fixture, const char *name, json_t *value, int status)
{
    fixture_expect(fixture, 0, "POST", "/v2/runs", job_with_field(name, value), status, NULL);
}

/* Returns the transaction by which another controller accepts the job. */
static kv_txn_t accept_txn(const char *id)
{
    job_spec_t spec;
    json_t *body = fixture_job(id);
    assert_true(codec_parse_job(body, false, &spec, NULL));
    kv_txn_t txn = records_build_submission(&spec);
    job_spec_clear(&spec);
    json_decref(body);
    return txn;
}

/* Submits the job until the controller answers with any status, and returns that status. */
static int submit_until_answered(const fixture_t *fixture, const char *id)
{
    json_t *body = fixture_job(id);
    int status = fixture_request(fixture, 0, "POST", "/v2/runs", body, NULL);
    while (status <= HTTP_NO_ANSWER) {
        controller_sleep(POLL_MS);
        status = fixture_request(fixture, 0, "POST", "/v2/runs", body, NULL);
    }
    json_decref(body);
    return status;
}

/* Expects that, while the machine types are not known, a new submission is answered with 503,
 * because it cannot be decided whether the job can run, and a repeat is answered with the job's
 * state. */
static void expect_only_repeats_without_machine_types(const fixture_t *fixture)
{
    assert_int_equal(submit_until_answered(fixture, "j-000001"), 503);
    fake_kv_server_apply(fixture->kv_server, accept_txn("j-000007"));
    fixture_expect(fixture, 0, "POST", "/v2/runs", fixture_job("j-000007"), 200, "queued");
}

static void expect_impossible_jobs_refused(const fixture_t *fixture)
{
    expect_refused(fixture, "Cpus", json_real(17), 422);
    expect_refused(fixture, "Hulls", json_pack("[s]", "t99"), 422);
    expect_refused(fixture, "Hulls", json_array(), 422);
    expect_refused(fixture, "Dock", json_string("zone-d"), 422);
    expect_refused(fixture, "Crew", json_string("team-c"), 422);
    expect_refused(fixture, "Pieces", json_string("2"), 400);
    /* A gang job needs all its cpus at once: 66, above the team's limit of 64. */
    json_t *gang = job_with_field("Rig", json_string("ensemble"));
    json_object_set_new(gang, "Pieces", json_integer(33));
    fixture_expect(fixture, 0, "POST", "/v2/runs", gang, 422, NULL);
}

static void expect_incomplete_jobs_refused(const fixture_t *fixture)
{
    static const char *const fields[] = {"Uid",     "Reel",  "Crew",      "Rig",   "Urgency",
                                         "Pieces",  "Cpus",  "MemGb",     "Cargo", "SamePlace",
                                         "ImageGb", "Apart", "Driftwood", "HaulS"};
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++)
        expect_refused(fixture, fields[i], NULL, 400);
}

/* Guards against accepting a job that can never run or a submission that lacks a field, and against
 * refusing a repeated submission. A repeat of an accepted submission and the cancellation of a job
 * that is done must be answered with the job's state. */
static void test_impossible_jobs_are_refused_and_repeats_get_the_job_state(void **state)
{
    fixture_t *fixture = *state;
    fixture_start_controllers(fixture, 1);
    expect_only_repeats_without_machine_types(fixture);
    fake_cloud_publish_machine_types(fixture->cloud);
    fixture_wait_until_ready(fixture, 0);
    fixture_submit(fixture, 0, "j-000001");
    fixture_expect(fixture, 0, "POST", "/v2/runs", fixture_job("j-000001"), 200, "queued");
    expect_impossible_jobs_refused(fixture);
    expect_incomplete_jobs_refused(fixture);
    fixture_expect(fixture, 0, "GET", "/v2/runs/j-000009", NULL, 404, NULL);
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "ended/j-000008", json_pack("{s:s}", "Trim", "done"), 0);
    fake_kv_server_apply(fixture->kv_server, txn);
    fixture_cancel(fixture, 0, "j-000008", "done");
    assert_int_equal(fixture_cancellation_log_count(fixture, 0), 0);
}

static int submit_text(const fixture_t *fixture, const GString *text)
{
    return user_request(fixture->ports[0], "POST", "/v2/runs", text->str, text->len).status;
}

/* Returns the text of a submission (transfer full). Its last field has the given name, and the raw
 * text as its value. */
static GString *submission_text_with(const char *id, const char *name, const GString *raw)
{
    json_t *body = fixture_job(id);
    json_object_del(body, name);
    char *text = json_dumps(body, JSON_COMPACT);
    GString *submission = g_string_new(text);
    g_string_truncate(submission, submission->len - 1);
    g_string_append_printf(submission, ",\"%s\":", name);
    g_string_append_len(submission, raw->str, (gssize)raw->len);
    g_string_append_c(submission, '}');
    free(text);
    json_decref(body);
    return submission;
}

/* Returns `left` repeated `count` times and then `right` repeated `count` times (transfer full). */
static GString *repeat_text(const char *left, guint count, const char *right)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < count; i++)
        g_string_append(text, left);
    for (guint i = 0; i < count; i++)
        g_string_append(text, right);
    return text;
}

/* Submits a job in which the field has the raw text as its value. Returns 0 if the answer has the
 * expected status. Otherwise prints the status and returns 1. */
static guint count_mismatch(const fixture_t *fixture, const char *id, const char *name,
                            const GString *raw, int status)
{
    GString *text = submission_text_with(id, name, raw);
    int received = submit_text(fixture, text);
    while (received == HTTP_TOO_MANY_REQUESTS) { /* over the rate limit */
        controller_sleep(POLL_MS);
        received = submit_text(fixture, text);
    }
    if (received != status)
        print_error("%s: status %d, expected %d: %.150s\n", name, received, status,
                    text->str + text->len / 2);
    g_string_free(text, TRUE);
    return received != status;
}

/* Submits a job with the raw text as the field's value and returns the number of unexpected
 * answers. Under an unused id, it must be answered with the status. Under the id of an accepted
 * job, it is a repeat, which must be answered with 200 whatever its other fields contain. */
static guint count_mismatches_with_repeat(const fixture_t *fixture, guint number, const char *name,
                                          const GString *raw, int status)
{
    char unused_id[ID_BYTES];
    g_snprintf(unused_id, sizeof unused_id, "j-%06u", 100 + number);
    guint wrong = count_mismatch(fixture, unused_id, name, raw, status);
    if (strcmp(name, "Uid") != 0)
        wrong += count_mismatch(fixture, "j-000001", name, raw, 200);
    return wrong;
}

static const struct {
    const char *name;
    const char *raw;
    int status;
} field_cases[] = {
    {"Uid", "\"j-9\"", 400},
    {"Uid", "\"j-000009\\u0000\"", 400},
    {"Uid", "9", 400},
    {"Pieces", "0", 400},
    {"Pieces", "100001", 400},
    {"Pieces", "-1", 400},
    {"Pieces", "2.0", 400},
    {"Pieces", "1e2", 400},
    {"Pieces", "18446744073709551616", 400},
    {"Pieces", "null", 400},
    {"Cpus", "NaN", 400},
    {"Cpus", "1e999", 400},
    {"Cpus", "-1e999", 400},
    {"Cpus", "-1", 400},
    {"Cpus", "0", 400},
    {"Cpus", "17", 422},
    {"Cpus", "65", 422},
    {"MemGb", "\"4\"", 400},
    {"MemGb", "65", 422},
    {"Accelerators", "1", 422},
    {"HaulS", "-Infinity", 400},
    {"KnotS", "[]", 400},
    {"TideS", "-1", 400},
    {"TideS", "true", 400},
    {"Reel", "\"\"", 400},
    {"Reel", "\"a\\u0000b\"", 400},
    {"Reel", "\"a\\nb\"", 400},
    {"Reel", "\"\\ud800\"", 201},
    {"Reel", "\"\xff\"", 400},
    {"Crew", "\"team-c\"", 422},
    {"Crew", "{}", 400},
    {"Rig", "\"sweep\\u0000\"", 400},
    {"Urgency", "\"urgent\"", 400},
    {"SamePlace", "1", 400},
    {"Driftwood", "null", 400},
    {"Hulls", "[]", 422},
    {"Hulls", "[\"t99\"]", 422},
    {"Hulls", "[\"t16\",1]", 400},
    {"Hulls", "\"t16\"", 400},
    {"Dock", "\"zone-d\"", 422},
    {"Dock", "7", 400},
    {"Unheard", "18446744073709551616", 201},
    {"Unheard", "[-1e999,1e-999,123456789012345678901234567890]", 201},
    {"Unheard", "\"\\u0000\"", 201},
    {"Unheard", "[[[[[[[[{}]]]]]]]]", 201},
    {"Unheard", "1e", 400},
};

/* Guards against a controller that fails or answers wrongly on unusual or invalid field values. */
static void test_unusual_field_values_get_the_expected_status(void **state)
{
    const fixture_t *fixture = *state;
    guint wrong = 0;
    fixture_submit(fixture, 0, "j-000001");
    for (guint i = 0; i < G_N_ELEMENTS(field_cases); i++) {
        GString *raw = g_string_new(field_cases[i].raw);
        wrong += count_mismatches_with_repeat(fixture, i, field_cases[i].name, raw,
                                              field_cases[i].status);
        g_string_free(raw, TRUE);
    }
    assert_int_equal(wrong, 0);
    fixture_wait_until_ready(fixture, 0);
}

static GString *too_many_machine_types(void)
{
    GString *types = g_string_new("[\"t16\"");
    for (guint i = 0; i < 70; i++)
        g_string_append_printf(types, ",\"t%u\"", 100 + i);
    return g_string_append_c(types, ']');
}

/* Guards against a controller that fails on, or accepts, values beyond the limits of nesting,
 * length or number. */
static void test_oversized_fields_are_refused(void **state)
{
    const fixture_t *fixture = *state;
    const struct {
        const char *name;
        GString *raw;
    } large[] = {
        {"Unheard", repeat_text("[", 2000, "]")},
        {"Unheard", repeat_text("{\"a\":", 9000, "")},
        {"Reel",
         g_string_new("\"0123456789012345678901234567890123456789012345678901234567890123\"")},
        {"Hulls", too_many_machine_types()},
        {"Unheard", g_string_append(repeat_text(" ", BODY_MAX_BYTES, ""), "1")},
    };
    guint wrong = 0;
    fixture_submit(fixture, 0, "j-000001");
    for (guint i = 0; i < G_N_ELEMENTS(large); i++) {
        wrong += count_mismatches_with_repeat(fixture, i, large[i].name, large[i].raw, 400);
        g_string_free(large[i].raw, TRUE);
    }
    assert_int_equal(wrong, 0);
    fixture_wait_until_ready(fixture, 0);
}

/* Guards against a controller that fails on bodies that are not submissions, or that consist of
 * opening brackets up to the size limit, in submissions and in heartbeats. */
static void test_a_body_that_is_not_a_submission_is_refused(void **state)
{
    const fixture_t *fixture = *state;
    uint16_t port = fixture->ports[0];
    static const char *const bodies[] = {"", "null", "[]", "7", "\"j-000001\"", "{}", "{", "job"};
    for (guint i = 0; i < G_N_ELEMENTS(bodies); i++)
        assert_int_equal(
            user_request(port, "POST", "/v2/runs", bodies[i], strlen(bodies[i])).status, 400);
    GString *deep = repeat_text("[", BODY_MAX_BYTES - 1, "");
    assert_int_equal(submit_text(fixture, deep), 400);
    assert_int_equal(user_request(port, "POST", "/hello", deep->str, deep->len).status, 400);
    g_string_free(deep, TRUE);
    fixture_wait_until_ready(fixture, 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_impossible_jobs_are_refused_and_repeats_get_the_job_state,
                               setup_fakes),
        cmocka_unit_test_setup(test_unusual_field_values_get_the_expected_status,
                               setup_one_controller),
        cmocka_unit_test_setup(test_oversized_fields_are_refused, setup_one_controller),
        cmocka_unit_test_setup(test_a_body_that_is_not_a_submission_is_refused,
                               setup_one_controller),
    };
    fixture_run_tests("controller_submissions", tests, G_N_ELEMENTS(tests));
}
