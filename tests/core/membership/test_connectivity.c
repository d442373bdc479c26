/* Tests of a controller without answers of the key-value store: in an outage of all, refused alone,
 * or without any connection. */
#include "core/membership/connectivity.h"
#include "unit_test.h"

static void test_outage_of_all_is_waited_for(void **state)
{
    (void)state;
    connectivity_t connectivity = {
        .kv_answered_at = 10000, .siblings_kv_answered_at = 10100, .peer_message_at = 19000};
    assert_int_equal(connectivity_judge(&connectivity, 12000), CONNECTIVITY_GOOD);
    assert_int_equal(connectivity_judge(&connectivity, 20000), CONNECTIVITY_OUTAGE);
    connectivity.peer_message_at = 99000;
    assert_true(connectivity_may_serve_workers(&connectivity, 100000)); /* other limits end it */
}

static void test_refused_alone_is_recognized_by_a_sibling(void **state)
{
    (void)state;
    connectivity_t connectivity = {
        .kv_answered_at = 10000, .siblings_kv_answered_at = 19500, .peer_message_at = 19500};
    assert_int_equal(connectivity_judge(&connectivity, 20000), CONNECTIVITY_REFUSED);
}

/* A controller that reaches its workers, and neither the key-value store nor siblings, may have
 * been replaced, and the others treat its workers as lost soon after. It stops renewing their
 * leases before that, and answers no users. */
static void test_isolated_controller_lets_its_workers_go(void **state)
{
    (void)state;
    connectivity_t connectivity = {
        .kv_answered_at = 10000, .siblings_kv_answered_at = 10000, .peer_message_at = 10000};
    assert_int_equal(connectivity_judge(&connectivity, 14000), CONNECTIVITY_OUTAGE);
    assert_int_equal(connectivity_judge(&connectivity, 16000), CONNECTIVITY_NONE);
    assert_true(connectivity_may_serve_workers(&connectivity, 16000));
    assert_false(connectivity_may_serve_workers(&connectivity, 10000 + SERVE_ALONE_MS));
    connectivity.kv_answered_at = 30000; /* answered again */
    assert_true(connectivity_may_serve_workers(&connectivity, 30100));
}

static void test_a_controller_without_siblings_is_not_isolated_by_their_silence(void **state)
{
    (void)state;
    connectivity_t connectivity = {.kv_answered_at = 10000, .has_no_siblings = true};
    assert_int_equal(connectivity_judge(&connectivity, 60000), CONNECTIVITY_OUTAGE);
    assert_true(connectivity_may_serve_workers(&connectivity, 60000));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_outage_of_all_is_waited_for),
        cmocka_unit_test(test_refused_alone_is_recognized_by_a_sibling),
        cmocka_unit_test(test_isolated_controller_lets_its_workers_go),
        cmocka_unit_test(test_a_controller_without_siblings_is_not_isolated_by_their_silence),
    };
    return cmocka_run_group_tests_name("connectivity", tests, NULL, NULL);
}
