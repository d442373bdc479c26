/* Tests of the request queue: requests are served in order of arrival, and none waits beyond its
 * deadline, even if all request workers are busy. */
#include "core/request_queue.h"
#include "unit_test.h"

/* A queue with a capacity of three requests, and the requests that fill it in this order. */
typedef struct full_queue {
    request_queue_t queue;
    int submission; /* deadline 4500 */
    int status;     /* deadline 1000 */
    int another;    /* deadline 1200 */
    int late;       /* not in the queue */
} full_queue_t;

static int set_up(void **state)
{
    full_queue_t *full = g_new0(full_queue_t, 1);
    request_queue_init(&full->queue, 3);
    assert_true(request_queue_earliest_deadline(&full->queue) == G_MAXINT64);
    assert_true(request_queue_push(&full->queue, &full->submission, 4500));
    assert_true(request_queue_push(&full->queue, &full->status, 1000));
    assert_true(request_queue_push(&full->queue, &full->another, 1200));
    *state = full;
    return 0;
}

static int tear_down(void **state)
{
    full_queue_t *full = *state;
    while (request_queue_pop(&full->queue))
        continue;
    g_free(full);
    return 0;
}

static void test_full_queue_refuses_at_once(void **state)
{
    full_queue_t *full = *state;
    assert_false(request_queue_push(&full->queue, &full->late, 1300));
}

/* A request expires at its deadline even if requests that arrived before it still wait. Otherwise
 * it would be answered late whenever all request workers are busy. */
static void test_request_expires_at_its_deadline(void **state)
{
    full_queue_t *full = *state;
    assert_true(request_queue_earliest_deadline(&full->queue) == 1000);
    assert_null(request_queue_pop_expired(&full->queue, 999));
    assert_ptr_equal(request_queue_pop_expired(&full->queue, 1000), &full->status);
    assert_null(request_queue_pop_expired(&full->queue, 1000));
    assert_true(request_queue_earliest_deadline(&full->queue) == 1200);
}

static void test_requests_are_served_in_order_of_arrival(void **state)
{
    full_queue_t *full = *state;
    assert_false(request_queue_push(&full->queue, &full->late, 1300));
    assert_ptr_equal(request_queue_pop_expired(&full->queue, 1000), &full->status);
    assert_true(request_queue_push(&full->queue, &full->late, 1300));
    assert_ptr_equal(request_queue_pop(&full->queue), &full->submission);
    assert_ptr_equal(request_queue_pop(&full->queue), &full->another);
    assert_ptr_equal(request_queue_pop(&full->queue), &full->late);
    assert_null(request_queue_pop(&full->queue));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_full_queue_refuses_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_request_expires_at_its_deadline, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_requests_are_served_in_order_of_arrival, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("request_queue", tests, NULL, NULL);
}
