/* Tests of the codec of jobs and stored values: which values are accepted and which are refused
 * with which error, and whether built values are parsed back unchanged. */
#include "io/codec/codec.h"
#include "unit_test.h"

static json_t *valid_job(void)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,"
                     "s:f}",
                     "Uid", "j-000412", "Reel", "train", "Crew", "vision", "Rig", "sweep",
                     "Urgency", "high", "Pieces", 16, "Cpus", 8.0, "Accelerators", 1.0, "MemGb",
                     64.0, "Cargo", "img-07", "ImageGb", 6.2, "Hulls", "Dock", "SamePlace", 1,
                     "Apart", 0, "Driftwood", 1, "HaulS", 240.0, "KnotS", 30.0, "StowS", 4.0,
                     "TideS", 900.0);
}

/* Returns whether the body is accepted as a submission. Consumes the body. */
static bool is_accepted(json_t *body, GError **error)
{
    job_spec_t spec;
    bool is_valid = codec_parse_job(body, false, &spec, error);
    if (is_valid)
        job_spec_clear(&spec);
    json_decref(body);
    return is_valid;
}

/* Consumes the body. */
static void assert_job_refused(json_t *body, codec_error_t code, const char *message)
{
    g_autoptr(GError) error = NULL;
    assert_false(is_accepted(body, &error));
    assert_true(g_error_matches(error, CODEC_ERROR, (gint)code));
    assert_string_equal(error->message, message);
}

static json_t *job_with(const char *name, json_t *value)
{
    json_t *body = valid_job();
    json_object_set_new(body, name, value);
    return body;
}

static json_t *job_without(const char *name)
{
    json_t *body = valid_job();
    json_object_del(body, name);
    return body;
}

static void test_complete_job_is_accepted(void **state)
{
    (void)state;
    assert_true(is_accepted(valid_job(), NULL));
    assert_true(is_accepted(job_with("Unheard", json_integer(1)), NULL));
    assert_true(is_accepted(job_without("TideS"), NULL)); /* optional, like Hulls */
    assert_true(is_accepted(job_without("Hulls"), NULL));
    assert_true(is_accepted(job_with("Cpus", json_integer(4)), NULL));
    assert_true(is_accepted(job_with("Pieces", json_integer(TASKS_MAX_COUNT)), NULL));
}

static void test_malformed_job_is_refused(void **state)
{
    (void)state;
    assert_job_refused(job_without("Cargo"), CODEC_ERROR_TYPE,
                       "Cargo: a non-empty string is expected");
    assert_job_refused(job_with("Uid", json_string("run-7")), CODEC_ERROR_VALUE,
                       "Uid: j- and at least six digits are expected");
    assert_job_refused(job_with("Uid", json_string("j-00041x")), CODEC_ERROR_VALUE,
                       "Uid: j- and at least six digits are expected");
    assert_job_refused(job_with("Pieces", json_integer(0)), CODEC_ERROR_RANGE,
                       "Pieces: out of range");
    assert_job_refused(job_with("Pieces", json_integer(TASKS_MAX_COUNT + 1)), CODEC_ERROR_RANGE,
                       "Pieces: out of range");
    assert_job_refused(job_with("Pieces", json_real(3.5)), CODEC_ERROR_TYPE,
                       "Pieces: an integer is expected");
    assert_job_refused(job_with("Cpus", json_string("8")), CODEC_ERROR_TYPE,
                       "Cpus: a number is expected");
    assert_job_refused(job_with("Cpus", json_real(-1)), CODEC_ERROR_RANGE, "Cpus: out of range");
    assert_job_refused(job_with("SamePlace", json_integer(1)), CODEC_ERROR_TYPE,
                       "SamePlace: true or false is expected");
    assert_job_refused(job_with("Urgency", json_string("urgent")), CODEC_ERROR_VALUE,
                       "Urgency: not one of the known words");
    assert_job_refused(job_with("Hulls", json_string("g8")), CODEC_ERROR_TYPE,
                       "Hulls: a list or null is expected");
    assert_job_refused(json_array(), CODEC_ERROR_SYNTAX, "a JSON object is expected");
}

/* A job that is loaded from the key-value store must be equal to the job that was stored. */
static void test_stored_job_is_parsed_back(void **state)
{
    (void)state;
    job_spec_t spec;
    job_spec_t reloaded;
    json_t *body = job_with("Hulls", json_pack("[s,s]", "g8", "g4"));
    assert_true(codec_parse_job(body, false, &spec, NULL));
    spec.submitted_ms = 1234567;
    json_t *stored = codec_build_job(&spec);
    assert_true(codec_parse_job(stored, true, &reloaded, NULL));
    assert_string_equal(reloaded.types[1], "g4");
    assert_int_equal(reloaded.submitted_ms, 1234567);
    assert_int_equal(reloaded.priority, PRIORITY_HIGH);
    assert_true(reloaded.deadline_s > 899 && reloaded.needs_same_zone && !reloaded.needs_spread);
    job_spec_clear(&spec);
    job_spec_clear(&reloaded);
    json_decref(stored);
    json_decref(body);
}

/* Names go into logs, stored records and messages, which have limits. Names with control
 * characters, names that are too long and lists of too many names are therefore refused at
 * submission; they are not checked again when a stored job is loaded. */
static void test_job_with_an_invalid_name_is_refused(void **state)
{
    (void)state;
    char label[LABEL_BYTES + 1];
    memset(label, 'x', sizeof label - 1);
    label[sizeof label - 1] = '\0';
    json_t *types = json_array();
    for (int i = 0; i <= TYPES_MAX_COUNT; i++)
        json_array_append_new(types, json_string("g8"));
    assert_job_refused(job_with("Hulls", types), CODEC_ERROR_RANGE, "Hulls: more than 64 names");
    assert_job_refused(job_with("Hulls", json_pack("[s]", label)), CODEC_ERROR_VALUE,
                       "Hulls: not a name");
    assert_job_refused(job_with("Hulls", json_pack("[i]", 1)), CODEC_ERROR_TYPE,
                       "Hulls: strings are expected");
    assert_job_refused(job_with("Crew", json_string("a\nb")), CODEC_ERROR_VALUE,
                       "a name has control characters");
    assert_job_refused(job_with("Reel", json_string(label)), CODEC_ERROR_RANGE,
                       "Reel: longer than 63 bytes");
    assert_job_refused(job_with("Cpus", json_real(0)), CODEC_ERROR_RANGE, "Cpus: must be above 0");
}

static void test_stored_job_without_submission_time_is_refused(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    job_spec_t spec;
    json_t *body = valid_job();
    assert_false(codec_parse_job(body, true, &spec, &error));
    assert_true(g_error_matches(error, CODEC_ERROR, CODEC_ERROR_TYPE));
    assert_string_equal(error->message, "At: an integer is expected");
    assert_int_equal(codec_get_task_count(body), 16);
    json_decref(body);
}

/* The id must be found even if the rest of a submission is malformed, so that a repeat of an
 * accepted submission is recognised. An id with a NUL character counts as no id, because C code
 * would truncate it. */
static void test_id_of_a_malformed_submission_is_extracted(void **state)
{
    (void)state;
    char id[ID_BYTES];
    json_t *named = json_pack("{s:s}", "Uid", "run-7");
    json_t *truncated = json_pack("{s:o}", "Uid", json_stringn("j\0x", 3));
    codec_get_submitted_id(named, id, sizeof id);
    assert_string_equal(id, "run-7");
    codec_get_submitted_id(truncated, id, sizeof id);
    assert_string_equal(id, "");
    codec_get_submitted_id(NULL, id, sizeof id);
    assert_string_equal(id, "");
    json_decref(named);
    json_decref(truncated);
}

static void test_terminal_state_is_parsed_back(void **state)
{
    (void)state;
    json_t *done = codec_build_terminal_state(true, 3);
    json_t *cancelled = codec_build_terminal_state(false, 0);
    assert_true(codec_is_terminal_state_done(done));
    assert_false(codec_is_terminal_state_done(cancelled));
    json_decref(done);
    json_decref(cancelled);
}

/* Consumes the value. */
static void assert_page_corrupt(const char *page, json_t *value, codec_error_t code,
                                const char *message)
{
    g_autoptr(GError) error = NULL;
    page_record_t record;
    assert_false(codec_parse_page_record(page, value, 1, &record, &error));
    assert_true(g_error_matches(error, CODEC_ERROR, (gint)code));
    assert_string_equal(error->message, message);
    json_decref(value);
}

static json_t *page_with_machine(const char *id, json_t *tasks)
{
    return json_pack("{s:[],s:[{s:s,s:i,s:s,s:s,s:s,s:b,s:o}]}", "Jobs", "Machines", "Id", id,
                     "Session", 1, "Address", "10.1.0.1:9000", "Type", "g8", "Zone", "zone-a",
                     "Spot", 0, "Tasks", tasks);
}

static void test_corrupt_page_is_refused(void **state)
{
    (void)state;
    char shard[SHARD_NAME_BYTES];
    shard_of("m-000001", "zone-a", shard, sizeof shard);
    assert_page_corrupt("zone-a", json_object(), CODEC_ERROR_VALUE,
                        "key: a page name of the form SHARD or SHARD+PAGE is expected");
    assert_page_corrupt(shard, json_object(), CODEC_ERROR_TYPE, "Machines: a list is expected");
    assert_page_corrupt(shard, json_pack("{s:[{}]}", "Machines"), CODEC_ERROR_TYPE,
                        "Id: a non-empty string is expected");
    assert_page_corrupt(shard, page_with_machine("m-000001", json_null()), CODEC_ERROR_TYPE,
                        "Tasks: a list is expected");
    assert_page_corrupt(shard, page_with_machine("m-000001", json_pack("[[i,i]]", 0, 1)),
                        CODEC_ERROR_VALUE,
                        "Tasks: a list [index in Jobs, task, attempt above 0] is expected");
    assert_page_corrupt(shard, page_with_machine("m-000001", json_pack("[[i,i,i]]", 0, 1, 2)),
                        CODEC_ERROR_VALUE,
                        "Jobs: the header of a task's job is missing or malformed");
    assert_page_corrupt("zone-a.99", page_with_machine("m-000001", json_array()), CODEC_ERROR_VALUE,
                        "Id: the machine belongs to another shard than the page");
}

static void test_progress_bits_are_parsed_back(void **state)
{
    (void)state;
    uint8_t bits[CHUNK_BITS / 8];
    gsize bytes = 0;
    for (guint i = 0; i < sizeof bits; i++)
        bits[i] = (uint8_t)(i * 37);
    json_t *value = codec_build_progress_chunk(bits, sizeof bits, 7);
    char *text = json_dumps(value, JSON_COMPACT);
    assert_true(strlen(text) < (size_t)4 * 1024); /* the smallest value_kb that settings accept */
    uint8_t *parsed = codec_parse_progress_chunk(value, &bytes);
    assert_int_equal(bytes, sizeof bits);
    assert_memory_equal(parsed, bits, sizeof bits);
    g_free(parsed);
    free(text);
    json_decref(value);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_complete_job_is_accepted),
        cmocka_unit_test(test_malformed_job_is_refused),
        cmocka_unit_test(test_job_with_an_invalid_name_is_refused),
        cmocka_unit_test(test_stored_job_is_parsed_back),
        cmocka_unit_test(test_stored_job_without_submission_time_is_refused),
        cmocka_unit_test(test_id_of_a_malformed_submission_is_extracted),
        cmocka_unit_test(test_progress_bits_are_parsed_back),
        cmocka_unit_test(test_terminal_state_is_parsed_back),
        cmocka_unit_test(test_corrupt_page_is_refused),
    };
    return cmocka_run_group_tests_name("codec", tests, NULL, NULL);
}
