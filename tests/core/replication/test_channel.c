/* Tests of the exchange between controllers: lost, repeated and late messages; who owns what. */
#include "core/membership/ownership.h"
#include "core/replication/channel.h"
#include "io/peer_protocol.h"
#include "unit_test.h"

static channel_item_t drain(const char *machine)
{
    channel_item_t item = {.kind = CHANNEL_DRAIN};
    g_strlcpy(item.machine, machine, sizeof item.machine);
    return item;
}

static void test_lost_answer_repeats_the_batch_and_it_counts_once(void **state)
{
    (void)state;
    channel_t *from = channel_new();
    channel_t *to = channel_new();
    channel_push(from, drain("m-1"));
    assert_int_equal(channel_current_batch(from, 10)->len, 1);
    assert_true(channel_accept(to, from->last_sent_batch));
    channel_push(from, drain("m-2")); /* the acknowledgement is lost: the same batch again */
    assert_int_equal(channel_current_batch(from, 10)->len, 1);
    assert_false(channel_accept(to, from->last_sent_batch));
    channel_acknowledge(from, to->last_received_batch);
    assert_int_equal(channel_current_batch(from, 10)->len, 1);
    assert_true(channel_accept(to, from->last_sent_batch));
    channel_free(from);
    channel_free(to);
}

static void test_late_batch_and_late_acknowledgement_change_nothing(void **state)
{
    (void)state;
    channel_t *from = channel_new();
    channel_t *to = channel_new();
    for (int i = 0; i < 3; i++) {
        channel_push(from, drain("m-1"));
        channel_current_batch(from, 10);
        assert_true(channel_accept(to, from->last_sent_batch));
        if (i < 2)
            channel_acknowledge(from, to->last_received_batch);
    }
    assert_false(channel_accept(to, 1));
    channel_acknowledge(from, 1);
    assert_int_equal(channel_current_batch(from, 10)->len, 1);
    assert_int_equal(from->last_sent_batch, 3);
    channel_free(from);
    channel_free(to);
}

static void test_message_survives_its_encoding(void **state)
{
    (void)state;
    char *types[] = {"t16", "t32", NULL};
    peer_message_t message = {.sender = "controller-1",
                              .incarnation = 77,
                              .view_number = 5,
                              .batch_number = 3,
                              .acknowledged_batch = 2};
    message.items = channel_items_new();
    channel_item_t request = {.kind = CHANNEL_PLACEMENT_REQUEST};
    request.request = (placement_request_t){.job = "j-000001",
                                            .team = "team-a",
                                            .zone = "zone-a",
                                            .need = {2, 1, 11},
                                            .task = 4,
                                            .attempt = 1ULL << 40,
                                            .job_revision = 9,
                                            .may_preempt = true};
    request.request.types = g_strdupv(types);
    channel_item_t result = {.kind = CHANNEL_ATTEMPT_RESULT};
    result.result.ref = task_ref("j-000002", 1, 8);
    result.result.cause = CAUSE_DONE;
    g_array_append_val(message.items, request);
    g_array_append_val(message.items, result);
    message.summaries.summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {
        .machine = "m-1", .type = "t16", .zone = "zone-a", .free = {3, 0, 7}};
    g_array_append_val(message.summaries.summaries, summary);
    job_counts_t counts = {.job = "j-000003", .done = 4, .outstanding = 100000};
    message.job_counts = (job_counts_update_t){.epoch = 6, .version = 1ULL << 33};
    message.job_counts.jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t));
    g_array_append_val(message.job_counts.jobs, counts);
    GByteArray *frame = peer_encode(&message);
    assert_non_null(frame);
    peer_message_t decoded;
    assert_true(peer_decode(frame->data, frame->len, &decoded));
    assert_int_equal(decoded.view_number, 5);
    assert_int_equal(decoded.items->len, 2);
    const placement_request_t *got = &g_array_index(decoded.items, channel_item_t, 0).request;
    assert_string_equal(got->types[1], "t32");
    assert_int_equal(got->attempt, 1ULL << 40);
    assert_true(got->may_preempt);
    assert_int_equal(g_array_index(decoded.items, channel_item_t, 1).result.cause, CAUSE_DONE);
    assert_true(g_array_index(decoded.summaries.summaries, machine_summary_t, 0).free.memory > 6.9);
    assert_true(decoded.job_counts.epoch == 6 && decoded.job_counts.version == 1ULL << 33);
    assert_int_equal(decoded.job_counts.jobs->len, 1);
    counts = g_array_index(decoded.job_counts.jobs, job_counts_t, 0);
    assert_string_equal(counts.job, "j-000003");
    assert_true(counts.done == 4 && counts.outstanding == 100000);
    peer_message_t cut_off;
    assert_false(peer_decode(frame->data, frame->len / 2, &cut_off));
    g_byte_array_unref(frame);
    peer_message_clear(&message);
    peer_message_clear(&decoded);
}

static const member_t members[] = {{.name = "controller-0", .zone = "zone-a"},
                                   {.name = "controller-1", .zone = "zone-b"},
                                   {.name = "controller-2", .zone = "zone-a"}};

static void test_workers_stay_in_their_zone(void **state)
{
    (void)state;
    for (int i = 0; i < 50; i++) {
        char machine[ID_BYTES];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        assert_int_equal(owner_of(members, 3, machine, "zone-b"), 1);
        assert_int_not_equal(owner_of(members, 3, machine, "zone-a"), 1);
    }
}

static void test_lost_member_moves_only_its_own_machines(void **state)
{
    (void)state;
    guint moved = 0;
    guint owned = 0;
    for (int i = 0; i < 200; i++) {
        char machine[ID_BYTES];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        guint before = owner_of(members, 3, machine, "zone-d");
        guint after = owner_of(members, 2, machine, "zone-d");
        owned += before == 2;
        moved += before != after;
        assert_true(before == 2 || before == after);
    }
    assert_int_equal(moved, owned);
    assert_true(owned > 30 && owned < 110);
}

static void test_excluded_member_owns_nothing(void **state)
{
    (void)state;
    member_t some[3];
    memcpy(some, members, sizeof some);
    some[1].is_excluded = true;
    for (int i = 0; i < 50; i++) {
        char machine[ID_BYTES];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        assert_int_not_equal(owner_of(some, 3, machine, "zone-b"), 1);
    }
    some[0].is_excluded = some[2].is_excluded = true;
    assert_int_equal(owner_of(some, 3, "m-000001", "zone-b"), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_answer_repeats_the_batch_and_it_counts_once),
        cmocka_unit_test(test_late_batch_and_late_acknowledgement_change_nothing),
        cmocka_unit_test(test_message_survives_its_encoding),
        cmocka_unit_test(test_workers_stay_in_their_zone),
        cmocka_unit_test(test_excluded_member_owns_nothing),
        cmocka_unit_test(test_lost_member_moves_only_its_own_machines),
    };
    return cmocka_run_group_tests_name("channel", tests, NULL, NULL);
}
