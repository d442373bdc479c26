/* Tests of messages that are relayed through the key-value store. */
#include "fake_kv_store.h"
#include "io/peer_protocol.h"
#include "io/relay.h"
#include "unit_test.h"

enum { VALUE_MAX_BYTES = 2048 };

static int set_up(void **state)
{
    *state = fake_kv_store_new();
    return 0;
}

static int tear_down(void **state)
{
    fake_kv_store_free(*state);
    return 0;
}

/* Returns a frame of pseudorandom bytes from the seed `fill`, which compression does not shorten.
 * The first and the last byte are `fill`. */
static GByteArray *random_frame(guint size, guint8 fill)
{
    GByteArray *frame = g_byte_array_new();
    g_byte_array_set_size(frame, size);
    GRand *random = g_rand_new_with_seed(fill);
    for (guint i = 0; i < size; i++)
        frame->data[i] = (guint8)g_rand_int(random);
    g_rand_free(random);
    frame->data[0] = fill;
    frame->data[size - 1] = fill;
    return frame;
}

/* Commits a message to the leader and returns the number of its pages. */
static guint commit_message(fake_kv_store_t *store, const char *name, guint size, guint8 fill)
{
    g_autoptr(GByteArray) frame = random_frame(size, fill);
    kv_txn_t txn = kv_txn_new();
    guint pages = relay_write(&txn, "up", name, frame, VALUE_MAX_BYTES);
    assert_int_equal(fake_kv_store_apply(store, txn), KV_OK);
    return pages;
}

static gint compare_keys(gconstpointer left, gconstpointer right)
{
    return strcmp(((const kv_entry_t *)left)->key, ((const kv_entry_t *)right)->key);
}

/* Returns the messages to the leader: array of relay_message_t. */
static GArray *read_inbox(const fake_kv_store_t *store)
{
    GArray *entries = kv_entries_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, store->keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const kv_entry_t *stored = value;
        kv_entry_t entry = {.key = g_strdup(stored->key),
                            .value = json_incref(stored->value),
                            .revision = stored->revision};
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, compare_keys);
    GArray *relayed_messages = relay_read(entries, "up");
    g_array_unref(entries);
    return relayed_messages;
}

static machine_summary_t summary_of(guint number)
{
    machine_summary_t summary = {
        .total = {16, 0, 128},
        .free = {(double)(number % 8) * 2, 0, 11.3 + (double)number * 0.37},
        .attempts = 8 - number % 8,
        .silent_ms = (msec_t)number * 7,
        .known_ms = 100000 + number};
    g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", number * 3);
    g_strlcpy(summary.type, "sixteen", sizeof summary.type);
    g_strlcpy(summary.zone, number % 3 ? "zone-a" : "zone-b", sizeof summary.zone);
    return summary;
}

static channel_item_t result_of(guint number)
{
    channel_item_t item = {.kind = CHANNEL_ATTEMPT_RESULT,
                           .result.ref = {.task = number, .attempt = 1ULL << 30}};
    g_snprintf(item.result.ref.job, sizeof item.result.ref.job, "j-%06u", number * 31);
    g_snprintf(item.result.machine, sizeof item.result.machine, "m-%06u", number * 5);
    return item;
}

/* Returns the number of pages, of up to 16 KiB each, of a message with the summaries of `machines`
 * machines and a batch of results. */
static guint pages_of_summaries(guint machines)
{
    g_auto(peer_message_t) message = {0};
    message.items = channel_items_new();
    message.summaries.summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    message.cpus_being_preempted = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < machines; i++) {
        machine_summary_t summary = summary_of(i);
        g_array_append_val(message.summaries.summaries, summary);
    }
    for (guint i = 0; i < PEER_BATCH_COUNT; i++) {
        channel_item_t item = result_of(i);
        g_array_append_val(message.items, item);
    }
    g_autoptr(GByteArray) frame = peer_encode(&message);
    kv_txn_t txn = kv_txn_new();
    guint pages = relay_write(&txn, "up", "controller-1", frame, 16384);
    kv_txn_free(&txn);
    return pages;
}

/* A network partition can separate the leader from a thousand machines and the only controller that
 * still runs on their side. That controller's machine summaries and a batch of results must fit
 * into one transaction of 64 KiB. Otherwise nothing is placed on these machines. */
static void test_summaries_of_a_thousand_machines_fit_into_a_transaction(void **state)
{
    (void)state;
    guint pages = pages_of_summaries(1030);
    assert_in_range(pages, 1, 3);
    assert_true(pages_of_summaries(70) <= pages);
}

/* The summaries of 70 machines and the results of one second exceed the size limit of a value. If
 * they were written as one page, the key-value store would refuse it, and a zone on the other side
 * of a network partition would get no work at all. */
static void test_long_message_is_split_into_pages(void **state)
{
    fake_kv_store_t *store = *state;
    assert_true(commit_message(store, "controller-1", 5000, 7) > 2);
    assert_int_equal(commit_message(store, "controller-10", 10, 9), 1);
    GArray *relayed_messages = read_inbox(store);
    assert_int_equal(relayed_messages->len, 2);
    const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, 0);
    assert_string_equal(relayed->name, "controller-1");
    assert_int_equal(relayed->frame->len, 5000);
    assert_int_equal(relayed->frame->data[4999], 7);
    assert_string_equal(g_array_index(relayed_messages, relay_message_t, 1).name, "controller-10");
    g_array_unref(relayed_messages);
}

/* When a shorter message replaces a longer one, the last pages of the longer one remain, with an
 * older revision. They must be skipped. */
static void test_remaining_pages_of_a_longer_message_are_skipped(void **state)
{
    fake_kv_store_t *store = *state;
    guint before = commit_message(store, "controller-1", 5000, 7);
    guint after = commit_message(store, "controller-1", 1800, 8);
    assert_true(after > 1 && after < before);
    GArray *relayed_messages = read_inbox(store);
    assert_int_equal(relayed_messages->len, 1);
    const relay_message_t *relayed = &g_array_index(relayed_messages, relay_message_t, 0);
    assert_int_equal(relayed->frame->len, 1800);
    assert_int_equal(relayed->frame->data[0], 8);
    g_array_unref(relayed_messages);
}

/* The pages of a message have different revisions if a new message is committed while the pages are
 * listed one by one. */
static void test_message_with_pages_of_two_revisions_is_ignored(void **state)
{
    fake_kv_store_t *store = *state;
    commit_message(store, "controller-1", 3000, 7);
    kv_entry_t *page = g_hash_table_lookup(store->keys, "mail/up/controller-1.1");
    assert_non_null(page);
    page->revision++;
    GArray *relayed_messages = read_inbox(store);
    assert_int_equal(relayed_messages->len, 0);
    g_array_unref(relayed_messages);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_long_message_is_split_into_pages, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_remaining_pages_of_a_longer_message_are_skipped,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_message_with_pages_of_two_revisions_is_ignored, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_summaries_of_a_thousand_machines_fit_into_a_transaction, set_up, tear_down),
    };
    return cmocka_run_group_tests_name("relay", tests, NULL, NULL);
}
