/* Tests that messages between controllers are decoded as they were encoded, and that a truncated
 * message is refused. */
#include "io/peer_protocol.h"
#include "unit_test.h"

static channel_item_t sample_request(void)
{
    char *types[] = {"t16", "t32", NULL};
    channel_item_t item = {.kind = CHANNEL_PLACEMENT_REQUEST,
                           .request = {.job = "j-000001",
                                       .team = "team-a",
                                       .zone = "zone-a",
                                       .need = {2, 1, 11},
                                       .task = 4,
                                       .attempt = 1ULL << 40,
                                       .job_revision = 9,
                                       .may_preempt = true}};
    item.request.types = g_strdupv(types);
    return item;
}

static channel_item_t sample_result(void)
{
    return (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT,
                            .result = {.ref = task_ref("j-000002", 1, 8), .cause = CAUSE_DONE}};
}

static GArray *sample_items(void)
{
    GArray *items = channel_items_new();
    channel_item_t request = sample_request();
    channel_item_t result = sample_result();
    g_array_append_val(items, request);
    g_array_append_val(items, result);
    return items;
}

static GArray *sample_summaries(void)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {
        .machine = "m-1", .type = "t16", .zone = "zone-a", .free = {3, 0, 7}};
    g_array_append_val(summaries, summary);
    return summaries;
}

static job_counts_update_t sample_job_counts(void)
{
    job_counts_t counts = {.job = "j-000003", .done = 4, .outstanding = 100000};
    job_counts_update_t update = {
        .epoch = 6, .version = 1ULL << 33, .jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t))};
    g_array_append_val(update.jobs, counts);
    return update;
}

/* Returns the bytes of a message with two items, a machine summary and the counts of a job. */
static GByteArray *encode_sample(void)
{
    g_auto(peer_message_t) message = {.sender = "controller-1",
                                      .incarnation = 77,
                                      .view_number = 5,
                                      .batch_number = 3,
                                      .acknowledged_batch = 2,
                                      .items = sample_items(),
                                      .summaries.summaries = sample_summaries(),
                                      .job_counts = sample_job_counts()};
    return peer_encode(&message);
}

static void assert_items_are_sample(const GArray *items)
{
    assert_int_equal(items->len, 2);
    const placement_request_t *request = &g_array_index(items, channel_item_t, 0).request;
    assert_string_equal(request->types[1], "t32");
    assert_int_equal(request->attempt, 1ULL << 40);
    assert_true(request->may_preempt);
    assert_int_equal(g_array_index(items, channel_item_t, 1).result.cause, CAUSE_DONE);
}

static void assert_job_counts_are_sample(const job_counts_update_t *update)
{
    assert_true(update->epoch == 6 && update->version == 1ULL << 33);
    assert_int_equal(update->jobs->len, 1);
    const job_counts_t *counts = &g_array_index(update->jobs, job_counts_t, 0);
    assert_string_equal(counts->job, "j-000003");
    assert_true(counts->done == 4 && counts->outstanding == 100000);
}

static void test_message_is_decoded_as_it_was_encoded(void **state)
{
    (void)state;
    g_autoptr(GByteArray) frame = encode_sample();
    assert_non_null(frame);
    g_auto(peer_message_t) decoded = {0};
    assert_true(peer_decode(frame->data, frame->len, &decoded));
    assert_int_equal(decoded.view_number, 5);
    assert_items_are_sample(decoded.items);
    assert_true(g_array_index(decoded.summaries.summaries, machine_summary_t, 0).free.memory > 6.9);
    assert_job_counts_are_sample(&decoded.job_counts);
    peer_message_t truncated;
    assert_false(peer_decode(frame->data, frame->len / 2, &truncated));
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_message_is_decoded_as_it_was_encoded)};
    return cmocka_run_group_tests_name("peer_protocol", tests, NULL, NULL);
}
