/* Tests of transactions against the key-value store: late, repeated, racing. */
#include "fake_kv_store.h"
#include "io/codec/codec.h"
#include "io/records.h"
#include "unit_test.h"

static fake_kv_store_t *store;
static partition_t *partition;
static GArray *machine_types, *teams;

static int set_up(void **state)
{
    (void)state;
    store = fake_kv_store_new();
    machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    g_array_append_val(machine_types, machine_type);
    partition = partition_new(machine_types, teams, 30000);
    partition_set_view(partition, 1);
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "view/number", json_integer(1), 0);
    fake_kv_store_apply(store, txn);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    partition_free(partition);
    fake_kv_store_free(store);
    g_array_unref(machine_types);
    g_array_unref(teams);
    return 0;
}

static job_spec_t job(const char *id, uint32_t tasks)
{
    job_spec_t spec = {.tasks = tasks, .need = {4, 0, 4}, .estimate_s = 10};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.class_name, "c", sizeof spec.class_name);
    g_strlcpy(spec.team, "team-a", sizeof spec.team);
    g_strlcpy(spec.image, "i", sizeof spec.image);
    return spec;
}

static void move_view(void)
{
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "view/number", json_integer(2), 0);
    assert_int_equal(fake_kv_store_apply(store, txn), KV_OK);
}

static void report_of(const char *id, const char *type, uint64_t heartbeat_sequence)
{
    worker_heartbeat_t heartbeat = {.worker_epoch = 1,
                                    .heartbeat_sequence = heartbeat_sequence,
                                    .fencing_token = 1,
                                    .interruption_in_s = -1};
    g_strlcpy(heartbeat.machine, id, sizeof heartbeat.machine);
    g_strlcpy(heartbeat.address, "10.1.255.254:9000", sizeof heartbeat.address);
    g_strlcpy(heartbeat.type, type, sizeof heartbeat.type);
    g_strlcpy(heartbeat.zone, "zone-a", sizeof heartbeat.zone);
    heartbeat.attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t));
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    partition_handle_heartbeat(partition, &heartbeat, false, 1000 * (msec_t)heartbeat_sequence,
                               commands);
    worker_heartbeat_clear(&heartbeat);
    g_array_unref(commands);
}

static void place(const char *id, uint64_t job_revision)
{
    report_of("m-000001", "t16", 1);
    placement_request_t request = {.need = {4, 0, 4},
                                   .attempt = 100,
                                   .job_revision = job_revision,
                                   .team = "team-a",
                                   .image = "i"};
    g_strlcpy(request.job, id, sizeof request.job);
    assert_non_null(partition_place(partition, &request, 1000));
}

static kv_result_t commit_partition(uint64_t view_revision)
{
    partition_batch_t *batch = partition_batch_take(
        partition, &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, 1000);
    kv_result_t result = fake_kv_store_apply(store, records_commit(NULL, batch, view_revision));
    partition_batch_free(batch);
    return result;
}

/* A member's entry that is carried out after a newer one of the same controller would hang it on a
 * lease that ended: the controller would vanish from the view. */
static void test_late_entry_of_a_member_fails(void **state)
{
    (void)state;
    member_t self = {.name = "controller-1", .zone = "zone-a", .incarnation = 5};
    kv_txn_t late = records_member(&self, 0, 1);
    assert_int_equal(fake_kv_store_apply(store, records_member(&self, 0, 2)), KV_OK);
    uint64_t revision = fake_kv_store_revision(store, "view/members/controller-1");
    assert_int_equal(fake_kv_store_apply(store, late), KV_CONFLICT);
    assert_int_equal(fake_kv_store_revision(store, "view/members/controller-1"), revision);
    assert_int_equal(fake_kv_store_apply(store, records_member(&self, revision, 3)), KV_OK);
}

/* The key of the shard of the one machine. */
static const char *record_key(void)
{
    static char key[SHARD_NAME_BYTES + 16];
    char shard[SHARD_NAME_BYTES];
    shard_of("m-000001", "zone-a", shard, sizeof shard);
    g_snprintf(key, sizeof key, "machines/%s", shard);
    return key;
}

static void test_late_start_record_of_an_older_view_fails(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    uint64_t view = fake_kv_store_revision(store, "view/number");
    fake_kv_store_apply(store, records_submit(&spec));
    place("j-000001", fake_kv_store_revision(store, "jobs/j-000001"));
    move_view();
    assert_int_equal(commit_partition(view), KV_CONFLICT);
    assert_null(fake_kv_store_get(store, record_key()));
}

static void test_start_record_after_the_abort_fails(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    fake_kv_store_apply(store, records_submit(&spec));
    uint64_t revision = fake_kv_store_revision(store, "jobs/j-000001");
    place("j-000001", revision);
    assert_int_equal(fake_kv_store_apply(store, records_abort("j-000001", revision, 1)), KV_OK);
    assert_int_equal(commit_partition(fake_kv_store_revision(store, "view/number")), KV_CONFLICT);
}

static void test_start_record_contains_the_attempt(void **state)
{
    (void)state;
    page_record_t record;
    job_spec_t spec = job("j-000001", 1);
    fake_kv_store_apply(store, records_submit(&spec));
    place("j-000001", fake_kv_store_revision(store, "jobs/j-000001"));
    assert_int_equal(commit_partition(fake_kv_store_revision(store, "view/number")), KV_OK);
    const kv_entry_t *entry = fake_kv_store_get(store, record_key());
    assert_non_null(entry);
    assert_true(codec_parse_record(entry->key + strlen("machines/"), entry->value, entry->revision,
                                   &record));
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
    assert_false(codec_parse_record("zone-a.99", entry->value, entry->revision, &record));
}

static void test_submission_applied_late_does_not_bring_the_job_back(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    kv_txn_t late = records_submit(&spec);
    fake_kv_store_apply(store, records_submit(&spec));
    fake_kv_store_apply(
        store, records_abort("j-000001", fake_kv_store_revision(store, "jobs/j-000001"), 1));
    assert_int_equal(fake_kv_store_apply(store, late), KV_CONFLICT);
    assert_null(fake_kv_store_get(store, "jobs/j-000001"));
    assert_non_null(fake_kv_store_get(store, "ended/j-000001"));
}

static void test_abort_and_done_exclude_each_other(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    fake_kv_store_apply(store, records_submit(&spec));
    uint64_t revision = fake_kv_store_revision(store, "jobs/j-000001");
    progress_t end = {.job = "j-000001", .is_job_end = true, .done = 1, .job_revision = revision};
    end.old_revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *progress = g_array_new(FALSE, FALSE, sizeof(progress_t));
    g_array_append_val(progress, end);
    partition_batch_t *nothing = partition_batch_take(
        partition, &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, 1000);
    uint64_t view = fake_kv_store_revision(store, "view/number");
    assert_int_equal(fake_kv_store_apply(store, records_commit(progress, nothing, view)), KV_OK);
    assert_int_equal(fake_kv_store_apply(store, records_abort("j-000001", revision, 1)),
                     KV_CONFLICT);
    const kv_entry_t *ended = fake_kv_store_get(store, "ended/j-000001");
    assert_string_equal(json_string_value(json_object_get(ended->value, "Trim")), "done");
    g_array_unref(end.old_revisions);
    g_array_unref(progress);
    partition_batch_free(nothing);
}

static void test_abort_takes_the_progress_along(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 20000);
    fake_kv_store_apply(store, records_submit(&spec));
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "done/j-000001/0", json_integer(1), 0);
    kv_txn_put(&txn, "done/j-000001/1", json_integer(1), 0);
    fake_kv_store_apply(store, txn);
    fake_kv_store_apply(
        store, records_abort("j-000001", fake_kv_store_revision(store, "jobs/j-000001"), 20000));
    assert_null(fake_kv_store_get(store, "done/j-000001/0"));
    assert_null(fake_kv_store_get(store, "done/j-000001/1"));
}

static void test_a_value_that_can_not_be_built_is_never_sent(void **state)
{
    (void)state;
    kv_store_t service = {0};
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "machines/m-000001", NULL, 0);
    assert_int_equal(kv_commit(&service, NULL, &txn, 1, NULL, NULL), KV_INVALID);
    kv_txn_free(&txn);
}

enum { FLEET = 90, EACH = 8, VALUE = 16384, TXN = 64 * 1024 };

/* Machines of one shard: more than its share of a thousand in one zone. */
static GPtrArray *fleet_of_one_shard(void)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    char own_shard[SHARD_NAME_BYTES];
    char shard[SHARD_NAME_BYTES];
    shard_of("m-000001", "zone-a", own_shard, sizeof own_shard);
    for (guint i = 1; ids->len < FLEET; i++) {
        char *id = g_strdup_printf("m-%06u", i);
        shard_of(id, "zone-a", shard, sizeof shard);
        if (strcmp(shard, own_shard) == 0)
            g_ptr_array_add(ids, id);
        else
            g_free(id);
    }
    return ids;
}

/* Starts of `tasks` tasks of 2 cpus, three to a job. */
static void fill(guint tasks, double cpus)
{
    for (guint i = 0; i < tasks; i++) {
        placement_request_t request = {
            .need = {cpus, 0, 1.23456789}, .task = 99999, .attempt = (7U << 24) + i};
        g_snprintf(request.job, sizeof request.job, "j-%06u", i / 3);
        g_strlcpy(request.team, "a-team-with-a-name", sizeof request.team);
        g_strlcpy(request.image, "an-image-with-a-name", sizeof request.image);
        request.task = 99000 + i % 3;
        assert_non_null(partition_place(partition, &request, 1000));
    }
}

/* One commit; what it writes is checked against the limits. refused: it meets an older view. */
static guint commit_within_limits(bool refused)
{
    uint64_t view = fake_kv_store_revision(store, "view/number") - refused;
    partition_batch_t *batch = partition_batch_take(
        partition, &(partition_limits_t){24, 96, VALUE, KV_TXN_VALUES_BYTES}, 1000);
    kv_txn_t txn = records_commit(NULL, batch, view);
    size_t i;
    json_t *change;
    json_array_foreach(txn.changes, i, change)
    {
        char *value = json_dumps(json_object_get(change, "Value"), JSON_COMPACT | JSON_ENCODE_ANY);
        assert_true(!value || strlen(value) <= VALUE);
        free(value);
    }
    json_t *whole = json_pack("{s:O,s:O}", "If", txn.conditions, "Then", txn.changes);
    char *text = json_dumps(whole, JSON_COMPACT | JSON_REAL_PRECISION(9));
    assert_true(strlen(text) <= TXN);
    assert_in_range(json_array_size(txn.changes), 0, 24);
    assert_in_range(json_array_size(txn.conditions), 1, 96);
    free(text);
    json_decref(whole);
    guint records = batch->records->len;
    kv_result_t result = fake_kv_store_apply(store, txn);
    assert_int_equal(result, refused ? KV_CONFLICT : KV_OK);
    if (refused)
        partition_batch_undo(partition, batch);
    else
        partition_batch_commit(partition, batch, store->revision, 1000);
    partition_batch_free(batch);
    return records;
}

/* False: not a machines' record. */
static bool read_record(const char *key, const kv_entry_t *entry, page_record_t *record)
{
    if (!g_str_has_prefix(key, "machines/"))
        return false;
    assert_true(
        codec_parse_record(key + strlen("machines/"), entry->value, entry->revision, record));
    return true;
}

/* What the records hold: machine -> attempts; each machine under one key only. */
static guint recorded(GHashTable *machines)
{
    guint attempts = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_remove_all(machines);
    g_hash_table_iter_init(&iter, store->keys);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        page_record_t record;
        if (!read_record(key, value, &record))
            continue;
        for (guint i = 0; i < record.machines->len; i++) {
            const machine_record_t *machine = &g_array_index(record.machines, machine_record_t, i);
            assert_true(g_hash_table_add(machines, g_strdup(machine->machine)));
            attempts += machine->entries->len;
        }
        g_array_unref(record.machines);
    }
    return attempts;
}

/* The requests carry revision 0, so the jobs stay unwritten here and the condition holds. */
static void test_a_shard_of_any_size_records_all_its_starts(void **state)
{
    (void)state;
    GPtrArray *ids = fleet_of_one_shard();
    GHashTable *machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < ids->len; i++)
        report_of(g_ptr_array_index(ids, i), "t16", 1);
    fill(FLEET * EACH, 2);
    /* Refused now and then: what was divided in memory only must still be written together. */
    for (guint round = 0; round < 60; round++) {
        commit_within_limits(round % 3 == 1);
        recorded(machines);
    }
    assert_int_equal(recorded(machines), FLEET * EACH);
    assert_int_equal(g_hash_table_size(machines), FLEET);
    assert_in_range(g_hash_table_size(store->keys), 3, 24);
    assert_int_equal(commit_within_limits(false), 0); /* nothing is written for nothing */
    g_hash_table_unref(machines);
    g_ptr_array_unref(ids);
}

/* A later owner reads the pages as they were written. */
static void test_pages_are_loaded_as_they_are(void **state)
{
    (void)state;
    GPtrArray *ids = fleet_of_one_shard();
    for (guint i = 0; i < ids->len; i++)
        report_of(g_ptr_array_index(ids, i), "t16", 1);
    fill(FLEET * EACH, 2);
    for (guint round = 0; round < 40; round++)
        commit_within_limits(false);
    partition_free(partition);
    partition = partition_new(machine_types, teams, 30000);
    partition_set_view(partition, 1);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, store->keys);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        page_record_t record;
        if (!read_record(key, value, &record))
            continue;
        partition_load(partition, &record, 1000);
        g_array_unref(record.machines);
    }
    assert_int_equal(partition_attempt_count(partition), FLEET * EACH);
    partition_machine_terminated(
        partition, g_ptr_array_index(ids, 0)); /* its page is written under its revision */
    assert_int_equal(commit_within_limits(false), 1);
    assert_int_equal(partition_attempt_count(partition), (FLEET - 1) * EACH);
    g_ptr_array_unref(ids);
}

/* More small tasks than one key can hold for one machine: it takes no more, instead of holding
 * their reservations for ever, and takes some again when others have ended. */
static void test_a_machine_that_fills_a_page_takes_no_more(void **state)
{
    (void)state;
    machine_type_t large = {.name = "t1000", .capacity = {1000, 0, 4000}};
    g_array_append_val(machine_types, large);
    report_of("m-000001", "t1000", 1);
    fill(600, 1);
    guint before = 0;
    guint after = 1;
    GHashTable *machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    while (before != after) {
        before = recorded(machines);
        commit_within_limits(false);
        commit_within_limits(false);
        after = recorded(machines);
    }
    assert_in_range(after, 100, 599);
    placement_request_t request = {.need = {1, 0, 1}, .job = "j-000999", .attempt = 9U << 24};
    assert_null(partition_place(partition, &request, 1000));
    partition_end_job(partition, "j-000000");
    report_of("m-000001", "t1000", 2);
    commit_within_limits(false);
    assert_non_null(partition_place(partition, &request, 2000));
    g_hash_table_unref(machines);
}

static void test_names_of_pages_are_read_back(void **state)
{
    (void)state;
    char name[PAGE_NAME_BYTES];
    char shard[SHARD_NAME_BYTES];
    guint page = 9;
    page_name("zone-c+1.b.07", 0, name, sizeof name);
    assert_string_equal(name, "zone-c+1.b.07"); /* as builds without pages wrote it */
    assert_true(page_parse(name, shard, sizeof shard, &page));
    assert_string_equal(shard, "zone-c+1.b.07");
    assert_int_equal(page, 0);
    page_name("zone-c+1.b.07", 12, name, sizeof name);
    assert_true(page_parse(name, shard, sizeof shard, &page));
    assert_string_equal(shard, "zone-c+1.b.07");
    assert_int_equal(page, 12);
    assert_false(page_parse("zone-c.07+x", shard, sizeof shard, &page));
    assert_false(page_parse("zone-c", shard, sizeof shard, &page));
}

static guint count_changes(kv_txn_t txn)
{
    guint count = (guint)json_array_size(txn.changes);
    kv_txn_free(&txn);
    return count;
}

/* Four a second, a quarter of them cancelled: each change counts in the key-value store's budget.
 */
static void test_jobs_of_one_task_cost_few_changes(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    assert_int_equal(count_changes(records_submit(&spec)), 1);
    assert_int_equal(count_changes(records_abort("j-000001", 5, 1)), 2);
    assert_int_equal(count_changes(records_abort("j-000001", 5, 2)), 3); /* it may have progress */
    report_of("m-000001", "t16", 1);
    fill(8, 2); /* their starts go in one */
    partition_batch_t *batch = partition_batch_take(
        partition, &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, 1000);
    assert_int_equal(count_changes(records_commit(NULL, batch, 1)), 1);
    partition_batch_free(batch);
}

/* A machine is up within two seconds, not listed yet, and gets work at once. The answer to the
 * record's commit is lost, and the leader ends: the next one knows machine and task from the record
 * alone, asks the machine at once, and takes nothing but proof for the end of the task. */
static void test_a_start_on_a_machine_just_up_outlives_its_leader(void **state)
{
    (void)state;
    job_spec_t spec = job("j-000001", 1);
    fake_kv_store_apply(store, records_submit(&spec));
    uint64_t view = fake_kv_store_revision(store, "view/number");
    place("j-000001", fake_kv_store_revision(store, "jobs/j-000001"));
    partition_batch_t *batch = partition_batch_take(
        partition, &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, 1000);
    kv_txn_t late = records_commit(NULL, batch, view);
    assert_int_equal(fake_kv_store_apply(store, records_commit(NULL, batch, view)), KV_OK);
    partition_batch_free(batch);
    move_view();
    partition_free(partition);
    partition = partition_new(machine_types, teams, 30000);
    partition_set_view(partition, 2);
    page_record_t record = {0};
    assert_true(read_record(record_key(), fake_kv_store_get(store, record_key()), &record));
    partition_load(partition, &record, 1000);
    g_array_unref(record.machines);
    assert_int_equal(fake_kv_store_apply(store, late), KV_CONFLICT); /* carried out once more */
    assert_int_equal(partition_attempt_count(partition), 1);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    const machine_t *machine = partition_take_push(partition, G_MAXUINT32, 1000, commands);
    assert_string_equal(machine_address(machine), "10.1.255.254:9000");
    assert_int_equal(commands->len, 0); /* asked, nothing sent */
    report_of("m-000001", "t16", 2);    /* from before the view */
    assert_int_equal(partition_results(partition)->len, 0);
    assert_int_equal(partition_attempt_count(partition), 1);
    partition_machine_terminated(partition, "m-000001");
    assert_int_equal(commit_partition(fake_kv_store_revision(store, "view/number")), KV_OK);
    assert_null(fake_kv_store_get(store, record_key()));
    g_array_unref(commands);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_late_entry_of_a_member_fails, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_late_start_record_of_an_older_view_fails, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_start_record_after_the_abort_fails, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_start_record_contains_the_attempt, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_submission_applied_late_does_not_bring_the_job_back,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_abort_and_done_exclude_each_other, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_abort_takes_the_progress_along, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_shard_of_any_size_records_all_its_starts, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_pages_are_loaded_as_they_are, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_machine_that_fills_a_page_takes_no_more, set_up,
                                        tear_down),
        cmocka_unit_test(test_names_of_pages_are_read_back),
        cmocka_unit_test(test_a_value_that_can_not_be_built_is_never_sent),
        cmocka_unit_test_setup_teardown(test_jobs_of_one_task_cost_few_changes, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_start_on_a_machine_just_up_outlives_its_leader,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("records", tests, NULL, NULL);
}
