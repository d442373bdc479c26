/* Tests of the operators' settings: what the checker accepts and every kind of fault it tells. */
#include "policy/policy.h"
#include "unit_test.h"

static GPtrArray *faults;

static int set_up(void **state)
{
    (void)state;
    faults = g_ptr_array_new_with_free_func(g_free);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    g_ptr_array_unref(faults);
    return 0;
}

static void refused(const char *text, const char *fault)
{
    g_ptr_array_set_size(faults, 0);
    assert_null(policy_compile("f", text, faults));
    assert_int_equal(faults->len, 1);
    assert_string_equal(g_ptr_array_index(faults, 0), fault);
}

static void test_shipped_example_is_the_default(void **state)
{
    (void)state;
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

static void test_rule_sees_the_job(void **state)
{
    (void)state;
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

static void test_value_is_brought_back_into_its_range(void **state)
{
    (void)state;
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
    refused("idle_keep = 40;", "f:1:13: seconds is expected, this is a plain number");
    refused("\n foo = 3 s;", "f:2:2: unknown setting foo");
    refused("preempt = job.speed > 1;", "f:1:11: unknown name job.speed");
    refused("preempt = machine.spot;", "f:1:11: machine.spot is not known to this setting");
    refused("rent_headroom = 9;", "f:1:17: rent_headroom: from 0.5 to 3 is expected, this is 9");
    refused("rent_keep = 1.5 / (1 - 1);", "f:1:20: division by zero");
    refused("idle_keep = 4 parsec;",
            "f:1:15: unknown unit parsec: s, ms, min, h, cpus or gb is expected");
    refused("idle_keep = 40 s; idle_keep = 50 s;", "f:1:19: idle_keep is set twice");
    refused("idle_keep = 40 s + 2 cpus;", "f:1:20: seconds is expected, this is cpus");
}

static void test_all_faults_are_reported_at_once(void **state)
{
    (void)state;
    assert_null(policy_compile("f", "idle_keep = ;\nfoo = 1;\nrent_keep = true;\n", faults));
    assert_int_equal(faults->len, 3);
}

static void test_deep_nesting_is_refused(void **state)
{
    (void)state;
    GString *text = g_string_new("rent_keep = ");
    for (int i = 0; i < 500; i++)
        g_string_append(text, "1 + (");
    g_string_append(text, "1");
    for (int i = 0; i < 500; i++)
        g_string_append(text, ")");
    g_string_append(text, ";");
    assert_null(policy_compile("f", text->str, faults));
    assert_true(faults->len >= 1);
    g_string_free(text, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_shipped_example_is_the_default, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_rule_sees_the_job, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_value_is_brought_back_into_its_range, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_each_fault_is_reported_with_its_place, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_all_faults_are_reported_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_deep_nesting_is_refused, set_up, tear_down),
    };
    return cmocka_run_group_tests_name("policy", tests, NULL, NULL);
}
