/* Tests of channels: batches are accepted once and in order, even if messages are lost, repeated or
 * late. */
#include "core/replication/channel.h"
#include "unit_test.h"

enum { BATCH_COUNT = 10 };

/* Both endpoints of one channel. */
typedef struct fixture {
    channel_t *leader;
    channel_t *partition;
} fixture_t;

static int set_up(void **state)
{
    fixture_t *fixture = g_new(fixture_t, 1);
    *fixture = (fixture_t){.leader = channel_new(), .partition = channel_new()};
    *state = fixture;
    return 0;
}

static int tear_down(void **state)
{
    fixture_t *fixture = *state;
    channel_free(fixture->leader);
    channel_free(fixture->partition);
    g_free(fixture);
    return 0;
}

static void push_drain(channel_t *channel, const char *machine)
{
    channel_item_t item = {.kind = CHANNEL_DRAIN};
    g_strlcpy(item.machine, machine, sizeof item.machine);
    channel_push(channel, item);
}

static void test_batch_with_lost_acknowledgement_is_repeated_and_accepted_once(void **state)
{
    const fixture_t *fixture = *state;
    channel_t *from = fixture->leader;
    channel_t *to = fixture->partition;
    push_drain(from, "m-1");
    assert_int_equal(channel_current_batch(from, BATCH_COUNT)->len, 1);
    assert_true(channel_accept(to, from->last_sent_batch));

    /* The acknowledgement is lost: the same batch is sent again. */
    push_drain(from, "m-2");
    assert_int_equal(channel_current_batch(from, BATCH_COUNT)->len, 1);
    assert_false(channel_accept(to, from->last_sent_batch));

    channel_acknowledge(from, to->last_received_batch);
    assert_int_equal(channel_current_batch(from, BATCH_COUNT)->len, 1);
    assert_true(channel_accept(to, from->last_sent_batch));
}

static void test_late_batch_and_late_acknowledgement_are_ignored(void **state)
{
    const fixture_t *fixture = *state;
    channel_t *from = fixture->leader;
    channel_t *to = fixture->partition;
    for (int i = 0; i < 3; i++) {
        push_drain(from, "m-1");
        channel_current_batch(from, BATCH_COUNT);
        assert_true(channel_accept(to, from->last_sent_batch));
        if (i < 2)
            channel_acknowledge(from, to->last_received_batch);
    }

    assert_false(channel_accept(to, 1));
    channel_acknowledge(from, 1);

    assert_int_equal(channel_current_batch(from, BATCH_COUNT)->len, 1);
    assert_int_equal(from->last_sent_batch, 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_batch_with_lost_acknowledgement_is_repeated_and_accepted_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_late_batch_and_late_acknowledgement_are_ignored,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("channel", tests, NULL, NULL);
}
