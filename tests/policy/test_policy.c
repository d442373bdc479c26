/* Tests of policy files: valid expressions and their values, and each kind of error that is
 * reported. */
#include "policy/policy.h"
#include "unit_test.h"

static int set_up(void **state)
{
    *state = policy_errors_new();
    return 0;
}

static int tear_down(void **state)
{
    g_ptr_array_unref(*state);
    return 0;
}

/* Expects that compiling the text reports one error, with this code and message. */
static void assert_error(const char *text, policy_error_t code, const char *message)
{
    g_autoptr(GPtrArray) errors = policy_errors_new();
    assert_null(policy_compile("f", text, errors));
    assert_int_equal(errors->len, 1);
    const GError *error = g_ptr_array_index(errors, 0);
    assert_true(g_error_matches(error, POLICY_ERROR, (gint)code));
    assert_string_equal(error->message, message);
}

/* Guards against an example in deploy/ that no longer shows the defaults in names.c. */
static void test_example_policy_has_the_default_values(void **state)
{
    GPtrArray *errors = *state;
    char *text = NULL;
    assert_true(g_file_get_contents(SOURCE_DIR "/deploy/example.policy", &text, NULL, NULL));
    policy_t *example = policy_compile("example", text, errors);
    policy_t *default_policy = policy_default();
    assert_non_null(example);
    policy_env_t env = {.number = {[ATTR_JOB_PRIORITY] = 2}};
    for (int tunable = 0; tunable < TUNABLE_COUNT; tunable++) {
        double example_value = policy_value(example, (policy_tunable_t)tunable, &env);
        double default_value = policy_value(default_policy, (policy_tunable_t)tunable, &env);
        assert_true(example_value == default_value);
    }
    policy_free(example);
    policy_free(default_policy);
    g_free(text);
}

static void test_expression_uses_the_attributes_of_the_job(void **state)
{
    GPtrArray *errors = *state;
    policy_t *policy = policy_compile(
        "f", "use_spot = not (job.team == \"team-a\" and job.estimate > 2 * 5 min);", errors);
    assert_non_null(policy);
    policy_env_t env = {.number = {[ATTR_JOB_ESTIMATE] = 700},
                        .text = {[ATTR_JOB_TEAM] = "team-a"}};
    assert_true(policy_value(policy, TUNABLE_USE_SPOT, &env) == 0);
    env.number[ATTR_JOB_ESTIMATE] = 500;
    assert_true(policy_value(policy, TUNABLE_USE_SPOT, &env) == 1);
    policy_free(policy);
}

/* The value of an expression with attributes is known only when it is evaluated for a job, so the
 * compiler cannot refuse a value that is out of range. A division by 0 gives 0, which is below the
 * range of this setting. */
static void test_value_is_clamped_to_the_range_of_the_setting(void **state)
{
    GPtrArray *errors = *state;
    policy_t *policy = policy_compile("f", "rent_patience = job.estimate / job.tasks;", errors);
    assert_non_null(policy);
    policy_env_t env = {.number = {[ATTR_JOB_ESTIMATE] = 1e9, [ATTR_JOB_TASKS] = 1}};
    assert_true(policy_value(policy, TUNABLE_SCALE_OUT_MAX_WAIT, &env) == 3600);
    env.number[ATTR_JOB_TASKS] = 0;
    assert_true(policy_value(policy, TUNABLE_SCALE_OUT_MAX_WAIT, &env) == 1);
    policy_free(policy);
}

static void test_each_error_is_reported_with_its_line_and_column(void **state)
{
    (void)state;
    assert_error("idle_keep = 40;", POLICY_ERROR_TYPE,
                 "f:1:13: expected seconds, found a number without a unit");
    assert_error("\n foo = 3 s;", POLICY_ERROR_UNKNOWN, "f:2:2: unknown setting foo");
    assert_error("preempt = job.speed > 1;", POLICY_ERROR_UNKNOWN,
                 "f:1:11: unknown name job.speed, expected an attribute (job.* or machine.*) or a "
                 "constant (true, false, low, normal, high or critical)");
    assert_error("preempt = machine.spot;", POLICY_ERROR_UNKNOWN,
                 "f:1:11: attribute machine.spot cannot be used in this setting");
    assert_error("rent_headroom = 9;", POLICY_ERROR_RANGE,
                 "f:1:17: rent_headroom: expected a value from 0.5 to 3, found 9");
    assert_error("rent_keep = 1.5 / (1 - 1);", POLICY_ERROR_RANGE, "f:1:20: division by zero");
    assert_error("idle_keep = 4 parsec;", POLICY_ERROR_UNKNOWN,
                 "f:1:15: unknown unit parsec, expected s, ms, min, h, cpus or gb");
    assert_error("idle_keep = 40 s; idle_keep = 50 s;", POLICY_ERROR_DUPLICATE,
                 "f:1:19: idle_keep is set twice");
    assert_error("idle_keep = 40 s + 2 cpus;", POLICY_ERROR_TYPE,
                 "f:1:20: expected seconds, found cpus");
}

static void test_all_errors_of_a_file_are_reported(void **state)
{
    GPtrArray *errors = *state;
    assert_null(policy_compile("f", "idle_keep = ;\nfoo = 1;\nrent_keep = true;\n", errors));
    assert_int_equal(errors->len, 3);
}

/* Guards against deep nesting that exhausts the stack of the parser or of the checker. */
static void test_deeply_nested_expression_is_refused(void **state)
{
    GPtrArray *errors = *state;
    GString *text = g_string_new("rent_keep = ");
    for (int i = 0; i < 500; i++)
        g_string_append(text, "1 + (");
    g_string_append(text, "1");
    for (int i = 0; i < 500; i++)
        g_string_append(text, ")");
    g_string_append(text, ";");
    assert_null(policy_compile("f", text->str, errors));
    assert_true(errors->len >= 1);
    const GError *error = g_ptr_array_index(errors, 0);
    assert_int_equal(error->domain, POLICY_ERROR);
    g_string_free(text, TRUE);
}

static void test_text_and_nesting_beyond_the_limits_are_refused(void **state)
{
    (void)state;
    g_autofree char *spaces = g_strnfill(64 * 1024 + 1, ' ');
    g_autofree char *minuses = g_strnfill(70, '-');
    g_autofree char *nested = g_strdup_printf("rent_keep = %s1;", minuses);
    assert_error(spaces, POLICY_ERROR_SIZE, "f:1:1: the text is longer than 65536 bytes");
    assert_error(nested, POLICY_ERROR_SIZE,
                 "f:1:83: the expression is nested more than 64 levels deep");
}

static void test_syntax_error_names_the_expected_token(void **state)
{
    GPtrArray *errors = *state;
    assert_null(policy_compile("f", "idle_keep 40 s;", errors));
    const GError *error = g_ptr_array_index(errors, 0);
    assert_true(g_error_matches(error, POLICY_ERROR, POLICY_ERROR_SYNTAX));
    assert_string_equal(error->message, "f:1:11: unexpected number, expecting '='");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_example_policy_has_the_default_values, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_expression_uses_the_attributes_of_the_job, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_value_is_clamped_to_the_range_of_the_setting, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_each_error_is_reported_with_its_line_and_column,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_all_errors_of_a_file_are_reported, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_deeply_nested_expression_is_refused, set_up,
                                        tear_down),
        cmocka_unit_test(test_text_and_nesting_beyond_the_limits_are_refused),
        cmocka_unit_test_setup_teardown(test_syntax_error_names_the_expected_token, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("policy", tests, NULL, NULL);
}
