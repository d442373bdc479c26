/* Tests of the pages of machine records: their size, how they are split, and their names. */
#include "records_fixture.h"

enum {
    MACHINES_COUNT = 90,
    TASKS_PER_MACHINE_COUNT = 8,
    VALUE_MAX_BYTES = 16384,
    TXN_MAX_BYTES = 64 * 1024
};

/* Returns the ids of MACHINES_COUNT machines of one shard, which is more than a shard has in a zone
 * with a thousand machines. */
static GPtrArray *machines_of_one_shard(void)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    char own_shard[SHARD_NAME_BYTES];
    char shard[SHARD_NAME_BYTES];
    shard_of("m-000001", "zone-a", own_shard, sizeof own_shard);
    for (guint i = 1; ids->len < MACHINES_COUNT; i++) {
        char *id = g_strdup_printf("m-%06u", i);
        shard_of(id, "zone-a", shard, sizeof shard);
        if (strcmp(shard, own_shard) == 0)
            g_ptr_array_add(ids, id);
        else
            g_free(id);
    }
    return ids;
}

/* Makes a commit, checks that it is within the limits, and returns the number of pages in it. If
 * `is_refused`, the commit requires the revision of another view and must fail. */
static guint commit_within_limits(records_fixture_t *fixture, bool is_refused)
{
    uint64_t view = fake_kv_store_revision(fixture->store, "view/number") - is_refused;
    partition_batch_t *batch = partition_batch_take(
        fixture->partition, &(partition_limits_t){24, 96, VALUE_MAX_BYTES, KV_TXN_VALUES_BYTES},
        1000);
    kv_txn_t txn = records_build_commit(NULL, batch, view);
    size_t i;
    json_t *change;
    json_array_foreach(txn.changes, i, change)
    {
        char *value = json_dumps(json_object_get(change, "Value"), JSON_COMPACT | JSON_ENCODE_ANY);
        assert_true(!value || strlen(value) <= VALUE_MAX_BYTES);
        free(value);
    }
    json_t *body = json_pack("{s:O,s:O}", "If", txn.conditions, "Then", txn.changes);
    char *text = json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(9));
    assert_true(strlen(text) <= TXN_MAX_BYTES);
    assert_in_range(json_array_size(txn.changes), 0, 24);
    assert_in_range(json_array_size(txn.conditions), 1, 96);
    free(text);
    json_decref(body);
    guint records = batch->records->len;
    kv_result_t result = fake_kv_store_apply(fixture->store, txn);
    assert_int_equal(result, is_refused ? KV_CONFLICT : KV_OK);
    if (is_refused)
        partition_batch_undo(fixture->partition, batch);
    else
        partition_batch_commit(fixture->partition, batch, fixture->store->revision, 1000);
    partition_batch_free(batch);
    return records;
}

/* Returns the number of recorded attempts and collects the ids of the recorded machines in the set
 * `machines`. Checks that each machine is recorded under one key only. */
static guint count_recorded_attempts(records_fixture_t *fixture, GHashTable *machines)
{
    guint attempts = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_remove_all(machines);
    g_hash_table_iter_init(&iter, fixture->store->keys);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        page_record_t record;
        if (!fixture_read_page(key, value, &record))
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

/* Guards against starts that are never recorded because the record of a large shard exceeds the
 * size limit of a value. The requests have job revision 0 and the jobs do not exist, so the
 * conditions on jobs hold. */
static void test_large_shard_records_all_its_starts(void **state)
{
    records_fixture_t *fixture = *state;
    GPtrArray *ids = machines_of_one_shard();
    GHashTable *machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < ids->len; i++)
        fixture_heartbeat(fixture, g_ptr_array_index(ids, i), "t16", 1);
    fixture_place_tasks(fixture, MACHINES_COUNT * TASKS_PER_MACHINE_COUNT, 2);
    /* Some commits are refused. Pages that were split in memory for a refused commit must be
     * written together by a later one. */
    for (guint round = 0; round < 60; round++) {
        commit_within_limits(fixture, round % 3 == 1);
        count_recorded_attempts(fixture, machines);
    }
    assert_int_equal(count_recorded_attempts(fixture, machines),
                     MACHINES_COUNT * TASKS_PER_MACHINE_COUNT);
    assert_int_equal(g_hash_table_size(machines), MACHINES_COUNT);
    assert_in_range(g_hash_table_size(fixture->store->keys), 3, 24);
    /* Without changes nothing is written. */
    assert_int_equal(commit_within_limits(fixture, false), 0);
    g_hash_table_unref(machines);
    g_ptr_array_unref(ids);
}

/* A controller that takes over a shard must load its pages as the former owner wrote them. */
static void test_pages_load_as_they_were_written(void **state)
{
    records_fixture_t *fixture = *state;
    GPtrArray *ids = machines_of_one_shard();
    for (guint i = 0; i < ids->len; i++)
        fixture_heartbeat(fixture, g_ptr_array_index(ids, i), "t16", 1);
    fixture_place_tasks(fixture, MACHINES_COUNT * TASKS_PER_MACHINE_COUNT, 2);
    for (guint round = 0; round < 40; round++)
        commit_within_limits(fixture, false);
    fixture_replace_partition(fixture, 1);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, fixture->store->keys);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        page_record_t record;
        if (!fixture_read_page(key, value, &record))
            continue;
        partition_load_record(fixture->partition, &record, 1000);
        g_array_unref(record.machines);
    }
    assert_int_equal(partition_attempt_count(fixture->partition),
                     MACHINES_COUNT * TASKS_PER_MACHINE_COUNT);
    /* The write of the terminated machine's page requires the revision that was loaded. */
    partition_record_machine_terminated(fixture->partition, g_ptr_array_index(ids, 0));
    assert_int_equal(commit_within_limits(fixture, false), 1);
    assert_int_equal(partition_attempt_count(fixture->partition),
                     (MACHINES_COUNT - 1) * TASKS_PER_MACHINE_COUNT);
    g_ptr_array_unref(ids);
}

/* A page has a size limit, so it cannot record all the small tasks that fit on a large machine. The
 * machine must then refuse more tasks, because their starts would never be recorded and their
 * reservations would be kept forever. It must accept tasks again once others have ended. */
static void test_machine_with_a_full_page_refuses_tasks(void **state)
{
    records_fixture_t *fixture = *state;
    machine_type_t large = {.name = "t1000", .capacity = {1000, 0, 4000}};
    g_array_append_val(fixture->machine_types, large);
    fixture_heartbeat(fixture, "m-000001", "t1000", 1);
    fixture_place_tasks(fixture, 600, 1);
    guint before = 0;
    guint after = 1;
    GHashTable *machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    while (before != after) {
        before = count_recorded_attempts(fixture, machines);
        commit_within_limits(fixture, false);
        commit_within_limits(fixture, false);
        after = count_recorded_attempts(fixture, machines);
    }
    assert_in_range(after, 100, 599);
    placement_request_t request = {.need = {1, 0, 1}, .job = "j-000999", .attempt = 9U << 24};
    assert_null(partition_place(fixture->partition, &request, 1000));
    partition_end_job(fixture->partition, "j-000000");
    fixture_heartbeat(fixture, "m-000001", "t1000", 2);
    commit_within_limits(fixture, false);
    assert_non_null(partition_place(fixture->partition, &request, 2000));
    g_hash_table_unref(machines);
}

static void test_page_names_are_parsed_back(void **state)
{
    (void)state;
    char name[PAGE_NAME_BYTES];
    char shard[SHARD_NAME_BYTES];
    guint page = 9;
    page_name("zone-c+1.b.07", 0, name, sizeof name);
    assert_string_equal(name, "zone-c+1.b.07"); /* as versions without pages wrote it */
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

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_large_shard_records_all_its_starts, records_set_up,
                                        records_tear_down),
        cmocka_unit_test_setup_teardown(test_pages_load_as_they_were_written, records_set_up,
                                        records_tear_down),
        cmocka_unit_test_setup_teardown(test_machine_with_a_full_page_refuses_tasks, records_set_up,
                                        records_tear_down),
        cmocka_unit_test(test_page_names_are_parsed_back),
    };
    return cmocka_run_group_tests_name("machine pages", tests, NULL, NULL);
}
