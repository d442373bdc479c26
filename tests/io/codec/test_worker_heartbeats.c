/* Tests of the codec of worker heartbeats: which heartbeats are accepted, and which are refused
 * with which error. */
#include "io/codec/codec.h"
#include "unit_test.h"

static const char heartbeat_text[] =
    "{\"Winch\":\"m-000231\",\"Address\":\"10.1.0.232:9000\",\"Hull\":\"g8\",\"Dock\":\"a\","
    "\"Driftwood\":true,\"Watch\":1,\"Tally\":88,\"Helm\":41,\"WarningS\":null,\"Pieces\":["
    "{\"Piece\":\"j-000412/3\",\"Heave\":2,\"Trim\":\"running\"},"
    "{\"Piece\":\"j-000398/0\",\"Heave\":1,\"Trim\":\"exited\",\"Cause\":\"done\"}]}";

static void test_valid_heartbeat_is_parsed(void **state)
{
    (void)state;
    worker_heartbeat_t heartbeat;
    assert_true(
        codec_parse_worker_heartbeat(heartbeat_text, strlen(heartbeat_text), &heartbeat, NULL));
    assert_int_equal(heartbeat.fencing_token, 41);
    assert_true(heartbeat.interruption_in_s < 0);
    assert_int_equal(heartbeat.attempts->len, 2);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 0).task, 3);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 1).cause, CAUSE_DONE);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 0).cause, CAUSE_NONE);
    worker_heartbeat_clear(&heartbeat);
}

/* Returns whether the heartbeat is accepted. Consumes the body. */
static bool is_accepted(json_t *body, GError **error)
{
    worker_heartbeat_t heartbeat;
    char *text = json_dumps(body, JSON_ENCODE_ANY);
    bool is_valid = codec_parse_worker_heartbeat(text, strlen(text), &heartbeat, error);
    if (is_valid)
        worker_heartbeat_clear(&heartbeat);
    else
        assert_null(heartbeat.attempts);
    free(text);
    json_decref(body);
    return is_valid;
}

/* Consumes the body. */
static void assert_heartbeat_refused(json_t *body, codec_error_t code, const char *message)
{
    g_autoptr(GError) error = NULL;
    assert_false(is_accepted(body, &error));
    assert_true(g_error_matches(error, CODEC_ERROR, (gint)code));
    assert_string_equal(error->message, message);
}

static void assert_text_refused(const char *text, gsize length, const char *message)
{
    g_autoptr(GError) error = NULL;
    worker_heartbeat_t heartbeat;
    assert_false(codec_parse_worker_heartbeat(text, length, &heartbeat, &error));
    assert_true(g_error_matches(error, CODEC_ERROR, CODEC_ERROR_SYNTAX));
    assert_string_equal(error->message, message);
}

static json_t *heartbeat_with(const char *field, json_t *value)
{
    json_t *body = json_loads(heartbeat_text, 0, NULL);
    json_object_set_new(body, field, value);
    return body;
}

static json_t *attempt_with(const char *field, json_t *value)
{
    json_t *body = json_loads(heartbeat_text, 0, NULL);
    json_object_set_new(json_array_get(json_object_get(body, "Pieces"), 0), field, value);
    return body;
}

/* Fields with unknown names must be skipped with all that they contain, even if names of known
 * fields occur in them. Optional fields may be null. */
static void test_unknown_heartbeat_fields_are_ignored(void **state)
{
    (void)state;
    assert_true(is_accepted(
        heartbeat_with("New", json_pack("{s:[i,{s:i}],s:n}", "Watch", 1, "Piece", 2, "Trim")),
        NULL));
    assert_true(
        is_accepted(heartbeat_with("New", json_pack("[[s],{s:s}]", "Pieces", "Helm", "x")), NULL));
    assert_true(
        is_accepted(attempt_with("New", json_pack("{s:s,s:[i]}", "Trim", "x", "Cause", 1)), NULL));
    assert_true(is_accepted(heartbeat_with("Pieces", json_null()), NULL));
    assert_true(is_accepted(heartbeat_with("WarningS", json_real(12.5)), NULL));
}

static void test_malformed_heartbeat_is_refused(void **state)
{
    (void)state;
    assert_heartbeat_refused(heartbeat_with("Pieces", json_integer(1)), CODEC_ERROR_TYPE,
                             "Pieces: a list is expected");
    assert_heartbeat_refused(heartbeat_with("Pieces", json_object()), CODEC_ERROR_TYPE,
                             "Pieces: a list is expected");
    assert_heartbeat_refused(heartbeat_with("Pieces", json_pack("[i]", 1)), CODEC_ERROR_VALUE,
                             "Pieces: Piece is not the name of a task");
    assert_heartbeat_refused(heartbeat_with("Pieces", json_pack("[[]]")), CODEC_ERROR_VALUE,
                             "Pieces: Piece is not the name of a task");
    assert_heartbeat_refused(heartbeat_with("Pieces", json_pack("[{}]")), CODEC_ERROR_MISSING,
                             "Piece: missing");
    assert_heartbeat_refused(heartbeat_with("WarningS", json_real(-1)), CODEC_ERROR_RANGE,
                             "WarningS: out of range");
    assert_heartbeat_refused(heartbeat_with("WarningS", json_string("1")), CODEC_ERROR_TYPE,
                             "WarningS: a number is expected");
    assert_heartbeat_refused(heartbeat_with("Helm", json_real(1.5)), CODEC_ERROR_TYPE,
                             "Helm: an integer in range is expected");
    assert_heartbeat_refused(heartbeat_with("Helm", json_integer(-1)), CODEC_ERROR_TYPE,
                             "Helm: an integer in range is expected");
    assert_heartbeat_refused(heartbeat_with("Winch", json_stringn("m\0x", 3)), CODEC_ERROR_TYPE,
                             "Winch: a non-empty string is expected");
    assert_heartbeat_refused(heartbeat_with("Winch", json_string("")), CODEC_ERROR_TYPE,
                             "Winch: a non-empty string is expected");
    assert_heartbeat_refused(attempt_with("Heave", json_string("2")), CODEC_ERROR_TYPE,
                             "Heave: an integer in range is expected");
    assert_heartbeat_refused(attempt_with("Trim", json_string("asleep")), CODEC_ERROR_VALUE,
                             "Trim: not one of the known words");
    assert_heartbeat_refused(attempt_with("Piece", json_string("j-000412/")), CODEC_ERROR_VALUE,
                             "Pieces: Piece is not the name of a task");
    assert_heartbeat_refused(attempt_with("Piece", json_string("/3")), CODEC_ERROR_VALUE,
                             "Pieces: Piece is not the name of a task");
    assert_heartbeat_refused(attempt_with("Piece", json_string("j-000412/-3")), CODEC_ERROR_VALUE,
                             "Pieces: Piece is not the name of a task");
    assert_heartbeat_refused(json_array(), CODEC_ERROR_SYNTAX, "report: a JSON object is expected");
    assert_heartbeat_refused(json_string("report"), CODEC_ERROR_SYNTAX,
                             "report: a JSON object is expected");
    assert_text_refused(heartbeat_text, strlen(heartbeat_text) - 1, "not JSON");
    assert_text_refused("{}{}", 4, "not JSON");
    assert_text_refused("", 0, "not JSON");
}

/* An attempt in the state "exited" has ended whatever its cause is. A cause that is unknown or
 * missing must neither make the heartbeat invalid nor count as success. The cause of an attempt
 * that has not exited is ignored. */
static void test_unknown_or_missing_cause_counts_as_error(void **state)
{
    (void)state;
    static const char text[] =
        "{\"Pieces\":[{\"Cause\":\"odd\",\"Trim\":\"exited\",\"Heave\":1,\"Piece\":\"j-000001/0\"},"
        "{\"Trim\":\"exited\",\"Heave\":1,\"Piece\":\"j-000001/1\"},"
        "{\"Trim\":\"gathering\",\"Cause\":\"done\",\"Heave\":1,\"Piece\":\"j-000001/2\"}],"
        "\"Winch\":\"m-1\",\"Address\":\"a\",\"Hull\":\"g8\",\"Dock\":\"a\",\"Driftwood\":false,"
        "\"Watch\":1,\"Tally\":2,\"Helm\":0}";
    worker_heartbeat_t heartbeat;
    assert_true(codec_parse_worker_heartbeat(text, strlen(text), &heartbeat, NULL));
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 0).cause, CAUSE_ERROR);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 1).cause, CAUSE_ERROR);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 2).cause, CAUSE_NONE);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 2).state, TASK_FETCHING);
    worker_heartbeat_clear(&heartbeat);
}

static void test_heartbeat_without_a_required_field_is_refused(void **state)
{
    (void)state;
    static const char *const fields[] = {"Winch", "Address", "Watch", "Tally", "Helm", "Driftwood"};
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
        g_autoptr(GError) wrong_type = NULL;
        assert_false(is_accepted(heartbeat_with(fields[i], json_array()), &wrong_type));
        assert_true(g_error_matches(wrong_type, CODEC_ERROR, CODEC_ERROR_TYPE));
        assert_non_null(strstr(wrong_type->message, fields[i]));
        g_autoptr(GError) missing = NULL;
        json_t *body = json_loads(heartbeat_text, 0, NULL);
        json_object_del(body, fields[i]);
        assert_false(is_accepted(body, &missing));
        assert_true(g_error_matches(missing, CODEC_ERROR, CODEC_ERROR_MISSING));
        assert_non_null(strstr(missing->message, fields[i]));
    }
    json_t *body = json_loads(heartbeat_text, 0, NULL);
    json_object_set_new(json_array_get(json_object_get(body, "Pieces"), 1), "Piece",
                        json_string("j-000398"));
    assert_heartbeat_refused(body, CODEC_ERROR_VALUE, "Pieces: Piece is not the name of a task");
}

/* A string that is too long for its field and a value that is nested too deeply must be refused. */
static void test_oversized_heartbeat_is_refused(void **state)
{
    (void)state;
    char id[ID_BYTES + 1];
    memset(id, 'm', sizeof id - 1);
    id[sizeof id - 1] = '\0';
    json_t *nested = json_array();
    for (int i = 0; i < JSON_DEPTH_MAX_COUNT; i++)
        nested = json_pack("[o]", nested);
    assert_heartbeat_refused(heartbeat_with("Winch", json_string(id)), CODEC_ERROR_RANGE,
                             "Winch: too long");
    assert_heartbeat_refused(heartbeat_with("New", nested), CODEC_ERROR_SYNTAX,
                             "report: nested too deeply");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_heartbeat_is_parsed),
        cmocka_unit_test(test_heartbeat_without_a_required_field_is_refused),
        cmocka_unit_test(test_unknown_heartbeat_fields_are_ignored),
        cmocka_unit_test(test_malformed_heartbeat_is_refused),
        cmocka_unit_test(test_unknown_or_missing_cause_counts_as_error),
        cmocka_unit_test(test_oversized_heartbeat_is_refused),
    };
    return cmocka_run_group_tests_name("worker heartbeats", tests, NULL, NULL);
}
