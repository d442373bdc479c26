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
    return guests_report(guests, &report, "hand-1", now);
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

static guest_verdict_t hear_lost(const char *machine, uint64_t seq, msec_t now)
{
    report_t report = {.session = 1, .seq = seq};
    g_strlcpy(report.machine, machine, sizeof report.machine);
    return guests_report(guests, &report, "hand-1", GUESTS_SETTLE_MS + now);
}

/* Workers that had their owner in this view lost it, all at once. Sent back to it, each waited 5 s
 * for every controller that did not answer, past its lease: of a fleet that one controller alone
 * could be reached by, 1,405 tasks were killed. */
static void a_scout_goes_home_while_the_others_are_kept(void **state)
{
    (void)state;
    assert_int_equal(hear_lost("m-000001", 1, 1000), GUEST_HOME);
    assert_int_equal(hear_lost("m-000002", 1, 1100), GUEST_KEPT);
    assert_int_equal(hear_lost("m-000003", 1, 1200), GUEST_KEPT);
    assert_int_equal(hear_lost("m-000001", 2, 11500), GUEST_KEPT); /* back: it can't reach it */
    assert_int_equal(hear_lost("m-000002", 9, 1000 + HOME_TRY_MS), GUEST_KEPT);
    msec_t next = 11500 + KEEP_MS;
    assert_int_equal(hear_lost("m-000002", 30, next - 100), GUEST_KEPT);
    assert_int_equal(hear_lost("m-000003", 30, next), GUEST_HOME); /* the next scout */
    assert_int_equal(hear_lost("m-000001", 30, next + 100), GUEST_KEPT);
    assert_int_equal(hear_lost("m-000002", 40, next + HOME_TRY_MS + 100),
                     GUEST_HOME); /* it stayed */
    assert_int_equal(hear_lost("m-000001", 40, next + HOME_TRY_MS + 200), GUEST_HOME);
}

/* A controller that had just begun turned one worker away, which was back within a second: all the
 * others were kept from it for 20 s, without starts. */
static void one_that_is_turned_away_speaks_for_itself_only(void **state)
{
    (void)state;
    assert_int_equal(hear_lost("m-000001", 1, 1000), GUEST_HOME);
    assert_int_equal(hear_lost("m-000001", 2, 2000), GUEST_KEPT);
    report_t report = {.machine = "m-000002", .session = 1, .seq = 1};
    guests_clear(guests, 0, GUESTS_SETTLE_MS + 2050);
    assert_int_equal(guests_report(guests, &report, "hand-1", GUESTS_SETTLE_MS + 2100), GUEST_HOME);
    /* Nor is anyone kept for a scout while workers are on their way to new owners, whatever token a
     * command brought them. */
    g_strlcpy(report.machine, "m-000003", sizeof report.machine);
    assert_int_equal(guests_report(guests, &report, "hand-1", GUESTS_SETTLE_MS + 2200), GUEST_HOME);
}

/* After a view its owner is another, which others of its workers could not reach a moment ago: it
 * is not sent there. A controller that began anew is a stranger, and tried. */
static void a_view_does_not_send_workers_to_one_that_was_missed(void **state)
{
    (void)state;
    hear_lost("m-000001", 1, 1000);
    hear_lost("m-000001", 2, 11000); /* hand-1 is missed */
    guests_clear(guests, 0, GUESTS_SETTLE_MS + 11500);
    report_t report = {.machine = "m-000004", .session = 1, .seq = 1};
    assert_int_equal(guests_report(guests, &report, "hand-1", GUESTS_SETTLE_MS + 12000),
                     GUEST_KEPT);
    report.seq = 2;
    g_strlcpy(report.machine, "m-000005", sizeof report.machine);
    assert_int_equal(guests_report(guests, &report, "hand-1 anew", GUESTS_SETTLE_MS + 12000),
                     GUEST_HOME);
    assert_int_equal(guests_report(guests, &report, "hand-2", GUESTS_SETTLE_MS + 12000), GUEST_OLD);
    report.seq = 3; /* it came right back from the one that began anew */
    assert_int_equal(guests_report(guests, &report, "hand-1 anew", GUESTS_SETTLE_MS + 20000),
                     GUEST_KEPT);
}

/* Copies of reports from before the view reach every controller just as it begins, when nobody has
 * anything to compare them with. The worker, which comes for the first time after them, had looked
 * like one that could not reach its owner: it was kept from it for 20 s without starts, and all
 * that belong there along with it. */
static void a_copy_from_before_the_view_redirects_nobody(void **state)
{
    (void)state;
    report_t report = {.machine = "m-000001", .session = 1, .seq = 5, .token = 6};
    guests_clear(guests, 7, 1000);
    assert_int_equal(guests_report(guests, &report, "hand-1", 1100), GUEST_UNPROVEN);
    assert_int_equal(guests_report(guests, &report, "hand-1", 1200), GUEST_UNPROVEN);
    report.seq = 9;
    report.token = 7; /* the worker: an answer, or its owner's command, brought it the token */
    assert_int_equal(guests_report(guests, &report, "hand-1", 1100 + HOME_HANG_MS), GUEST_HOME);
    report_t other = {.machine = "m-000002", .session = 1, .seq = 5, .token = 7};
    assert_int_equal(guests_report(guests, &other, "hand-1", 1200 + HOME_HANG_MS), GUEST_HOME);
    assert_int_equal(kept(1200 + HOME_HANG_MS), 0);
}

/* While a part is not loaded, an answer still renews the lease of all that runs there: an outage
 * that began with a commit under way left cancelled tasks running for as long as it lasted. */
static void an_answer_without_the_part_stops_what_is_over(void **state)
{
    (void)state;
    const piece_t pieces[] = {
        {.job = "j-000001", .task = 0, .attempt = 7, .state = PIECE_RUNNING},
        {.job = "j-000002", .task = 1, .attempt = 8, .state = PIECE_SAVING},
        {.job = "j-000002", .task = 2, .attempt = 9, .state = PIECE_EXITED},
        {.job = "j-000002", .task = 3, .attempt = 9, .state = PIECE_FETCHING}};
    report_t report = {.machine = "m-000001", .pieces = g_array_new(FALSE, FALSE, sizeof(piece_t))};
    g_array_append_vals(report.pieces, pieces, G_N_ELEMENTS(pieces));
    GHashTable *live = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(live, (gpointer) "j-000001");
    GArray *calls = g_array_new(FALSE, FALSE, sizeof(call_t));
    guests_stop_gone(&report, live, calls);
    assert_int_equal(calls->len, 2);
    for (guint i = 0; i < calls->len; i++) {
        const call_t *call = &g_array_index(calls, call_t, i);
        assert_int_equal(call->op, CALL_STOP);
        assert_string_equal(call->job, "j-000002");
        assert_true(call->task == 1 || call->task == 3);
        assert_true(call->grace_s == 0); /* one that saves is cut off */
    }
    g_array_unref(calls);
    g_hash_table_unref(live);
    report_clear(&report);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(worker_that_comes_right_back_is_kept, set_up, tear_down),
        cmocka_unit_test_setup_teardown(copies_keep_no_machine_alive, set_up, tear_down),
        cmocka_unit_test_setup_teardown(copy_of_an_earlier_session_is_old, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_scout_goes_home_while_the_others_are_kept, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(one_that_is_turned_away_speaks_for_itself_only, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_view_does_not_send_workers_to_one_that_was_missed, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_copy_from_before_the_view_redirects_nobody, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(an_answer_without_the_part_stops_what_is_over, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("guest", tests, NULL, NULL);
}
