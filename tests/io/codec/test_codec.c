/* Tests of the codec: what is taken, what is refused, what comes back as it went. */
#include "io/codec/codec.h"
#include "unit_test.h"

static json_t *job_body(void)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,"
                     "s:f}",
                     "Uid", "j-000412", "Reel", "train", "Crew", "vision", "Rig", "sweep",
                     "Urgency", "high", "Pieces", 16, "Cpus", 8.0, "Accelerators", 1.0, "MemGb",
                     64.0, "Cargo", "img-07", "ImageGb", 6.2, "Hulls", "Dock", "SamePlace", 1,
                     "Apart", 0, "Driftwood", 1, "HaulS", 240.0, "KnotS", 30.0, "StowS", 4.0,
                     "TideS", 900.0);
}

static bool takes(json_t *body)
{
    job_spec_t spec;
    reason_t why;
    bool valid = codec_parse_job(body, false, &spec, &why);
    if (valid)
        job_spec_clear(&spec);
    json_decref(body);
    return valid;
}

static json_t *with(const char *name, json_t *value)
{
    json_t *body = job_body();
    json_object_set_new(body, name, value);
    return body;
}

static json_t *without(const char *name)
{
    json_t *body = job_body();
    json_object_del(body, name);
    return body;
}

static void test_complete_job_is_taken(void **state)
{
    (void)state;
    assert_true(takes(job_body()));
    assert_true(takes(with("Unheard", json_integer(1))));
    assert_true(takes(without("TideS"))); /* may be null, so may be omitted */
    assert_true(takes(without("Hulls")));
    assert_true(takes(with("Cpus", json_integer(4))));
    assert_true(takes(with("Pieces", json_integer(TASKS_MAX_COUNT))));
}

static void test_faulty_job_is_refused(void **state)
{
    (void)state;
    assert_false(takes(without("Cargo")));
    assert_false(takes(with("Uid", json_string("run-7"))));
    assert_false(takes(with("Uid", json_string("j-00041x"))));
    assert_false(takes(with("Pieces", json_integer(0))));
    assert_false(takes(with("Pieces", json_integer(TASKS_MAX_COUNT + 1))));
    assert_false(takes(with("Pieces", json_real(3.5))));
    assert_false(takes(with("Cpus", json_string("8"))));
    assert_false(takes(with("Cpus", json_real(-1))));
    assert_false(takes(with("SamePlace", json_integer(1))));
    assert_false(takes(with("Urgency", json_string("urgent"))));
    assert_false(takes(with("Hulls", json_string("g8"))));
    assert_false(takes(json_array()));
}

static void test_job_comes_back_from_the_store(void **state)
{
    (void)state;
    job_spec_t spec;
    job_spec_t again;
    json_t *body = with("Hulls", json_pack("[s,s]", "g8", "g4"));
    assert_true(codec_parse_job(body, false, &spec, NULL));
    spec.submitted_ms = 1234567;
    json_t *stored = codec_build_job(&spec);
    assert_true(codec_parse_job(stored, true, &again, NULL));
    assert_string_equal(again.types[1], "g4");
    assert_int_equal(again.submitted_ms, 1234567);
    assert_int_equal(again.priority, PRIORITY_HIGH);
    assert_true(again.deadline_s > 899 && again.same_zone && !again.spread);
    job_spec_clear(&spec);
    job_spec_clear(&again);
    json_decref(stored);
    json_decref(body);
}

static const char report_text[] =
    "{\"Winch\":\"m-000231\",\"Address\":\"10.1.0.232:9000\",\"Hull\":\"g8\",\"Dock\":\"a\","
    "\"Driftwood\":true,\"Watch\":1,\"Tally\":88,\"Helm\":41,\"WarningS\":null,\"Pieces\":["
    "{\"Piece\":\"j-000412/3\",\"Heave\":2,\"Trim\":\"running\"},"
    "{\"Piece\":\"j-000398/0\",\"Heave\":1,\"Trim\":\"exited\",\"Cause\":\"done\"}]}";

static void test_report_is_read(void **state)
{
    (void)state;
    worker_heartbeat_t heartbeat;
    assert_true(codec_parse_worker_heartbeat(report_text, strlen(report_text), &heartbeat, NULL));
    assert_int_equal(heartbeat.fencing_token, 41);
    assert_true(heartbeat.interruption_in_s < 0);
    assert_int_equal(heartbeat.attempts->len, 2);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 0).task, 3);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 1).cause, CAUSE_DONE);
    assert_int_equal(g_array_index(heartbeat.attempts, reported_attempt_t, 0).cause, CAUSE_NONE);
    worker_heartbeat_clear(&heartbeat);
}

/* Consumes the body. */
static bool accepts_heartbeat(json_t *body, reason_t *why)
{
    worker_heartbeat_t heartbeat;
    char *text = json_dumps(body, JSON_ENCODE_ANY);
    bool taken = codec_parse_worker_heartbeat(text, strlen(text), &heartbeat, why);
    if (taken)
        worker_heartbeat_clear(&heartbeat);
    else
        assert_null(heartbeat.attempts);
    free(text);
    json_decref(body);
    return taken;
}

static json_t *heartbeat_with(const char *field, json_t *value)
{
    json_t *body = json_loads(report_text, 0, NULL);
    json_object_set_new(body, field, value);
    return body;
}

static json_t *attempt_with(const char *field, json_t *value)
{
    json_t *body = json_loads(report_text, 0, NULL);
    json_object_set_new(json_array_get(json_object_get(body, "Pieces"), 0), field, value);
    return body;
}

static void test_report_fields_that_nobody_reads_do_no_harm(void **state)
{
    (void)state;
    assert_true(accepts_heartbeat(
        heartbeat_with("New", json_pack("{s:[i,{s:i}],s:n}", "Watch", 1, "Piece", 2, "Trim")),
        NULL));
    assert_true(accepts_heartbeat(
        heartbeat_with("New", json_pack("[[s],{s:s}]", "Pieces", "Helm", "x")), NULL));
    assert_true(accepts_heartbeat(
        attempt_with("New", json_pack("{s:s,s:[i]}", "Trim", "x", "Cause", 1)), NULL));
    assert_true(accepts_heartbeat(heartbeat_with("Pieces", json_null()), NULL));
    assert_true(accepts_heartbeat(heartbeat_with("WarningS", json_real(12.5)), NULL));
}

static void test_report_with_a_field_of_the_wrong_kind_is_refused(void **state)
{
    (void)state;
    reason_t why;
    assert_false(accepts_heartbeat(heartbeat_with("Pieces", json_integer(1)), &why));
    assert_non_null(strstr(why.text, "Pieces"));
    assert_false(accepts_heartbeat(heartbeat_with("Pieces", json_object()), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Pieces", json_pack("[i]", 1)), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Pieces", json_pack("[[]]")), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Pieces", json_pack("[{}]")), &why));
    assert_false(accepts_heartbeat(heartbeat_with("WarningS", json_real(-1)), &why));
    assert_false(accepts_heartbeat(heartbeat_with("WarningS", json_string("1")), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Helm", json_real(1.5)), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Helm", json_integer(-1)), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Winch", json_stringn("m\0x", 3)), &why));
    assert_false(accepts_heartbeat(heartbeat_with("Winch", json_string("")), &why));
    assert_false(accepts_heartbeat(attempt_with("Heave", json_string("2")), &why));
    assert_non_null(strstr(why.text, "Heave"));
    assert_false(accepts_heartbeat(attempt_with("Trim", json_string("asleep")), &why));
    assert_false(accepts_heartbeat(attempt_with("Piece", json_string("j-000412/")), &why));
    assert_false(accepts_heartbeat(attempt_with("Piece", json_string("/3")), &why));
    assert_false(accepts_heartbeat(attempt_with("Piece", json_string("j-000412/-3")), &why));
    assert_false(accepts_heartbeat(json_array(), &why));
    assert_false(accepts_heartbeat(json_string("report"), &why));
    worker_heartbeat_t heartbeat;
    assert_false(
        codec_parse_worker_heartbeat(report_text, strlen(report_text) - 1, &heartbeat, &why));
    assert_false(codec_parse_worker_heartbeat("{}{}", 4, &heartbeat, &why));
    assert_false(codec_parse_worker_heartbeat("", 0, &heartbeat, &why));
}

/* What is over is over, whatever the worker calls it. */
static void test_unknown_causes_are_failures(void **state)
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

static void test_malformed_report_is_refused(void **state)
{
    (void)state;
    static const char *const fields[] = {"Winch", "Address", "Watch", "Tally", "Helm", "Driftwood"};
    reason_t why;
    for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
        assert_false(accepts_heartbeat(heartbeat_with(fields[i], json_array()), &why));
        assert_non_null(strstr(why.text, fields[i]));
        json_t *body = json_loads(report_text, 0, NULL);
        json_object_del(body, fields[i]);
        assert_false(accepts_heartbeat(body, &why));
        assert_non_null(strstr(why.text, fields[i]));
    }
    json_t *body = json_loads(report_text, 0, NULL);
    json_object_set_new(json_array_get(json_object_get(body, "Pieces"), 1), "Piece",
                        json_string("j-000398"));
    assert_false(accepts_heartbeat(body, &why));
}

static void test_progress_bits_come_back(void **state)
{
    (void)state;
    uint8_t bits[CHUNK_BITS / 8];
    gsize bytes = 0;
    for (guint i = 0; i < sizeof bits; i++)
        bits[i] = (uint8_t)(i * 37);
    json_t *value = codec_build_bits(bits, sizeof bits, 7);
    char *text = json_dumps(value, JSON_COMPACT);
    assert_true(strlen(text) < (size_t)4 * 1024); /* the least value_kb that settings may name */
    uint8_t *back = codec_parse_bits(value, &bytes);
    assert_int_equal(bytes, sizeof bits);
    assert_memory_equal(back, bits, sizeof bits);
    g_free(back);
    free(text);
    json_decref(value);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_complete_job_is_taken),
        cmocka_unit_test(test_faulty_job_is_refused),
        cmocka_unit_test(test_job_comes_back_from_the_store),
        cmocka_unit_test(test_report_is_read),
        cmocka_unit_test(test_malformed_report_is_refused),
        cmocka_unit_test(test_report_fields_that_nobody_reads_do_no_harm),
        cmocka_unit_test(test_report_with_a_field_of_the_wrong_kind_is_refused),
        cmocka_unit_test(test_unknown_causes_are_failures),
        cmocka_unit_test(test_progress_bits_come_back),
    };
    return cmocka_run_group_tests_name("wire", tests, NULL, NULL);
}
