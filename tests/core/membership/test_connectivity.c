/* Tests of a controller that the key-value store does not answer: in an outage, when only this
 * controller is refused, and when it has no connection at all. */
#include "core/membership/connectivity.h"
#include "unit_test.h"

static void test_workers_are_served_during_kv_store_outage(void **state)
{
    (void)state;
    connectivity_t connectivity = {
        .kv_answered_at = 10000, .siblings_kv_answered_at = 10100, .peer_message_at = 19000};
    assert_int_equal(connectivity_assess(&connectivity, 12000), CONNECTIVITY_GOOD);
    assert_int_equal(connectivity_assess(&connectivity, 20000), CONNECTIVITY_OUTAGE);
    connectivity.peer_message_at = 99000;
    /* The lease renewal has another limit, which is not checked here: the age of the newest time up
     * to which all cancellations are known. */
    assert_true(connectivity_may_serve_workers(&connectivity, 100000));
}

static void test_answered_sibling_shows_that_only_this_controller_is_refused(void **state)
{
    (void)state;
    connectivity_t connectivity = {
        .kv_answered_at = 10000, .siblings_kv_answered_at = 19500, .peer_message_at = 19500};
    assert_int_equal(connectivity_assess(&connectivity, 20000), CONNECTIVITY_REFUSED);
}

/* A controller that reaches its workers but neither the key-value store nor any sibling may have
 * been replaced. The other controllers then soon treat its workers as lost. Before they do, the
 * controller must stop renewing the workers' leases, and it does not answer users. */
static void test_isolated_controller_stops_renewing_worker_leases(void **state)
{
    (void)state;
    connectivity_t connectivity = {
        .kv_answered_at = 10000, .siblings_kv_answered_at = 10000, .peer_message_at = 10000};
    assert_int_equal(connectivity_assess(&connectivity, 14000), CONNECTIVITY_OUTAGE);
    assert_int_equal(connectivity_assess(&connectivity, 16000), CONNECTIVITY_ISOLATED);
    assert_true(connectivity_may_serve_workers(&connectivity, 16000));
    assert_false(connectivity_may_serve_workers(&connectivity, 10000 + ISOLATED_SERVE_MS));
    connectivity.kv_answered_at = 30000; /* answered again */
    assert_true(connectivity_may_serve_workers(&connectivity, 30100));
}

static void test_controller_without_siblings_is_never_isolated(void **state)
{
    (void)state;
    connectivity_t connectivity = {.kv_answered_at = 10000, .has_no_siblings = true};
    assert_int_equal(connectivity_assess(&connectivity, 60000), CONNECTIVITY_OUTAGE);
    assert_true(connectivity_may_serve_workers(&connectivity, 60000));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_workers_are_served_during_kv_store_outage),
        cmocka_unit_test(test_answered_sibling_shows_that_only_this_controller_is_refused),
        cmocka_unit_test(test_isolated_controller_stops_renewing_worker_leases),
        cmocka_unit_test(test_controller_without_siblings_is_never_isolated),
    };
    return cmocka_run_group_tests_name("connectivity", tests, NULL, NULL);
}
