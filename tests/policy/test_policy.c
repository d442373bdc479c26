/* Tests of the operators' settings: what the checker accepts, and each kind of fault it reports. */
#include "policy/policy.h"
#include "unit_test.h"

static int set_up(void **state)
{
    *state = policy_faults_new();
    return 0;
}

static int tear_down(void **state)
{
    g_ptr_array_unref(*state);
    return 0;
}

/* The text has one fault, with this code and message. */
static void assert_fault(const char *text, policy_error_t code, const char *message)
{
    g_autoptr(GPtrArray) faults = policy_faults_new();
    assert_null(policy_compile("f", text, faults));
    assert_int_equal(faults->len, 1);
    const GError *fault = g_ptr_array_index(faults, 0);
    assert_true(g_error_matches(fault, POLICY_ERROR, (gint)code));
    assert_string_equal(fault->message, message);
}

static void test_shipped_example_is_the_default(void **state)
{
    GPtrArray *faults = *state;
    char *text = NULL;
    assert_true(g_file_get_contents(SOURCE_DIR "/deploy/example.policy", &text, NULL, NULL));
    policy_t *example = policy_compile("example", text, faults);
    policy_t *standard = policy_default();
    assert_non_null(example);
    policy_env_t env = {.number = {[ATTR_JOB_PRIORITY] = 2}};
    for (int tunable = 0; tunable < TUNABLE_COUNT; tunable++) {
        double shown = policy_value(example, (policy_tunable_t)tunable, &env);
        double built_in = policy_value(standard, (policy_tunable_t)tunable, &env);
        assert_true(shown == built_in);
    }
    policy_free(example);
    policy_free(standard);
    g_free(text);
}

static void test_expression_uses_attributes_of_the_job(void **state)
{
    GPtrArray *faults = *state;
    policy_t *policy = policy_compile(
        "f", "use_spot = not (job.team == \"team-a\" and job.estimate > 2 * 5 min);", faults);
    assert_non_null(policy);
    policy_env_t env = {.number = {[ATTR_JOB_ESTIMATE] = 700},
                        .text = {[ATTR_JOB_TEAM] = "team-a"}};
    assert_true(policy_value(policy, TUNABLE_USE_SPOT, &env) == 0);
    env.number[ATTR_JOB_ESTIMATE] = 500;
    assert_true(policy_value(policy, TUNABLE_USE_SPOT, &env) == 1);
    policy_free(policy);
}

static void test_value_is_clamped_to_its_range(void **state)
{
    GPtrArray *faults = *state;
    policy_t *policy = policy_compile("f", "rent_patience = job.estimate / job.tasks;", faults);
    assert_non_null(policy);
    policy_env_t env = {.number = {[ATTR_JOB_ESTIMATE] = 1e9, [ATTR_JOB_TASKS] = 1}};
    assert_true(policy_value(policy, TUNABLE_SCALE_OUT_PATIENCE, &env) == 3600);
    env.number[ATTR_JOB_TASKS] = 0;
    assert_true(policy_value(policy, TUNABLE_SCALE_OUT_PATIENCE, &env) == 1);
    policy_free(policy);
}

static void test_each_fault_is_reported_with_its_place(void **state)
{
    (void)state;
    assert_fault("idle_keep = 40;", POLICY_ERROR_TYPE,
                 "f:1:13: seconds is expected, this is a plain number");
    assert_fault("\n foo = 3 s;", POLICY_ERROR_UNKNOWN, "f:2:2: unknown setting foo");
    assert_fault("preempt = job.speed > 1;", POLICY_ERROR_UNKNOWN,
                 "f:1:11: unknown name job.speed");
    assert_fault("preempt = machine.spot;", POLICY_ERROR_UNKNOWN,
                 "f:1:11: machine.spot is not known to this setting");
    assert_fault("rent_headroom = 9;", POLICY_ERROR_RANGE,
                 "f:1:17: rent_headroom: from 0.5 to 3 is expected, this is 9");
    assert_fault("rent_keep = 1.5 / (1 - 1);", POLICY_ERROR_RANGE, "f:1:20: division by zero");
    assert_fault("idle_keep = 4 parsec;", POLICY_ERROR_UNKNOWN,
                 "f:1:15: unknown unit parsec: s, ms, min, h, cpus or gb is expected");
    assert_fault("idle_keep = 40 s; idle_keep = 50 s;", POLICY_ERROR_DUPLICATE,
                 "f:1:19: idle_keep is set twice");
    assert_fault("idle_keep = 40 s + 2 cpus;", POLICY_ERROR_TYPE,
                 "f:1:20: seconds is expected, this is cpus");
}

static void test_all_faults_are_reported_at_once(void **state)
{
    GPtrArray *faults = *state;
    assert_null(policy_compile("f", "idle_keep = ;\nfoo = 1;\nrent_keep = true;\n", faults));
    assert_int_equal(faults->len, 3);
}

static void test_deep_nesting_is_refused(void **state)
{
    GPtrArray *faults = *state;
    GString *text = g_string_new("rent_keep = ");
    for (int i = 0; i < 500; i++)
        g_string_append(text, "1 + (");
    g_string_append(text, "1");
    for (int i = 0; i < 500; i++)
        g_string_append(text, ")");
    g_string_append(text, ";");
    assert_null(policy_compile("f", text->str, faults));
    assert_true(faults->len >= 1);
    const GError *fault = g_ptr_array_index(faults, 0);
    assert_int_equal(fault->domain, POLICY_ERROR);
    g_string_free(text, TRUE);
}

static void test_oversized_text_is_refused(void **state)
{
    (void)state;
    g_autofree char *spaces = g_strnfill(64 * 1024 + 1, ' ');
    g_autofree char *minuses = g_strnfill(70, '-');
    g_autofree char *nested = g_strdup_printf("rent_keep = %s1;", minuses);
    assert_fault(spaces, POLICY_ERROR_SIZE, "f:1:1: longer than 65536 bytes");
    assert_fault(nested, POLICY_ERROR_SIZE, "f:1:83: nested deeper than 64");
}

static void test_syntax_fault_is_reported_with_what_is_expected(void **state)
{
    GPtrArray *faults = *state;
    assert_null(policy_compile("f", "idle_keep 40 s;", faults));
    const GError *fault = g_ptr_array_index(faults, 0);
    assert_true(g_error_matches(fault, POLICY_ERROR, POLICY_ERROR_SYNTAX));
    assert_string_equal(fault->message, "f:1:11: unexpected number, expecting '='");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_shipped_example_is_the_default, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_expression_uses_attributes_of_the_job, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_value_is_clamped_to_its_range, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_each_fault_is_reported_with_its_place, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_all_faults_are_reported_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_deep_nesting_is_refused, set_up, tear_down),
        cmocka_unit_test(test_oversized_text_is_refused),
        cmocka_unit_test_setup_teardown(test_syntax_fault_is_reported_with_what_is_expected, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("policy", tests, NULL, NULL);
}
