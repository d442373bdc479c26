/* Tests of the log of cancellations that were confirmed to users, and of the time up to which all
 * of them are known ("complete until"). */
#include "core/replication/cancellation_log.h"
#include "unit_test.h"

/* The time up to which the watch of jobs/ is complete, unless a test uses another. */
enum { JOBS_COMPLETE_UNTIL = 1000 };

typedef struct fixture {
    cancellation_log_t own;
    cancellation_log_t siblings[2];
    GHashTable *stopped; /* set of job ids (char *, owned) from the siblings' updates */
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

/* Replaces the sibling's log with that of a new incarnation. */
static void restart_sibling(fixture_t *fixture, guint sibling, msec_t now)
{
    cancellation_log_clear(&fixture->siblings[sibling]);
    cancellation_log_init(&fixture->siblings[sibling], 99, now);
}

/* Appends `count` jobs with different ids, confirmed `step_ms` apart. */
static void append_jobs(cancellation_log_t *log, guint count, msec_t from, msec_t step_ms)
{
    char id[ID_BYTES];
    for (guint i = 0; i < count; i++) {
        g_snprintf(id, sizeof id, "j-%06u", i);
        cancellation_log_append(log, id, from + (msec_t)i * step_ms);
    }
}

/* Returns the update with which the sibling would answer a heartbeat now. */
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

/* Exchanges a heartbeat sent at `sent_at` and its answer, made and received at `now`. */
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

/* The key-value store refuses only the leader, a sibling confirms a cancellation, and then the
 * key-value store refuses all controllers. "Complete until" may advance past the cancellation only
 * once the leader knows it, so that the leader can stop the job while it goes on renewing the
 * workers' leases. */
static void test_cancellations_are_known_before_complete_until_advances(void **state)
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

static void test_sibling_without_answers_stops_complete_until(void **state)
{
    fixture_t *fixture = *state;
    exchange(fixture, 0, 50000, 50010);
    /* The other sibling has not answered. */
    assert_int_equal(complete_until(fixture), JOBS_COMPLETE_UNTIL);
    exchange(fixture, 1, 20000, 20010);
    assert_int_equal(complete_until(fixture), 20000);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 30000), 30000);
    /* Without siblings, only the watch counts. */
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 0, JOBS_COMPLETE_UNTIL),
                     JOBS_COMPLETE_UNTIL);
}

/* A cancellation confirmed while an answer is in transit is not in that answer. */
static void test_answer_counts_from_the_time_its_request_was_sent(void **state)
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

static void test_late_or_repeated_answer_reverts_nothing(void **state)
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

/* A restarted sibling does not know what its earlier incarnation confirmed last. "Complete until"
 * must not advance from its answers until the watch of jobs/ is complete up to the restart. */
static void test_restarted_sibling_counts_after_the_watch_passes_the_restart(void **state)
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

/* The start time of a sibling is computed from an age that its own clock measured. Clocks drift
 * apart, so the computed time has to be late enough. */
static void test_start_time_of_a_sibling_allows_for_clock_drift(void **state)
{
    fixture_t *fixture = *state;
    restart_sibling(fixture, 0, 10000);
    exchange(fixture, 0, 110000, 110000);
    exchange(fixture, 1, 110000, 110000);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 10050), 10050);
    assert_int_equal(cancellation_log_complete_until(&fixture->own, 2, 10200), 110000);
}

/* The entries need three messages. "Complete until" advances only with the last one. */
static void test_long_log_is_sent_in_several_updates(void **state)
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

/* The log is bounded. A replica that has fallen behind must not treat the remaining entries as
 * complete. */
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

/* A status read or a repeated abort confirms a cancellation again. The job stays listed once, at
 * its first confirmation. */
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
        cmocka_unit_test_setup_teardown(test_cancellations_are_known_before_complete_until_advances,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_sibling_without_answers_stops_complete_until, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_answer_counts_from_the_time_its_request_was_sent,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_late_or_repeated_answer_reverts_nothing, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_restarted_sibling_counts_after_the_watch_passes_the_restart, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_start_time_of_a_sibling_allows_for_clock_drift, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_long_log_is_sent_in_several_updates, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_an_entry_dropped_before_it_was_fetched_is_a_gap,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_repeated_cancellation_is_listed_once, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("cancellation_log", tests, NULL, NULL);
}
