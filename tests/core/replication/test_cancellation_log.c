/* Tests of cancellations that users were told of, and of how long workers may be kept alive. */
#include "core/replication/cancellation_log.h"
#include "unit_test.h"

enum { FOLLOWED = 1000 };

typedef struct fixture {
    cancellation_log_t ours;
    cancellation_log_t siblings[2];
    GHashTable *stopped; /* ids that the siblings named */
} fixture_t;

static fixture_t *fixture;

static int set_up(void **state)
{
    (void)state;
    fixture = g_new0(fixture_t, 1);
    cancellation_log_init(&fixture->ours, 10, 100);
    for (guint i = 0; i < 2; i++)
        cancellation_log_init(&fixture->siblings[i], 20 + i, 100);
    fixture->stopped = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    cancellation_log_clear(&fixture->ours);
    for (guint i = 0; i < 2; i++)
        cancellation_log_clear(&fixture->siblings[i]);
    g_hash_table_unref(fixture->stopped);
    g_free(fixture);
    return 0;
}

/* What the sibling would answer now. */
static cancellation_update_t answer(guint sibling, msec_t now)
{
    const cancellation_replica_t *replica = &fixture->ours.siblings[sibling];
    return cancellation_log_update(&fixture->siblings[sibling], replica->incarnation,
                                   replica->last_index, now);
}

static void receive(guint sibling, const cancellation_update_t *update, msec_t asked, msec_t now)
{
    for (guint i = 0; i < update->jobs->len; i++)
        g_hash_table_add(fixture->stopped, g_strdup(g_ptr_array_index(update->jobs, i)));
    cancellation_log_apply(&fixture->ours, sibling, update, asked, now);
}

static void ask(guint sibling, msec_t asked, msec_t now)
{
    cancellation_update_t update = answer(sibling, now);
    receive(sibling, &update, asked, now);
    cancellation_update_clear(&update);
}

static msec_t known(void)
{
    return cancellation_log_complete_until(&fixture->ours, 2, FOLLOWED);
}

/* The gap: the leader alone is refused, a sibling confirms cancellations, then the key-value store
 * is out for all. What the sibling told is known, and so can be stopped, when the leader's moment
 * moves past it; the workers' other work keeps its leases. */
static void test_entries_of_a_sibling_are_known_before_the_moment_moves(void **state)
{
    (void)state;
    ask(0, 900, 910);
    ask(1, 900, 910);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1500);
    assert_int_equal(known(), FOLLOWED);
    ask(1, 2000, 2010);
    assert_int_equal(known(), FOLLOWED);
    ask(0, 2000, 2010);
    assert_true(g_hash_table_contains(fixture->stopped, "j-000001"));
    assert_int_equal(known(), 2000);
}

static void test_a_silent_sibling_stops_the_moment(void **state)
{
    (void)state;
    ask(0, 50000, 50010);
    assert_int_equal(known(), FOLLOWED); /* the other never answered */
    ask(1, 20000, 20010);
    assert_int_equal(known(), 20000);
    assert_int_equal(cancellation_log_complete_until(&fixture->ours, 2, 30000), 30000);
    assert_int_equal(cancellation_log_complete_until(&fixture->ours, 0, FOLLOWED),
                     FOLLOWED); /* there is none */
}

/* A cancellation told while the answer is under way isn't in it. */
static void test_an_answer_counts_from_when_it_was_asked_for(void **state)
{
    (void)state;
    ask(0, 900, 910);
    cancellation_update_t late = answer(0, 3000);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 3500);
    ask(1, 60000, 60010);
    receive(0, &late, 2900, 60000);
    cancellation_update_clear(&late);
    assert_int_equal(known(), 2900);
}

static void test_a_late_or_doubled_answer_takes_nothing_back(void **state)
{
    (void)state;
    ask(1, 9000, 9010);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1500);
    cancellation_update_t first = answer(0, 2000);
    receive(0, &first, 1990, 2000);
    cancellation_log_append(&fixture->siblings[0], "j-000002", 2500);
    ask(0, 3000, 3010);
    receive(0, &first, 1990, 3100);
    cancellation_update_clear(&first);
    assert_int_equal(known(), 3000);
    assert_int_equal(fixture->ours.siblings[0].last_index, 2);
}

/* A sibling that began anew can't say what its earlier incarnation told just before its end: the
 * moment stands until the jobs were followed again. */
static void test_one_that_began_anew_counts_from_a_followed_moment(void **state)
{
    (void)state;
    ask(0, 1200, 1210);
    ask(1, 1200, 1210);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1300); /* not fetched by anyone */
    cancellation_log_clear(&fixture->siblings[0]);
    cancellation_log_init(&fixture->siblings[0], 99, 1400);
    ask(0, 5000, 5010);
    ask(1, 5000, 5010);
    assert_int_equal(known(), FOLLOWED);
    assert_int_equal(cancellation_log_complete_until(&fixture->ours, 2, 1390), 1390);
    assert_int_equal(cancellation_log_complete_until(&fixture->ours, 2, 1500), 5000);
}

/* Its start is reckoned from an age that its own clock tells, and clocks drift apart. */
static void test_the_age_of_a_start_is_uncertain(void **state)
{
    (void)state;
    cancellation_log_clear(&fixture->siblings[0]);
    cancellation_log_init(&fixture->siblings[0], 99, 10000);
    ask(0, 110000, 110000);
    ask(1, 110000, 110000);
    assert_int_equal(cancellation_log_complete_until(&fixture->ours, 2, 10050), 10050);
    assert_int_equal(cancellation_log_complete_until(&fixture->ours, 2, 10200), 110000);
}

/* Three messages' worth: the moment moves with the last of them, not before. */
static void test_a_long_list_comes_in_several_updates(void **state)
{
    (void)state;
    char id[ID_BYTES];
    ask(0, 900, 910);
    ask(1, 9000, 9010);
    for (guint i = 0; i < 2 * CANCELLATION_UPDATE_COUNT + 1; i++) {
        g_snprintf(id, sizeof id, "j-%06u", i);
        cancellation_log_append(&fixture->siblings[0], id, 1500);
    }
    ask(0, 2000, 2010);
    assert_int_equal(known(), FOLLOWED);
    ask(0, 3000, 3010);
    assert_int_equal(known(), FOLLOWED);
    ask(0, 4000, 4010);
    assert_int_equal(known(), 4000);
    assert_int_equal(g_hash_table_size(fixture->stopped), 2 * CANCELLATION_UPDATE_COUNT + 1);
}

/* The list is bounded: one that fell behind it must not take what is left for the whole. */
static void test_an_entry_dropped_before_it_was_fetched_is_a_gap(void **state)
{
    (void)state;
    char id[ID_BYTES];
    ask(0, 900, 910);
    ask(1, 90000, 90010);
    for (guint i = 0; i < CANCELLATION_LOG_COUNT + 1; i++) {
        g_snprintf(id, sizeof id, "j-%06u", i);
        cancellation_log_append(&fixture->siblings[0], id, 2000 + i);
    }
    while (fixture->ours.siblings[0].last_index < CANCELLATION_LOG_COUNT + 1)
        ask(0, 60000, 60010);
    assert_false(g_hash_table_contains(fixture->stopped, "j-000000"));
    assert_int_equal(known(), FOLLOWED);
    assert_int_equal(
        cancellation_log_complete_until(&fixture->ours, 2, 2000 + CANCELLATION_LOG_COUNT + 100),
        60000);
}

/* A status read, a repeated abort: the job is on the list once, at its first telling. */
static void test_a_repeated_cancellation_is_listed_once(void **state)
{
    (void)state;
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1500);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1900);
    cancellation_update_t update = answer(0, 2000);
    assert_int_equal(update.jobs->len, 1);
    assert_int_equal(update.last_index, 1);
    assert_true(update.is_complete);
    cancellation_update_clear(&update);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_entries_of_a_sibling_are_known_before_the_moment_moves,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_silent_sibling_stops_the_moment, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_an_answer_counts_from_when_it_was_asked_for, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_late_or_doubled_answer_takes_nothing_back, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_one_that_began_anew_counts_from_a_followed_moment,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_the_age_of_a_start_is_uncertain, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_long_list_comes_in_several_updates, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_an_entry_dropped_before_it_was_fetched_is_a_gap,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_repeated_cancellation_is_listed_once, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("cancellation_log", tests, NULL, NULL);
}
