/* Tests that the view and the messages between controllers, as XDR and as values in the key-value
 * store, are encoded to exactly the bytes of the files in tests/samples, and that these files are
 * decoded correctly. Both must hold because controllers of the old and the new version run side by
 * side during an update. */
#include "io/codec/codec.h"
#include "io/peer_protocol.h"
#include "io/relay.h"
#include "sample_files.h"

enum { RELAY_VALUE_BYTES = 700, RELAYED_BYTES = 600, RANDOM_BYTES = 400 };

/* The sample message for each kind of item. The message with placement requests has two items: a
 * request for some machine types and one for any type. */
static const char *const item_samples[] = {[CHANNEL_PLACEMENT_REQUEST] =
                                               "peer_placement_request.hex",
                                           [CHANNEL_ACKNOWLEDGE] = "peer_acknowledge.hex",
                                           [CHANNEL_WITHDRAW] = "peer_withdraw.hex",
                                           [CHANNEL_DRAIN] = "peer_drain.hex",
                                           [CHANNEL_MACHINE_TERMINATED] = "peer_machine_gone.hex",
                                           [CHANNEL_CANCEL_DRAIN] = "peer_cancel_drain.hex",
                                           [CHANNEL_ATTEMPT_RESULT] = "peer_attempt_result.hex"};

/* Returns a message without lists. */
static peer_message_t sample_message(void)
{
    return (peer_message_t){.sender = "node-2",
                            .incarnation = 1700000000456,
                            .view_number = 41,
                            .batch_number = 42,
                            .acknowledged_batch = 43,
                            .kv_answer_age_ms = 44,
                            .answer_delay_ms = 45,
                            .worker_heartbeat_age_ms = 46,
                            .is_heartbeat = true,
                            .known_log_incarnation = 47,
                            .known_log_index = 48,
                            .cancellations = {.after_index = 49,
                                              .last_index = 50,
                                              .is_complete = true,
                                              .complete_since_age_ms = -51},
                            .job_counts = {.epoch = 52, .version = 53},
                            .summaries = {.base = 54, .version = 55}};
}

static channel_item_t sample_request(bool any_type)
{
    channel_item_t item = {.kind = CHANNEL_PLACEMENT_REQUEST,
                           .request = {.job = "j-000412",
                                       .team = "vision",
                                       .image = "img-07",
                                       .zone = "north",
                                       .need = {8.5, 1, 64},
                                       .may_use_spot = true,
                                       .is_gang = any_type,
                                       .priority = PRIORITY_HIGH,
                                       .save_s = 4,
                                       .checkpoint_s = 30,
                                       .job_revision = 61,
                                       .may_preempt = true,
                                       .claims_guarantee = !any_type,
                                       .preemptible_teams = 1ULL << 63 | 5,
                                       .task = 3,
                                       .attempt = 1ULL << 40}};
    if (!any_type)
        item.request.types = g_strsplit("g8 g4", " ", 0);
    return item;
}

static channel_item_t sample_item(channel_item_kind_t kind)
{
    channel_item_t item = {.kind = kind};
    if (kind == CHANNEL_PLACEMENT_REQUEST)
        return sample_request(false);
    if (kind == CHANNEL_ATTEMPT_RESULT)
        item.result = (attempt_result_t){{"j-000398", 5, 6}, CAUSE_GANG_PEER_ENDED, "m-000007"};
    else if (kind == CHANNEL_ACKNOWLEDGE || kind == CHANNEL_WITHDRAW)
        item.ref = (task_ref_t){"j-000397", 7, 8};
    else
        g_strlcpy(item.machine, "m-000009", sizeof item.machine);
    return item;
}

/* Checks that the message encodes to the sample, and frees what the message owns. */
static void assert_message_is_sample(const char *name, peer_message_t message)
{
    GByteArray *frame = peer_encode(&message);
    assert_non_null(frame);
    assert_bytes_are_sample(name, frame);
    g_byte_array_unref(frame);
    peer_message_clear(&message);
}

static peer_message_t read_message_sample(const char *name)
{
    peer_message_t message;
    GByteArray *frame = read_hex_sample(name);
    if (!peer_decode(frame->data, frame->len, &message))
        fail_msg("sample %s cannot be decoded", name);
    g_byte_array_unref(frame);
    return message;
}

static void test_each_kind_of_item_encodes_to_its_sample(void **state)
{
    (void)state;
    for (guint kind = 0; kind < G_N_ELEMENTS(item_samples); kind++) {
        peer_message_t message = sample_message();
        message.items = channel_items_new();
        channel_item_t item = sample_item((channel_item_kind_t)kind);
        g_array_append_val(message.items, item);
        if (kind == CHANNEL_PLACEMENT_REQUEST) {
            item = sample_request(true);
            g_array_append_val(message.items, item);
        }
        assert_message_is_sample(item_samples[kind], message);
    }
}

static void test_placement_request_sample_is_decoded(void **state)
{
    (void)state;
    peer_message_t message = read_message_sample(item_samples[CHANNEL_PLACEMENT_REQUEST]);
    assert_int_equal(message.items->len, 2);
    const channel_item_t *items = &g_array_index(message.items, channel_item_t, 0);
    const placement_request_t *request = &items[0].request;
    assert_int_equal(items[0].kind, CHANNEL_PLACEMENT_REQUEST);
    assert_string_equal(request->job, "j-000412");
    assert_string_equal(request->team, "vision");
    assert_string_equal(request->image, "img-07");
    assert_string_equal(request->zone, "north");
    assert_string_equal(request->types[0], "g8");
    assert_string_equal(request->types[1], "g4");
    assert_null(request->types[2]);
    assert_null(items[1].request.types);
    assert_true(request->need.cpus == 8.5 && request->need.gpus == 1 && request->need.memory == 64);
    assert_true(request->may_use_spot && !request->is_gang && items[1].request.is_gang);
    assert_int_equal(request->priority, PRIORITY_HIGH);
    assert_true(request->save_s == 4 && request->checkpoint_s == 30);
    assert_int_equal(request->job_revision, 61);
    assert_true(request->may_preempt && request->claims_guarantee);
    assert_false(items[1].request.claims_guarantee);
    assert_true(request->preemptible_teams == (1ULL << 63 | 5));
    assert_int_equal(request->task, 3);
    assert_true(request->attempt == 1ULL << 40);
    peer_message_clear(&message);
}

static void test_samples_of_other_items_are_decoded(void **state)
{
    (void)state;
    for (guint kind = CHANNEL_ACKNOWLEDGE; kind < G_N_ELEMENTS(item_samples); kind++) {
        channel_item_t expected = sample_item((channel_item_kind_t)kind);
        peer_message_t message = read_message_sample(item_samples[kind]);
        assert_int_equal(message.items->len, 1);
        const channel_item_t *item = &g_array_index(message.items, channel_item_t, 0);
        assert_int_equal(item->kind, kind);
        assert_string_equal(item->machine, expected.machine);
        assert_string_equal(item->ref.job, expected.ref.job);
        assert_int_equal(item->ref.task, expected.ref.task);
        assert_int_equal(item->ref.attempt, expected.ref.attempt);
        assert_string_equal(item->result.ref.job, expected.result.ref.job);
        assert_int_equal(item->result.ref.task, expected.result.ref.task);
        assert_int_equal(item->result.ref.attempt, expected.result.ref.attempt);
        assert_int_equal(item->result.cause, expected.result.cause);
        assert_string_equal(item->result.machine, expected.result.machine);
        peer_message_clear(&message);
    }
}

static void test_heartbeat_encodes_to_its_sample(void **state)
{
    (void)state;
    const job_counts_t counts[] = {{"j-000412", 7, 5}, {"j-000398", 8, 6}};
    peer_message_t message = sample_message();
    message.cancellations.jobs = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(message.cancellations.jobs, g_strdup("j-000395"));
    g_ptr_array_add(message.cancellations.jobs, g_strdup("j-000396"));
    message.job_counts.jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t));
    g_array_append_vals(message.job_counts.jobs, counts, G_N_ELEMENTS(counts));
    assert_message_is_sample("peer_heartbeat.hex", message);
}

static void test_heartbeat_sample_is_decoded(void **state)
{
    (void)state;
    peer_message_t message = read_message_sample("peer_heartbeat.hex");
    assert_string_equal(message.sender, "node-2");
    assert_true(message.incarnation == 1700000000456 && message.is_heartbeat);
    assert_int_equal(message.view_number, 41);
    assert_int_equal(message.batch_number, 42);
    assert_int_equal(message.acknowledged_batch, 43);
    assert_int_equal(message.kv_answer_age_ms, 44);
    assert_int_equal(message.answer_delay_ms, 45);
    assert_int_equal(message.worker_heartbeat_age_ms, 46);
    assert_int_equal(message.known_log_incarnation, 47);
    assert_int_equal(message.known_log_index, 48);
    assert_true(message.cancellations.incarnation == message.incarnation);
    assert_int_equal(message.cancellations.after_index, 49);
    assert_int_equal(message.cancellations.last_index, 50);
    assert_true(message.cancellations.is_complete &&
                message.cancellations.complete_since_age_ms == -51);
    assert_int_equal(message.cancellations.jobs->len, 2);
    assert_string_equal(g_ptr_array_index(message.cancellations.jobs, 1), "j-000396");
    assert_int_equal(message.job_counts.epoch, 52);
    assert_int_equal(message.job_counts.version, 53);
    assert_int_equal(message.job_counts.jobs->len, 2);
    const job_counts_t *counts = &g_array_index(message.job_counts.jobs, job_counts_t, 0);
    assert_string_equal(counts[0].job, "j-000412");
    assert_int_equal(counts[0].done, 7);
    assert_int_equal(counts[0].outstanding, 5);
    assert_null(message.summaries.summaries);
    peer_message_clear(&message);
}

static void test_machine_summaries_encode_to_their_sample(void **state)
{
    (void)state;
    const double cpus_being_preempted[] = {2.5, 0.75};
    const machine_summary_t summaries[] = {{"m-000001",
                                            "g8",
                                            "north",
                                            true,
                                            false,
                                            true,
                                            0,
                                            {8.5, 1, 64},
                                            {4.5, 0.5, 32},
                                            3,
                                            71,
                                            72,
                                            73},
                                           {"m-000002",
                                            "c16",
                                            "south",
                                            false,
                                            true,
                                            false,
                                            0,
                                            {16, 0, 128},
                                            {15, 0, 96},
                                            4,
                                            74,
                                            75,
                                            76}};
    peer_message_t message = sample_message();
    message.summaries.summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    g_array_append_vals(message.summaries.summaries, summaries, G_N_ELEMENTS(summaries));
    message.summaries.terminated = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(message.summaries.terminated, g_strdup("m-000003"));
    message.cpus_being_preempted = g_array_new(FALSE, FALSE, sizeof(double));
    g_array_append_vals(message.cpus_being_preempted, cpus_being_preempted,
                        G_N_ELEMENTS(cpus_being_preempted));
    assert_message_is_sample("peer_summaries.hex", message);
}

static void test_machine_summaries_sample_is_decoded(void **state)
{
    (void)state;
    peer_message_t message = read_message_sample("peer_summaries.hex");
    assert_int_equal(message.summaries.base, 54);
    assert_int_equal(message.summaries.version, 55);
    assert_int_equal(message.summaries.summaries->len, 2);
    const machine_summary_t *summaries =
        &g_array_index(message.summaries.summaries, machine_summary_t, 0);
    assert_string_equal(summaries[0].machine, "m-000001");
    assert_string_equal(summaries[0].type, "g8");
    assert_string_equal(summaries[0].zone, "north");
    assert_true(summaries[0].is_spot && !summaries[0].accepts_starts && summaries[0].is_draining);
    assert_true(!summaries[1].is_spot && summaries[1].accepts_starts && !summaries[1].is_draining);
    assert_true(summaries[0].total.cpus == 8.5 && summaries[0].free.cpus == 4.5);
    assert_true(summaries[0].total.gpus == 1 && summaries[0].free.gpus == 0.5);
    assert_true(summaries[0].total.memory == 64 && summaries[0].free.memory == 32);
    assert_int_equal(summaries[0].attempts, 3);
    assert_int_equal(summaries[0].silent_ms, 71);
    assert_int_equal(summaries[0].idle_ms, 72);
    assert_int_equal(summaries[0].known_ms, 73);
    assert_int_equal(message.summaries.terminated->len, 1);
    assert_string_equal(g_ptr_array_index(message.summaries.terminated, 0), "m-000003");
    assert_int_equal(message.cpus_being_preempted->len, 2);
    assert_true(g_array_index(message.cpus_being_preempted, double, 1) == 0.75);
    peer_message_clear(&message);
}

/* Returns a frame of pseudorandom bytes, which compression hardly shortens, followed by a copy of
 * the first of these bytes. */
static GByteArray *relayed_frame(void)
{
    GByteArray *frame = g_byte_array_new();
    guint32 number = 1;
    for (guint i = 0; i < RELAYED_BYTES; i++) {
        number = number * 1664525U + 1013904223U;
        guint8 byte = i < RANDOM_BYTES ? (guint8)(number >> 24) : frame->data[i - RANDOM_BYTES];
        g_byte_array_append(frame, &byte, 1);
    }
    return frame;
}

/* The sample has the bytes that zlib 1.2.13 produces. With a version of zlib that compresses
 * differently, this test fails although nothing is wrong, because every version can decompress what
 * any other version has written. */
static void test_relayed_message_encodes_to_its_sample(void **state)
{
    (void)state;
    GByteArray *frame = relayed_frame();
    kv_txn_t txn = kv_txn_new();
    assert_int_equal(relay_write(&txn, "node-1", "node-2", frame, RELAY_VALUE_BYTES), 4);
    assert_int_equal(json_array_size(txn.conditions), 0);
    assert_json_is_sample("relay.json", json_incref(txn.changes));
    kv_txn_free(&txn);
    g_byte_array_unref(frame);
}

static void test_relayed_message_sample_is_decoded(void **state)
{
    (void)state;
    GArray *entries = kv_entries_new();
    GByteArray *frame = relayed_frame();
    json_t *changes = read_json_sample("relay.json");
    for (size_t i = 0; i < json_array_size(changes); i++) {
        const json_t *change = json_array_get(changes, i);
        kv_entry_t entry = {g_strdup(json_string_value(json_object_get(change, "Set"))),
                            json_incref(json_object_get(change, "Value")), 81};
        g_array_append_val(entries, entry);
    }
    GArray *messages = relay_read(entries, "node-1");
    assert_int_equal(messages->len, 1);
    const relay_message_t *relayed = &g_array_index(messages, relay_message_t, 0);
    assert_string_equal(relayed->name, "node-2");
    assert_int_equal(relayed->revision, 81);
    assert_int_equal(relayed->frame->len, RELAYED_BYTES);
    assert_memory_equal(relayed->frame->data, frame->data, RELAYED_BYTES);
    g_array_unref(messages);
    g_array_unref(entries);
    g_byte_array_unref(frame);
    json_decref(changes);
}

static void test_view_encodes_to_its_sample(void **state)
{
    (void)state;
    const view_t view = {.number = 41,
                         .leader = "node-1",
                         .incarnation = 5,
                         .members = {{"node-1", "north", 5, false}, {"node-2", "south", 6, true}},
                         .count = 2};
    assert_json_is_sample("view.json", codec_build_view(&view));
}

static void test_view_sample_is_decoded(void **state)
{
    (void)state;
    view_t view;
    json_t *value = read_json_sample("view.json");
    assert_true(codec_parse_view(value, 77, &view));
    assert_int_equal(view.number, 41);
    assert_int_equal(view.revision, 77);
    assert_string_equal(view.leader, "node-1");
    assert_int_equal(view.incarnation, 5);
    assert_int_equal(view.count, 2);
    assert_string_equal(view.members[1].name, "node-2");
    assert_string_equal(view.members[1].zone, "south");
    assert_int_equal(view.members[1].incarnation, 6);
    assert_true(view.members[1].is_excluded && !view.members[0].is_excluded);
    json_decref(value);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_each_kind_of_item_encodes_to_its_sample),
        cmocka_unit_test(test_placement_request_sample_is_decoded),
        cmocka_unit_test(test_samples_of_other_items_are_decoded),
        cmocka_unit_test(test_heartbeat_encodes_to_its_sample),
        cmocka_unit_test(test_heartbeat_sample_is_decoded),
        cmocka_unit_test(test_machine_summaries_encode_to_their_sample),
        cmocka_unit_test(test_machine_summaries_sample_is_decoded),
        cmocka_unit_test(test_relayed_message_encodes_to_its_sample),
        cmocka_unit_test(test_relayed_message_sample_is_decoded),
        cmocka_unit_test(test_view_encodes_to_its_sample),
        cmocka_unit_test(test_view_sample_is_decoded),
    };
    return cmocka_run_group_tests_name("message_samples", tests, NULL, NULL);
}
