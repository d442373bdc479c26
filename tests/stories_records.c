/* Stories of transactions against the state service: late, repeated, racing. */
#include "io/records.h"
#include "io/wire.h"
#include "store.h"
#include "story.h"

static fake_store_t *store;
static part_t *part;
static GArray *flavors, *teams;

static int set_up(void **state)
{
    (void)state;
    store = fake_store_new();
    flavors = g_array_new(FALSE, FALSE, sizeof(flavor_t));
    teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    flavor_t flavor = {.name = "t16", .room = {16, 0, 64}};
    g_array_append_val(flavors, flavor);
    part = part_new(flavors, teams, 30000);
    part_set_view(part, 1);
    txn_t txn = txn_new();
    txn_set(&txn, "view/number", json_integer(1), 0);
    fake_store_apply(store, txn);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    part_free(part);
    fake_store_free(store);
    g_array_unref(flavors);
    g_array_unref(teams);
    return 0;
}

static job_spec_t job(const char *id, uint32_t tasks)
{
    job_spec_t spec = {.tasks = tasks, .need = {4, 0, 4}, .estimate_s = 10};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.class_name, "c", sizeof spec.class_name);
    g_strlcpy(spec.team, "red", sizeof spec.team);
    g_strlcpy(spec.image, "i", sizeof spec.image);
    return spec;
}

static void move_view(void)
{
    txn_t txn = txn_new();
    txn_set(&txn, "view/number", json_integer(2), 0);
    assert_int_equal(fake_store_apply(store, txn), STATE_OK);
}

static void place(const char *id, uint64_t job_stamp)
{
    report_t report = {.machine = "m-000001",
                       .address = "10.1.0.1:9000",
                       .type = "t16",
                       .zone = "north",
                       .session = 1,
                       .seq = 1,
                       .token = 1,
                       .notice_s = -1};
    report.pieces = g_array_new(FALSE, FALSE, sizeof(piece_t));
    GArray *calls = g_array_new(FALSE, FALSE, sizeof(call_t));
    part_report(part, &report, false, 1000, calls);
    report_clear(&report);
    g_array_unref(calls);
    offer_t offer = {
        .need = {4, 0, 4}, .attempt = 100, .job_stamp = job_stamp, .team = "red", .image = "i"};
    g_strlcpy(offer.job, id, sizeof offer.job);
    assert_non_null(part_place(part, &offer, 1000));
}

static state_result_t commit_part(uint64_t view_stamp)
{
    part_batch_t *batch = part_batch_take(part, 20, 80, 16384, 1000);
    state_result_t result = fake_store_apply(store, records_commit(NULL, batch, view_stamp));
    part_batch_free(batch);
    return result;
}

/* The key of the shard of the one machine. */
static const char *record_key(void)
{
    static char key[SHARD_NAME + 16];
    char shard[SHARD_NAME];
    shard_of("m-000001", "north", shard, sizeof shard);
    g_snprintf(key, sizeof key, "machines/%s", shard);
    return key;
}

static void late_start_record_of_an_older_view_fails(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    uint64_t view = fake_store_stamp(store, "view/number");
    fake_store_apply(store, records_submit(&spec));
    place("j-000001", fake_store_stamp(store, "jobs/j-000001"));
    move_view();
    assert_int_equal(commit_part(view), STATE_FAILED);
    assert_null(fake_store_get(store, record_key()));
}

static void start_record_after_the_abort_fails(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    fake_store_apply(store, records_submit(&spec));
    uint64_t stamp = fake_store_stamp(store, "jobs/j-000001");
    place("j-000001", stamp);
    assert_int_equal(fake_store_apply(store, records_abort("j-000001", stamp, 1)), STATE_OK);
    assert_int_equal(commit_part(fake_store_stamp(store, "view/number")), STATE_FAILED);
}

static void start_record_holds_the_attempt(void **state)
{
    (void)state;
    shard_record_t record;
    job_spec_t spec = job("j-000001", 1);
    fake_store_apply(store, records_submit(&spec));
    place("j-000001", fake_store_stamp(store, "jobs/j-000001"));
    assert_int_equal(commit_part(fake_store_stamp(store, "view/number")), STATE_OK);
    const state_entry_t *entry = fake_store_get(store, record_key());
    assert_non_null(entry);
    assert_true(
        wire_parse_record(entry->key + strlen("machines/"), entry->value, entry->stamp, &record));
    assert_int_equal(record.machines->len, 1);
    const machine_record_t *machine = &g_array_index(record.machines, machine_record_t, 0);
    assert_string_equal(machine->machine, "m-000001");
    assert_int_equal(machine->entries->len, 1);
    const record_entry_t *attempt = &g_array_index(machine->entries, record_entry_t, 0);
    assert_int_equal(attempt->attempt, 100);
    assert_string_equal(attempt->job, "j-000001");
    assert_true(attempt->need.cpus > 3.9 && attempt->need.memory > 3.9);
    g_array_unref(record.machines);
    /* Under another shard's key it would have two owners: it is not taken. */
    assert_false(wire_parse_record("north.99", entry->value, entry->stamp, &record));
}

static void submission_applied_late_does_not_bring_the_job_back(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    txn_t late = records_submit(&spec);
    fake_store_apply(store, records_submit(&spec));
    fake_store_apply(store, records_abort("j-000001", fake_store_stamp(store, "jobs/j-000001"), 1));
    assert_int_equal(fake_store_apply(store, late), STATE_FAILED);
    assert_null(fake_store_get(store, "jobs/j-000001"));
    assert_non_null(fake_store_get(store, "ended/j-000001"));
}

static void abort_and_done_exclude_each_other(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    fake_store_apply(store, records_submit(&spec));
    uint64_t stamp = fake_store_stamp(store, "jobs/j-000001");
    progress_t end = {.job = "j-000001", .end = true, .done = 1, .job_stamp = stamp};
    end.old_stamps = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *progress = g_array_new(FALSE, FALSE, sizeof(progress_t));
    g_array_append_val(progress, end);
    part_batch_t *nothing = part_batch_take(part, 20, 80, 16384, 1000);
    uint64_t view = fake_store_stamp(store, "view/number");
    assert_int_equal(fake_store_apply(store, records_commit(progress, nothing, view)), STATE_OK);
    assert_int_equal(fake_store_apply(store, records_abort("j-000001", stamp, 1)), STATE_FAILED);
    const state_entry_t *ended = fake_store_get(store, "ended/j-000001");
    assert_string_equal(json_string_value(json_object_get(ended->value, "Trim")), "done");
    g_array_unref(end.old_stamps);
    g_array_unref(progress);
    part_batch_free(nothing);
}

static void abort_takes_the_progress_along(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 20000);
    fake_store_apply(store, records_submit(&spec));
    txn_t txn = txn_new();
    txn_set(&txn, "done/j-000001/0", json_integer(1), 0);
    txn_set(&txn, "done/j-000001/1", json_integer(1), 0);
    fake_store_apply(store, txn);
    fake_store_apply(store,
                     records_abort("j-000001", fake_store_stamp(store, "jobs/j-000001"), 20000));
    assert_null(fake_store_get(store, "done/j-000001/0"));
    assert_null(fake_store_get(store, "done/j-000001/1"));
}

static void a_value_that_can_not_be_built_is_never_sent(void **state)
{
    (void)state;
    state_t service = {0};
    txn_t txn = txn_new();
    txn_set(&txn, "machines/m-000001", NULL, 0);
    assert_int_equal(state_commit(&service, NULL, &txn, 1, NULL, NULL), STATE_INVALID);
    txn_free(&txn);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(late_start_record_of_an_older_view_fails, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(start_record_after_the_abort_fails, set_up, tear_down),
        cmocka_unit_test_setup_teardown(start_record_holds_the_attempt, set_up, tear_down),
        cmocka_unit_test_setup_teardown(submission_applied_late_does_not_bring_the_job_back, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(abort_and_done_exclude_each_other, set_up, tear_down),
        cmocka_unit_test_setup_teardown(abort_takes_the_progress_along, set_up, tear_down),
        cmocka_unit_test(a_value_that_can_not_be_built_is_never_sent),
    };
    return cmocka_run_group_tests_name("records", tests, NULL, NULL);
}
