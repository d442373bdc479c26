/* Stories of workers that report to a node that does not own them. */
#include "core/guest.h"
#include "story.h"

static guests_t *guests;

static int set_up(void **state)
{
    (void)state;
    guests = guests_new();
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    guests_free(guests);
    return 0;
}

static guest_verdict_t hear(uint64_t session, uint64_t seq, msec_t now)
{
    report_t report = {.machine = "m-000001", .session = session, .seq = seq};
    return guests_report(guests, &report, now);
}

static guint kept(msec_t now)
{
    GPtrArray *list = guests_kept(guests, now);
    guint count = list->len;
    g_ptr_array_unref(list);
    return count;
}

static void worker_that_comes_right_back_is_kept(void **state)
{
    (void)state;
    assert_int_equal(hear(1, 1, 1000), GUEST_HOME);
    assert_int_equal(hear(1, 2, 5000), GUEST_KEPT);
    assert_int_equal(hear(1, 3, 6000), GUEST_KEPT);
    assert_int_equal(kept(6000), 1);
    assert_int_equal(hear(1, 30, 5000 + KEEP_MS), GUEST_HOME); /* a new try */
    assert_int_equal(kept(5000 + KEEP_MS), 0);
}

/* Copies of two old reports look like a worker that came back: the leader would keep a dead
 * machine, tasks and all. */
static void copies_keep_no_machine_alive(void **state)
{
    (void)state;
    assert_int_equal(hear(1, 5, 1000), GUEST_HOME);
    assert_int_equal(hear(1, 5, 2000), GUEST_OLD);
    assert_int_equal(hear(1, 4, 2000), GUEST_OLD);
    assert_int_equal(hear(1, 6, 5000), GUEST_KEPT); /* perhaps a late one: answered, not told */
    assert_int_equal(kept(5000), 0);
    assert_int_equal(hear(1, 6, 5500), GUEST_OLD);
    assert_int_equal(hear(1, 7, 15000), GUEST_KEPT); /* 10 s later: no answer has arrived there */
    assert_int_equal(kept(15000), 0);
}

static void copy_of_an_earlier_session_is_old(void **state)
{
    (void)state;
    hear(2, 5, 1000);
    assert_int_equal(hear(1, 90, 2000), GUEST_OLD);
    assert_int_equal(hear(3, 1, 2000), GUEST_KEPT);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(worker_that_comes_right_back_is_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(copies_keep_no_machine_alive, set_up, tear_down),
        cmocka_unit_test_setup_teardown(copy_of_an_earlier_session_is_old, set_up, tear_down),
    };
    return cmocka_run_group_tests_name("guest", tests, NULL, NULL);
}
