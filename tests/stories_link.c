/* Stories of the exchange between controllers: lost, repeated and late messages; who owns what. */
#include "core/link.h"
#include "core/owner.h"
#include "io/mesh.h"
#include "story.h"

static link_item_t drain(const char *machine)
{
    link_item_t item = {.kind = LINK_DRAIN};
    g_strlcpy(item.machine, machine, sizeof item.machine);
    return item;
}

static void lost_answer_repeats_the_batch_and_it_counts_once(void **state)
{
    (void)state;
    link_t *from = link_new(), *to = link_new();
    link_push(from, drain("m-1"));
    assert_int_equal(link_batch(from, 10)->len, 1);
    assert_true(link_accept(to, from->sent));
    link_push(from, drain("m-2")); /* the acknowledgement is lost: the same batch again */
    assert_int_equal(link_batch(from, 10)->len, 1);
    assert_false(link_accept(to, from->sent));
    link_ack(from, to->received);
    assert_int_equal(link_batch(from, 10)->len, 1);
    assert_true(link_accept(to, from->sent));
    link_free(from);
    link_free(to);
}

static void late_batch_and_late_acknowledgement_change_nothing(void **state)
{
    (void)state;
    link_t *from = link_new(), *to = link_new();
    for (int i = 0; i < 3; i++) {
        link_push(from, drain("m-1"));
        link_batch(from, 10);
        assert_true(link_accept(to, from->sent));
        if (i < 2)
            link_ack(from, to->received);
    }
    assert_false(link_accept(to, 1));
    link_ack(from, 1);
    assert_int_equal(link_batch(from, 10)->len, 1);
    assert_int_equal(from->sent, 3);
    link_free(from);
    link_free(to);
}

static void message_survives_its_encoding(void **state)
{
    (void)state;
    char *types[] = {"t16", "t32", NULL};
    mesh_note_t note = {.sender = "hand-1", .incarnation = 77, .view = 5, .number = 3, .ack = 2};
    note.items = link_items_new();
    link_item_t offer = {.kind = LINK_OFFER};
    offer.offer = (offer_t){.job = "j-000001",
                            .team = "red",
                            .zone = "north",
                            .need = {2, 1, 11},
                            .task = 4,
                            .attempt = 1ULL << 40,
                            .job_stamp = 9,
                            .preempt = true};
    offer.offer.types = g_strdupv(types);
    link_item_t outcome = {.kind = LINK_OUTCOME};
    outcome.outcome.ref = task_ref("j-000002", 1, 8);
    outcome.outcome.cause = CAUSE_DONE;
    g_array_append_val(note.items, offer);
    g_array_append_val(note.items, outcome);
    note.rows = g_array_new(FALSE, FALSE, sizeof(machine_row_t));
    machine_row_t row = {.machine = "m-1", .type = "t16", .zone = "north", .free = {3, 0, 7}};
    g_array_append_val(note.rows, row);
    GByteArray *frame = mesh_encode(&note);
    assert_non_null(frame);
    mesh_note_t heard;
    assert_true(mesh_decode(frame->data, frame->len, &heard));
    assert_int_equal(heard.view, 5);
    assert_int_equal(heard.items->len, 2);
    const offer_t *got = &g_array_index(heard.items, link_item_t, 0).offer;
    assert_string_equal(got->types[1], "t32");
    assert_int_equal(got->attempt, 1ULL << 40);
    assert_true(got->preempt);
    assert_int_equal(g_array_index(heard.items, link_item_t, 1).outcome.cause, CAUSE_DONE);
    assert_true(g_array_index(heard.rows, machine_row_t, 0).free.memory > 6.9);
    mesh_note_t cut_off;
    assert_false(mesh_decode(frame->data, frame->len / 2, &cut_off));
    g_byte_array_unref(frame);
    mesh_note_clear(&note);
    mesh_note_clear(&heard);
}

static const member_t members[] = {{.name = "hand-0", .zone = "north"},
                                   {.name = "hand-1", .zone = "south"},
                                   {.name = "hand-2", .zone = "north"}};

static void workers_stay_in_their_zone(void **state)
{
    (void)state;
    for (int i = 0; i < 50; i++) {
        char machine[ID_SIZE];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        assert_int_equal(owner_of(members, 3, machine, "south"), 1);
        assert_int_not_equal(owner_of(members, 3, machine, "north"), 1);
    }
}

static void lost_member_moves_only_its_own_machines(void **state)
{
    (void)state;
    guint moved = 0, owned = 0;
    for (int i = 0; i < 200; i++) {
        char machine[ID_SIZE];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        guint before = owner_of(members, 3, machine, "west");
        guint after = owner_of(members, 2, machine, "west");
        owned += before == 2;
        moved += before != after;
        assert_true(before == 2 || before == after);
    }
    assert_int_equal(moved, owned);
    assert_true(owned > 30 && owned < 110);
}

static void member_set_aside_owns_nothing(void **state)
{
    (void)state;
    member_t some[3];
    memcpy(some, members, sizeof some);
    some[1].aside = true;
    for (int i = 0; i < 50; i++) {
        char machine[ID_SIZE];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        assert_int_not_equal(owner_of(some, 3, machine, "south"), 1);
    }
    some[0].aside = some[2].aside = true;
    assert_int_equal(owner_of(some, 3, "m-000001", "south"), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lost_answer_repeats_the_batch_and_it_counts_once),
        cmocka_unit_test(late_batch_and_late_acknowledgement_change_nothing),
        cmocka_unit_test(message_survives_its_encoding),
        cmocka_unit_test(workers_stay_in_their_zone),
        cmocka_unit_test(member_set_aside_owns_nothing),
        cmocka_unit_test(lost_member_moves_only_its_own_machines),
    };
    return cmocka_run_group_tests_name("link", tests, NULL, NULL);
}
