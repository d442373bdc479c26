/* Stories of messages that go through the state service. */
#include "io/mail.h"
#include "io/mesh.h"
#include "store.h"
#include "story.h"

enum { VALUE = 2048 };

static fake_store_t *store;

static int set_up(void **state)
{
    (void)state;
    store = fake_store_new();
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    fake_store_free(store);
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
    txn_t txn = txn_new();
    guint pages = mail_write(&txn, "up", name, frame, VALUE);
    assert_int_equal(fake_store_apply(store, txn), STATE_OK);
    g_byte_array_unref(frame);
    return pages;
}

static gint by_key(gconstpointer left, gconstpointer right)
{
    return strcmp(((const state_entry_t *)left)->key, ((const state_entry_t *)right)->key);
}

static GArray *open_box(void)
{
    GArray *entries = state_entries_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, store->keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const state_entry_t *kept = value;
        state_entry_t entry = {
            .key = g_strdup(kept->key), .value = json_incref(kept->value), .stamp = kept->stamp};
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, by_key);
    GArray *letters = mail_read(entries, "up");
    g_array_unref(entries);
    return letters;
}

static guint post_rows(guint machines)
{
    mesh_note_t note = {.items = link_items_new(),
                        .rows = g_array_new(FALSE, FALSE, sizeof(machine_row_t)),
                        .yielding = g_array_new(FALSE, FALSE, sizeof(double))};
    for (guint i = 0; i < machines; i++) {
        machine_row_t row = {.total = {16, 0, 128},
                             .free = {(double)(i % 8) * 2, 0, 11.3 + (double)i * 0.37},
                             .attempts = 8 - i % 8,
                             .silent_ms = i * 7,
                             .known_ms = 100000 + i};
        g_snprintf(row.machine, sizeof row.machine, "m-%06u", i * 3);
        g_strlcpy(row.type, "sixteen", sizeof row.type);
        g_strlcpy(row.zone, i % 3 ? "north" : "south", sizeof row.zone);
        g_array_append_val(note.rows, row);
    }
    for (guint i = 0; i < MESH_BATCH; i++) {
        link_item_t item = {.kind = LINK_OUTCOME,
                            .outcome.ref = {.task = i, .attempt = 1ULL << 30}};
        g_snprintf(item.outcome.ref.job, sizeof item.outcome.ref.job, "j-%06u", i * 31);
        g_snprintf(item.outcome.machine, sizeof item.outcome.machine, "m-%06u", i * 5);
        g_array_append_val(note.items, item);
    }
    GByteArray *frame = mesh_encode(&note);
    txn_t txn = txn_new();
    guint pages = mail_write(&txn, "up", "hand-1", frame, 16384);
    txn_free(&txn);
    g_byte_array_unref(frame);
    mesh_note_clear(&note);
    return pages;
}

/* One surviving controller with a thousand machines behind a cut: its rows and a batch of results
 * must fit one transaction of 64 KiB, or nothing is placed there. */
static void rows_of_a_thousand_machines_fit_a_letter(void **state)
{
    (void)state;
    guint pages = post_rows(1030);
    assert_in_range(pages, 1, 3);
    assert_true(post_rows(70) <= pages);
}

/* The rows of 70 machines with a second's results are more than one value holds: refused whole, a
 * zone behind a cut got no work at all. */
static void long_letter_goes_in_pages(void **state)
{
    (void)state;
    assert_true(post("hand-1", 5000, 7) > 2);
    assert_int_equal(post("hand-10", 10, 9), 1);
    GArray *letters = open_box();
    assert_int_equal(letters->len, 2);
    const letter_t *letter = &g_array_index(letters, letter_t, 0);
    assert_string_equal(letter->name, "hand-1");
    assert_int_equal(letter->frame->len, 5000);
    assert_int_equal(letter->frame->data[4999], 7);
    assert_string_equal(g_array_index(letters, letter_t, 1).name, "hand-10");
    g_array_unref(letters);
}

/* A shorter letter leaves the last pages of the one before, of an older revision. */
static void pages_of_an_earlier_letter_are_passed_over(void **state)
{
    (void)state;
    guint before = post("hand-1", 5000, 7), after = post("hand-1", 1800, 8);
    assert_true(after > 1 && after < before);
    GArray *letters = open_box();
    assert_int_equal(letters->len, 1);
    const letter_t *letter = &g_array_index(letters, letter_t, 0);
    assert_int_equal(letter->frame->len, 1800);
    assert_int_equal(letter->frame->data[0], 8);
    g_array_unref(letters);
}

/* Read while a new one was being listed page by page: not whole, so no letter. */
static void torn_letter_is_none(void **state)
{
    (void)state;
    post("hand-1", 3000, 7);
    state_entry_t *page = g_hash_table_lookup(store->keys, "mail/up/hand-1.1");
    assert_non_null(page);
    page->stamp++;
    GArray *letters = open_box();
    assert_int_equal(letters->len, 0);
    g_array_unref(letters);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(long_letter_goes_in_pages, set_up, tear_down),
        cmocka_unit_test_setup_teardown(pages_of_an_earlier_letter_are_passed_over, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(torn_letter_is_none, set_up, tear_down),
        cmocka_unit_test_setup_teardown(rows_of_a_thousand_machines_fit_a_letter, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("mail", tests, NULL, NULL);
}
