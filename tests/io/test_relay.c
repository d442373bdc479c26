/* Tests of messages that go through the key-value store. */
#include "fake_kv_store.h"
#include "io/peer_protocol.h"
#include "io/relay.h"
#include "unit_test.h"

enum { VALUE = 2048 };

static fake_kv_store_t *store;

static int set_up(void **state)
{
    (void)state;
    store = fake_kv_store_new();
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    fake_kv_store_free(store);
    return 0;
}

static guint post(const char *name, guint size, guint8 fill)
{
    GByteArray *frame = g_byte_array_new();
    g_byte_array_set_size(frame, size);
    /* Noise from a fixed start, which no packing makes shorter. */
    GRand *noise = g_rand_new_with_seed(fill);
    for (guint i = 0; i < size; i++)
        frame->data[i] = (guint8)g_rand_int(noise);
    g_rand_free(noise);
    frame->data[0] = frame->data[size - 1] = fill;
    kv_txn_t txn = kv_txn_new();
    guint pages = relay_write(&txn, "up", name, frame, VALUE);
    assert_int_equal(fake_kv_store_apply(store, txn), KV_OK);
    g_byte_array_unref(frame);
    return pages;
}

static gint by_key(gconstpointer left, gconstpointer right)
{
    return strcmp(((const kv_entry_t *)left)->key, ((const kv_entry_t *)right)->key);
}

static GArray *open_inbox(void)
{
    GArray *entries = kv_entries_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, store->keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const kv_entry_t *copy = value;
        kv_entry_t entry = {.key = g_strdup(copy->key),
                            .value = json_incref(copy->value),
                            .revision = copy->revision};
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, by_key);
    GArray *relayed_messages = relay_read(entries, "up");
    g_array_unref(entries);
    return relayed_messages;
}

static guint post_summaries(guint machines)
{
    peer_message_t message = {.items = channel_items_new(),
                              .summaries.summaries =
                                  g_array_new(FALSE, FALSE, sizeof(machine_summary_t)),
                              .cpus_being_preempted = g_array_new(FALSE, FALSE, sizeof(double))};
    for (guint i = 0; i < machines; i++) {
        machine_summary_t summary = {.total = {16, 0, 128},
                                     .free = {(double)(i % 8) * 2, 0, 11.3 + (double)i * 0.37},
                                     .attempts = 8 - i % 8,
                                     .silent_ms = (msec_t)i * 7,
                                     .known_ms = 100000 + i};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i * 3);
        g_strlcpy(summary.type, "sixteen", sizeof summary.type);
        g_strlcpy(summary.zone, i % 3 ? "zone-a" : "zone-b", sizeof summary.zone);
        g_array_append_val(message.summaries.summaries, summary);
    }
    for (guint i = 0; i < PEER_BATCH_COUNT; i++) {
        channel_item_t item = {.kind = CHANNEL_ATTEMPT_RESULT,
                               .result.ref = {.task = i, .attempt = 1ULL << 30}};
        g_snprintf(item.result.ref.job, sizeof item.result.ref.job, "j-%06u", i * 31);
        g_snprintf(item.result.machine, sizeof item.result.machine, "m-%06u", i * 5);
        g_array_append_val(message.items, item);
    }
    GByteArray *frame = peer_encode(&message);
    kv_txn_t txn = kv_txn_new();
    guint pages = relay_write(&txn, "up", "controller-1", frame, 16384);
    kv_txn_free(&txn);
    g_byte_array_unref(frame);
    peer_message_clear(&message);
    return pages;
}

/* One surviving controller with a thousand machines behind a cut: its machine summaries and a batch
 * of results must fit one transaction of 64 KiB, or nothing is placed there. */
static void test_summaries_of_a_thousand_machines_fit_a_message(void **state)
{
    (void)state;
    guint pages = post_summaries(1030);
    assert_in_range(pages, 1, 3);
    assert_true(post_summaries(70) <= pages);
}

/* The machine summaries of 70 machines with a second's results are more than one value holds:
 * refused whole, a zone behind a cut got no work at all. */
static void test_long_message_goes_in_pages(void **state)
{
    (void)state;
    assert_true(post("controller-1", 5000, 7) > 2);
    assert_int_equal(post("controller-10", 10, 9), 1);
    GArray *relayed_messages = open_inbox();
    assert_int_equal(relayed_messages->len, 2);
    const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, 0);
    assert_string_equal(relayed->name, "controller-1");
    assert_int_equal(relayed->frame->len, 5000);
    assert_int_equal(relayed->frame->data[4999], 7);
    assert_string_equal(g_array_index(relayed_messages, relay_message_t, 1).name, "controller-10");
    g_array_unref(relayed_messages);
}

/* A shorter message leaves the last pages of the one before, of an older revision. */
static void test_pages_of_an_earlier_message_are_passed_over(void **state)
{
    (void)state;
    guint before = post("controller-1", 5000, 7);
    guint after = post("controller-1", 1800, 8);
    assert_true(after > 1 && after < before);
    GArray *relayed_messages = open_inbox();
    assert_int_equal(relayed_messages->len, 1);
    const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, 0);
    assert_int_equal(relayed->frame->len, 1800);
    assert_int_equal(relayed->frame->data[0], 8);
    g_array_unref(relayed_messages);
}

/* Read while a new one was being listed page by page: not whole, so no message. */
static void test_torn_message_is_ignored(void **state)
{
    (void)state;
    post("controller-1", 3000, 7);
    kv_entry_t *page = g_hash_table_lookup(store->keys, "mail/up/controller-1.1");
    assert_non_null(page);
    page->revision++;
    GArray *relayed_messages = open_inbox();
    assert_int_equal(relayed_messages->len, 0);
    g_array_unref(relayed_messages);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_long_message_goes_in_pages, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_pages_of_an_earlier_message_are_passed_over, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_torn_message_is_ignored, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_summaries_of_a_thousand_machines_fit_a_message, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("relay", tests, NULL, NULL);
}
