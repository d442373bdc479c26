/* Stories of cancellations that users were told of, and of how long workers may be kept alive. */
#include "core/cancelled.h"
#include "story.h"

enum { FOLLOWED = 1000 };

typedef struct {
    cancelled_t ours;
    cancelled_t siblings[2];
    GHashTable *stopped; /* ids that the siblings named */
} stage_t;

static stage_t *stage;

static int set_up(void **state)
{
    (void)state;
    stage = g_new0(stage_t, 1);
    cancelled_init(&stage->ours, 10, 100);
    for (guint i = 0; i < 2; i++)
        cancelled_init(&stage->siblings[i], 20 + i, 100);
    stage->stopped = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    cancelled_clear(&stage->ours);
    for (guint i = 0; i < 2; i++)
        cancelled_clear(&stage->siblings[i]);
    g_hash_table_unref(stage->stopped);
    g_free(stage);
    return 0;
}

/* What the sibling would answer now. */
static notice_t answer(guint sibling, msec_t now)
{
    const teller_t *teller = &stage->ours.siblings[sibling];
    return cancelled_notice(&stage->siblings[sibling], teller->incarnation, teller->through, now);
}

static void hear(guint sibling, const notice_t *notice, msec_t asked, msec_t now)
{
    for (guint i = 0; i < notice->jobs->len; i++)
        g_hash_table_add(stage->stopped, g_strdup(g_ptr_array_index(notice->jobs, i)));
    cancelled_hear(&stage->ours, sibling, notice, asked, now);
}

static void ask(guint sibling, msec_t asked, msec_t now)
{
    notice_t notice = answer(sibling, now);
    hear(sibling, &notice, asked, now);
    notice_clear(&notice);
}

static msec_t known(void)
{
    return cancelled_known(&stage->ours, 2, FOLLOWED);
}

/* The gap: the leader alone is refused, a sibling confirms cancellations, then the state service is
 * out for all. What the sibling told is known, and so can be stopped, when the leader's moment
 * moves past it; the workers' other work keeps its leases. */
static void what_a_sibling_told_is_known_before_the_moment_moves(void **state)
{
    (void)state;
    ask(0, 900, 910);
    ask(1, 900, 910);
    cancelled_tell(&stage->siblings[0], "j-000001", 1500);
    assert_int_equal(known(), FOLLOWED);
    ask(1, 2000, 2010);
    assert_int_equal(known(), FOLLOWED);
    ask(0, 2000, 2010);
    assert_true(g_hash_table_contains(stage->stopped, "j-000001"));
    assert_int_equal(known(), 2000);
}

static void one_that_is_not_heard_stops_the_moment(void **state)
{
    (void)state;
    ask(0, 50000, 50010);
    assert_int_equal(known(), FOLLOWED); /* the other never answered */
    ask(1, 20000, 20010);
    assert_int_equal(known(), 20000);
    assert_int_equal(cancelled_known(&stage->ours, 2, 30000), 30000);
    assert_int_equal(cancelled_known(&stage->ours, 0, FOLLOWED), FOLLOWED); /* there is none */
}

/* A cancellation told while the answer is under way isn't in it. */
static void an_answer_counts_from_when_it_was_asked_for(void **state)
{
    (void)state;
    ask(0, 900, 910);
    notice_t late = answer(0, 3000);
    cancelled_tell(&stage->siblings[0], "j-000001", 3500);
    ask(1, 60000, 60010);
    hear(0, &late, 2900, 60000);
    notice_clear(&late);
    assert_int_equal(known(), 2900);
}

static void a_late_or_doubled_answer_takes_nothing_back(void **state)
{
    (void)state;
    ask(1, 9000, 9010);
    cancelled_tell(&stage->siblings[0], "j-000001", 1500);
    notice_t first = answer(0, 2000);
    hear(0, &first, 1990, 2000);
    cancelled_tell(&stage->siblings[0], "j-000002", 2500);
    ask(0, 3000, 3010);
    hear(0, &first, 1990, 3100);
    notice_clear(&first);
    assert_int_equal(known(), 3000);
    assert_int_equal(stage->ours.siblings[0].through, 2);
}

/* A sibling that began anew can't say what its earlier incarnation told just before its end: the
 * moment stands until the jobs were followed again. */
static void one_that_began_anew_counts_from_a_followed_moment(void **state)
{
    (void)state;
    ask(0, 1200, 1210);
    ask(1, 1200, 1210);
    cancelled_tell(&stage->siblings[0], "j-000001", 1300); /* not fetched by anyone */
    cancelled_clear(&stage->siblings[0]);
    cancelled_init(&stage->siblings[0], 99, 1400);
    ask(0, 5000, 5010);
    ask(1, 5000, 5010);
    assert_int_equal(known(), FOLLOWED);
    assert_int_equal(cancelled_known(&stage->ours, 2, 1390), 1390);
    assert_int_equal(cancelled_known(&stage->ours, 2, 1500), 5000);
}

/* Its start is reckoned from an age that its own clock tells, and clocks drift apart. */
static void the_age_of_a_start_is_uncertain(void **state)
{
    (void)state;
    cancelled_clear(&stage->siblings[0]);
    cancelled_init(&stage->siblings[0], 99, 10000);
    ask(0, 110000, 110000);
    ask(1, 110000, 110000);
    assert_int_equal(cancelled_known(&stage->ours, 2, 10050), 10050);
    assert_int_equal(cancelled_known(&stage->ours, 2, 10200), 110000);
}

/* Three messages' worth: the moment moves with the last of them, not before. */
static void a_long_list_comes_in_parts(void **state)
{
    (void)state;
    char id[ID_SIZE];
    ask(0, 900, 910);
    ask(1, 9000, 9010);
    for (guint i = 0; i < 2 * NOTICE_JOBS + 1; i++) {
        g_snprintf(id, sizeof id, "j-%06u", i);
        cancelled_tell(&stage->siblings[0], id, 1500);
    }
    ask(0, 2000, 2010);
    assert_int_equal(known(), FOLLOWED);
    ask(0, 3000, 3010);
    assert_int_equal(known(), FOLLOWED);
    ask(0, 4000, 4010);
    assert_int_equal(known(), 4000);
    assert_int_equal(g_hash_table_size(stage->stopped), 2 * NOTICE_JOBS + 1);
}

/* The list is bounded: one that fell behind it must not take what is left for the whole. */
static void what_was_dropped_unheard_is_a_gap(void **state)
{
    (void)state;
    char id[ID_SIZE];
    ask(0, 900, 910);
    ask(1, 90000, 90010);
    for (guint i = 0; i < CANCELLED_KEPT + 1; i++) {
        g_snprintf(id, sizeof id, "j-%06u", i);
        cancelled_tell(&stage->siblings[0], id, 2000 + i);
    }
    while (stage->ours.siblings[0].through < CANCELLED_KEPT + 1)
        ask(0, 60000, 60010);
    assert_false(g_hash_table_contains(stage->stopped, "j-000000"));
    assert_int_equal(known(), FOLLOWED);
    assert_int_equal(cancelled_known(&stage->ours, 2, 2000 + CANCELLED_KEPT + 100), 60000);
}

/* A status read, a repeated abort: the job is on the list once, at its first telling. */
static void a_repeated_telling_is_listed_once(void **state)
{
    (void)state;
    cancelled_tell(&stage->siblings[0], "j-000001", 1500);
    cancelled_tell(&stage->siblings[0], "j-000001", 1900);
    notice_t notice = answer(0, 2000);
    assert_int_equal(notice.jobs->len, 1);
    assert_int_equal(notice.through, 1);
    assert_true(notice.whole);
    notice_clear(&notice);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(what_a_sibling_told_is_known_before_the_moment_moves,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(one_that_is_not_heard_stops_the_moment, set_up, tear_down),
        cmocka_unit_test_setup_teardown(an_answer_counts_from_when_it_was_asked_for, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(a_late_or_doubled_answer_takes_nothing_back, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(one_that_began_anew_counts_from_a_followed_moment, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(the_age_of_a_start_is_uncertain, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_long_list_comes_in_parts, set_up, tear_down),
        cmocka_unit_test_setup_teardown(what_was_dropped_unheard_is_a_gap, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_repeated_telling_is_listed_once, set_up, tear_down),
    };
    return cmocka_run_group_tests_name("cancelled", tests, NULL, NULL);
}
