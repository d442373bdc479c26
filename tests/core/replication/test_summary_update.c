/* Tests of summary updates: even if messages are lost, the leader gets the summaries of the
 * partition. */
#include "core/replication/summary_update.h"

#include "unit_test.h"

enum { MACHINES_MAX = 40, ROUNDS = 2000 };

typedef struct fixture {
    summary_sender_t sender;
    summary_replica_t replica;
    GArray *current; /* machine_summary_t, owned: the summaries of the partition */
    msec_t now;
    guint created_count; /* machines created so far */
} fixture_t;

static machine_summary_t summary_of(guint number)
{
    machine_summary_t summary = {.accepts_starts = true, .total = {16, 0, 64}, .free = {16, 0, 64}};
    g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", number);
    g_strlcpy(summary.type, "t16", sizeof summary.type);
    g_strlcpy(summary.zone, "zone-a", sizeof summary.zone);
    return summary;
}

static fixture_t fixture_new(guint machines)
{
    fixture_t fixture = {.current = g_array_new(FALSE, FALSE, sizeof(machine_summary_t)),
                         .now = 1000};
    for (guint i = 0; i < machines; i++) {
        machine_summary_t summary = summary_of(fixture.created_count++);
        g_array_append_val(fixture.current, summary);
    }
    return fixture;
}

static void fixture_clear(fixture_t *fixture)
{
    g_array_unref(fixture->current);
    summary_sender_reset(&fixture->sender);
    summary_replica_clear(&fixture->replica);
}

/* Advances the time by `ms` and the ages in all summaries with it. */
static void advance(fixture_t *fixture, msec_t ms)
{
    fixture->now += ms;
    for (guint i = 0; i < fixture->current->len; i++) {
        machine_summary_t *summary = &g_array_index(fixture->current, machine_summary_t, i);
        summary->known_ms += ms;
        summary->idle_ms = summary->attempts ? 0 : summary->idle_ms + ms;
        summary->silent_ms += summary->accepts_starts ? 0 : ms;
    }
}

static machine_summary_t *machine_at(const fixture_t *fixture, guint position)
{
    return &g_array_index(fixture->current, machine_summary_t, position);
}

static summary_update_t next_update(fixture_t *fixture)
{
    return summary_sender_next(&fixture->sender, g_array_copy(fixture->current), fixture->now);
}

/* Sends the next update. The update or its answer may be lost. Returns the number of summaries in
 * the update. */
static guint exchange(fixture_t *fixture, bool arrives, bool is_answered)
{
    summary_update_t update = next_update(fixture);
    guint count = update.summaries->len;
    if (arrives)
        summary_replica_apply(&fixture->replica, &update, fixture->now);
    if (arrives && is_answered)
        summary_sender_acknowledge(&fixture->sender, fixture->replica.version);
    else
        summary_sender_reset(&fixture->sender);
    summary_update_clear(&update);
    return count;
}

static const machine_summary_t *find_summary(const GArray *summaries, const char *machine)
{
    for (guint i = 0; i < summaries->len; i++) {
        const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        if (strcmp(summary->machine, machine) == 0)
            return summary;
    }
    return NULL;
}

static void assert_replica_is_current(const fixture_t *fixture)
{
    assert_int_equal(fixture->replica.summaries->len, fixture->current->len);
    for (guint i = 0; i < fixture->current->len; i++) {
        const machine_summary_t *summary = machine_at(fixture, i);
        const machine_summary_t *known = find_summary(fixture->replica.summaries, summary->machine);
        assert_non_null(known);
        assert_int_equal(known->accepts_starts, summary->accepts_starts);
        assert_int_equal(known->is_draining, summary->is_draining);
        assert_int_equal(known->attempts, summary->attempts);
        assert_true(known->free.cpus == summary->free.cpus);
        assert_true(known->free.memory == summary->free.memory);
        assert_int_equal(known->known_ms, summary->known_ms);
        if (summary->attempts == 0)
            assert_in_range(known->idle_ms + SUMMARY_IDLE_ERROR_MS, summary->idle_ms,
                            summary->idle_ms + 2 * (msec_t)SUMMARY_IDLE_ERROR_MS);
        if (summary->silent_ms >= SUMMARY_SILENT_MS || known->silent_ms >= SUMMARY_SILENT_MS)
            assert_int_equal(known->silent_ms, summary->silent_ms);
    }
}

static void test_unchanged_summaries_are_not_sent(void **state)
{
    (void)state;
    fixture_t fixture = fixture_new(MACHINES_MAX);
    assert_int_equal(exchange(&fixture, true, true), MACHINES_MAX);
    for (guint i = 0; i < 20; i++) {
        advance(&fixture, 400);
        assert_int_equal(exchange(&fixture, true, true), 0);
        assert_replica_is_current(&fixture);
    }
    machine_at(&fixture, 3)->free.cpus -= 4;
    assert_int_equal(exchange(&fixture, true, true), 1);
    assert_replica_is_current(&fixture);
    fixture_clear(&fixture);
}

/* If a machine repeatedly has short work, its idle time differs each time by less than the error
 * for which a summary is sent. These errors must not accumulate in the leader's idle time. */
static void test_errors_of_idle_times_do_not_accumulate(void **state)
{
    (void)state;
    fixture_t fixture = fixture_new(3);
    exchange(&fixture, true, true);
    for (guint i = 0; i < 50; i++) {
        advance(&fixture, 400);
        machine_at(&fixture, 1)->idle_ms = 0;
        exchange(&fixture, true, true);
        assert_replica_is_current(&fixture);
    }
    fixture_clear(&fixture);
}

/* Whether a machine is terminated depends on how long it has been silent, so a long silence is sent
 * with every update. */
static void test_growing_silence_of_a_machine_is_sent(void **state)
{
    (void)state;
    fixture_t fixture = fixture_new(5);
    exchange(&fixture, true, true);
    machine_at(&fixture, 2)->accepts_starts = false;
    for (guint i = 0; i < 30; i++) {
        advance(&fixture, 700);
        exchange(&fixture, true, true);
        assert_replica_is_current(&fixture);
    }
    machine_at(&fixture, 2)->accepts_starts = true;
    machine_at(&fixture, 2)->silent_ms = 0;
    assert_int_equal(exchange(&fixture, true, true), 1);
    assert_replica_is_current(&fixture);
    fixture_clear(&fixture);
}

static void change_a_random_machine(fixture_t *fixture, GRand *random)
{
    guint kind = (guint)g_rand_int_range(random, 0, 5);
    guint position = (guint)g_rand_int_range(random, 0, MAX((gint)fixture->current->len, 1));
    if (kind == 0 && fixture->current->len < MACHINES_MAX) {
        machine_summary_t summary = summary_of(fixture->created_count++);
        g_array_append_val(fixture->current, summary);
    } else if (kind == 1 && fixture->current->len > 1) {
        g_array_remove_index(fixture->current, position);
    } else if (position < fixture->current->len) {
        machine_summary_t *summary = machine_at(fixture, position);
        summary->accepts_starts = kind != 2;
        summary->silent_ms = 0;
        summary->attempts = (guint)g_rand_int_range(random, 0, 3);
        summary->free.cpus = g_rand_int_range(random, 0, 16);
        summary->idle_ms = 0;
    }
}

/* Messages and answers are lost at random, and delayed messages arrive after newer ones. */
static void test_replica_is_current_despite_losses_and_copies(void **state)
{
    (void)state;
    GRand *random = g_rand_new_with_seed(7);
    fixture_t fixture = fixture_new(10);
    summary_update_t delayed = {0};
    for (guint i = 0; i < ROUNDS; i++) {
        advance(&fixture, g_rand_int_range(random, 50, 1500));
        for (gint changes = g_rand_int_range(random, 0, 4); changes > 0; changes--)
            change_a_random_machine(&fixture, random);
        bool arrives = g_rand_int_range(random, 0, 10) > 0;
        exchange(&fixture, arrives, g_rand_int_range(random, 0, 10) > 0);
        if (delayed.summaries)
            assert_false(summary_replica_apply(&fixture.replica, &delayed, fixture.now));
        summary_update_clear(&delayed);
        if (fixture.replica.summaries && arrives)
            assert_replica_is_current(&fixture);
        if (i % 50 == 0) { /* this update arrives after a newer one */
            delayed = next_update(&fixture);
            summary_sender_reset(&fixture.sender);
            exchange(&fixture, true, true);
        }
    }
    summary_update_clear(&delayed);
    g_rand_free(random);
    fixture_clear(&fixture);
}

/* A leader that has another version does not apply changes, and receives all summaries next. */
static void test_leader_with_another_version_receives_all_summaries(void **state)
{
    (void)state;
    fixture_t fixture = fixture_new(6);
    exchange(&fixture, true, true);
    summary_replica_clear(&fixture.replica); /* as after a new view */
    machine_at(&fixture, 0)->attempts = 1;
    assert_int_equal(exchange(&fixture, true, true), 1);
    assert_null(fixture.replica.summaries);
    assert_int_equal(exchange(&fixture, true, true), 6);
    assert_replica_is_current(&fixture);
    fixture_clear(&fixture);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unchanged_summaries_are_not_sent),
        cmocka_unit_test(test_errors_of_idle_times_do_not_accumulate),
        cmocka_unit_test(test_growing_silence_of_a_machine_is_sent),
        cmocka_unit_test(test_replica_is_current_despite_losses_and_copies),
        cmocka_unit_test(test_leader_with_another_version_receives_all_summaries),
    };
    return cmocka_run_group_tests_name("summary_update", tests, NULL, NULL);
}
