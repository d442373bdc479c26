/* Tests of the log of cancellations that users were given as confirmed, and of the moment up to
 * which all of them are known. */
#include "core/replication/cancellation_log.h"
#include "unit_test.h"

/* The moment up to which the watch of jobs/ is complete, unless a test names another. */
enum { JOBS_COMPLETE_UNTIL = 1000 };

typedef struct fixture {
    cancellation_log_t own;
    cancellation_log_t siblings[2];
    GHashTable *stopped; /* set of job ids (char *, owned) that the siblings named */
} fixture_t;

static int set_up(void **state)
{
    fixture_t *fixture = g_new0(fixture_t, 1);
    cancellation_log_init(&fixture->own, 10, 100);
    for (guint i = 0; i < 2; i++)
        cancellation_log_init(&fixture->siblings[i], 20 + i, 100);
    fixture->stopped = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    *state = fixture;
    return 0;
}

static int tear_down(void **state)
{
    fixture_t *fixture = *state;
    cancellation_log_clear(&fixture->own);
    for (guint i = 0; i < 2; i++)
        cancellation_log_clear(&fixture->siblings[i]);
    g_hash_table_unref(fixture->stopped);
    g_free(fixture);
    return 0;
}

/* Replaces the sibling's log by that of a new incarnation. */
static void restart_sibling(fixture_t *fixture, guint sibling, msec_t now)
{
    cancellation_log_clear(&fixture->siblings[sibling]);
    cancellation_log_init(&fixture->siblings[sibling], 99, now);
}

/* Jobs of different ids, confirmed `step_ms` apart. */
static void append_jobs(cancellation_log_t *log, guint count, msec_t from, msec_t step_ms)
{
    char id[ID_BYTES];
    for (guint i = 0; i < count; i++) {
        g_snprintf(id, sizeof id, "j-%06u", i);
        cancellation_log_append(log, id, from + (msec_t)i * step_ms);
    }
}

/* What the sibling would answer to a heartbeat now. */
static cancellation_update_t answer(const fixture_t *fixture, guint sibling, msec_t now)
{
    const cancellation_replica_t *replica = &fixture->own.siblings[sibling];
    return cancellation_log_update(&fixture->siblings[sibling], replica->incarnation,
                                   replica->last_index, now);
}

static void receive(fixture_t *fixture, guint sibling, const cancellation_update_t *update,
                    msec_t sent_at, msec_t now)
{
    for (guint i = 0; i < update->jobs->len; i++)
        g_hash_table_add(fixture->stopped, g_strdup(g_ptr_array_index(update->jobs, i)));
    cancellation_log_apply(&fixture->own, sibling, update, sent_at, now);
}

/* A heartbeat that is sent and answered at once. */
static void exchange(fixture_t *fixture, guint sibling, msec_t sent_at, msec_t now)
{
    cancellation_update_t update = answer(fixture, sibling, now);
    receive(fixture, sibling, &update, sent_at, now);
    cancellation_update_clear(&update);
}

static msec_t complete_until(const fixture_t *fixture)
{
    return cancellation_log_complete_until(&fixture->own, 2, JOBS_COMPLETE_UNTIL);
}

/* The key-value store refuses the leader alone, a sibling confirms a cancellation, then the
 * key-value store refuses all. The cancellation is known, so that the job can be stopped, once the
 * leader's moment moves past it; the workers' other work keeps its leases. */
static void test_entries_of_a_sibling_are_known_before_the_moment_moves(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 900, 910);
    exchange(fixture, 1, 900, 910);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1500);
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    exchange(fixture, 1, 2000, 2010);
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    exchange(fixture, 0, 2000, 2010);
    assert_true(g_hash_table_contains(fixture->stopped, "j-000001"));
    assert_int_equal(complete_until(fixture), 2000);
}

static void test_a_silent_sibling_stops_the_moment(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 50000, 50010);
    /* The other sibling has not answered. */
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    exchange(fixture, 1, 20000, 20010);
    assert_int_equal(complete_until(fixture), 20000);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 30000), 30000);
    /* Without siblings the watch alone counts. */
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 0, JOBS_COMPLETE_UNTIL),
                     JOBS_COMPLETE_UNTIL);
}

/* A cancellation that is confirmed while the answer is on its way is not in it. */
static void test_an_answer_counts_from_when_its_request_was_sent(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 900, 910);
    cancellation_update_t late = answer(fixture, 0, 3000);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 3500);
    exchange(fixture, 1, 60000, 60010);
    receive(fixture, 0, &late, 2900, 60000);
    cancellation_update_clear(&late);
    assert_int_equal(complete_until(fixture), 2900);
}

static void test_a_late_or_doubled_answer_takes_nothing_back(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 1, 9000, 9010);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1500);
    cancellation_update_t first = answer(fixture, 0, 2000);
    receive(fixture, 0, &first, 1990, 2000);
    cancellation_log_append(&fixture->siblings[0], "j-000002", 2500);
    exchange(fixture, 0, 3000, 3010);
    receive(fixture, 0, &first, 1990, 3100);
    cancellation_update_clear(&first);
    assert_int_equal(complete_until(fixture), 3000);
    assert_int_equal(fixture->own.siblings[0].last_index, 2);
}

/* A restarted sibling does not know what its earlier incarnation confirmed last: the moment does
 * not move until the watch of jobs/ has passed the restart. */
static void test_one_that_began_anew_counts_from_a_followed_moment(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 1200, 1210);
    exchange(fixture, 1, 1200, 1210);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1300); /* never fetched */
    restart_sibling(fixture, 0, 1400);
    exchange(fixture, 0, 5000, 5010);
    exchange(fixture, 1, 5000, 5010);
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 1390), 1390);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 1500), 5000);
}

/* The start of a sibling is worked out from an age by its own clock, and clocks drift apart. */
static void test_the_age_of_a_start_is_uncertain(void **state)
{
    fixture_t *fixture = *state;
    restart_sibling(fixture, 0, 10000);
    exchange(fixture, 0, 110000, 110000);
    exchange(fixture, 1, 110000, 110000);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 10050), 10050);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 10200), 110000);
}

/* Entries for three messages: the moment moves with the last message, not before. */
static void test_a_long_list_comes_in_several_updates(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 900, 910);
    exchange(fixture, 1, 9000, 9010);
    append_jobs(&fixture->siblings[0], 2 * CANCELLATION_UPDATE_COUNT + 1, 1500, 0);
    exchange(fixture, 0, 2000, 2010);
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    exchange(fixture, 0, 3000, 3010);
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    exchange(fixture, 0, 4000, 4010);
    assert_int_equal(complete_until(fixture), 4000);
    assert_int_equal(g_hash_table_size(fixture->stopped), 2 * CANCELLATION_UPDATE_COUNT + 1);
}

/* A log is bounded: a replica that fell behind must not count what is left as complete. */
static void test_an_entry_dropped_before_it_was_fetched_is_a_gap(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 900, 910);
    exchange(fixture, 1, 90000, 90010);
    append_jobs(&fixture->siblings[0], CANCELLATION_LOG_COUNT + 1, 2000, 1);
    while (fixture->own.siblings[0].last_index < CANCELLATION_LOG_COUNT + 1)
        exchange(fixture, 0, 60000, 60010);
    assert_false(g_hash_table_contains(fixture->stopped, "j-000000"));
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    assert_int_equal(
        cancellation_log_complete_until(&fixture->own, 2, 2000 + CANCELLATION_LOG_COUNT + 100),
        60000);
}

/* As by a status read or a repeated abort: the job is listed once, when it was first confirmed. */
static void test_a_repeated_cancellation_is_listed_once(void **state)
{
    fixture_t *fixture = *state;
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1500);
    cancellation_log_append(&fixture->siblings[0], "j-000001", 1900);
    cancellation_update_t update = answer(fixture, 0, 2000);
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
        cmocka_unit_test_setup_teardown(test_an_answer_counts_from_when_its_request_was_sent,
                                        set_up, tear_down),
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
