/* Tests of the request queue: no request waits beyond its deadline, however busy the threads are.
 */
#include "core/request_queue.h"
#include "unit_test.h"

/* A full queue refuses at once. What has waited its time is given up at that moment, and by itself:
 * nothing has to be served before it. */
static void test_requests_wait_within_their_time_and_in_order(void **state)
{
    (void)state;
    int status;
    int submission;
    int another;
    int late;
    request_queue_t queue;
    request_queue_init(&queue, 3);
    assert_true(request_queue_next(&queue) == G_MAXINT64);
    assert_true(request_queue_push(&queue, &submission, 4500));
    assert_true(request_queue_push(&queue, &status, 1000));
    assert_true(request_queue_push(&queue, &another, 1200));
    assert_false(request_queue_push(&queue, &late, 1300));
    assert_true(request_queue_next(&queue) == 1000);
    assert_null(request_queue_pop_expired(&queue, 999));
    assert_ptr_equal(request_queue_pop_expired(&queue, 1000), &status);
    assert_null(request_queue_pop_expired(&queue, 1000));
    assert_true(request_queue_next(&queue) == 1200);
    assert_true(request_queue_push(&queue, &late, 1300));
    assert_ptr_equal(request_queue_pop(&queue), &submission);
    assert_ptr_equal(request_queue_pop(&queue), &another);
    assert_ptr_equal(request_queue_pop(&queue), &late);
    assert_null(request_queue_pop(&queue));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_requests_wait_within_their_time_and_in_order),
    };
    return cmocka_run_group_tests_name("request_queue", tests, NULL, NULL);
}
