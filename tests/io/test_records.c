/* Tests of the transactions on the key-value store when they are executed late, repeatedly or
 * concurrently with others. */
#include "records_fixture.h"

/* A write of a member's entry that is executed after a newer write of the same controller must
 * fail. Otherwise it would bind the entry to the old lease, which ends, and the controller would
 * drop out of the view. */
static void test_member_entry_executed_late_is_refused(void **state)
{
    records_fixture_t *fixture = *state;
    member_t self = {.name = "controller-1", .zone = "zone-a", .incarnation = 5};
    kv_txn_t late = records_build_member(&self, 0, 1);
    assert_int_equal(fake_kv_store_apply(fixture->store, records_build_member(&self, 0, 2)), KV_OK);
    uint64_t revision = fake_kv_store_revision(fixture->store, "view/members/controller-1");
    assert_int_equal(fake_kv_store_apply(fixture->store, late), KV_CONFLICT);
    assert_int_equal(fake_kv_store_revision(fixture->store, "view/members/controller-1"), revision);
    assert_int_equal(fake_kv_store_apply(fixture->store, records_build_member(&self, revision, 3)),
                     KV_OK);
}

static void test_start_record_of_an_older_view_is_refused(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 1);
    uint64_t view = fake_kv_store_revision(fixture->store, "view/number");
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    fixture_place_task(fixture, "j-000001",
                       fake_kv_store_revision(fixture->store, "jobs/j-000001"));
    fixture_start_view_2(fixture);
    assert_int_equal(fixture_commit(fixture, view), KV_CONFLICT);
    assert_null(fake_kv_store_get(fixture->store, fixture_record_key()));
}

static void test_start_record_after_cancellation_is_refused(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 1);
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    uint64_t revision = fake_kv_store_revision(fixture->store, "jobs/j-000001");
    fixture_place_task(fixture, "j-000001", revision);
    assert_int_equal(
        fake_kv_store_apply(fixture->store, records_build_cancellation("j-000001", revision, 1)),
        KV_OK);
    assert_int_equal(fixture_commit(fixture, fake_kv_store_revision(fixture->store, "view/number")),
                     KV_CONFLICT);
}

static void test_start_record_contains_the_attempt(void **state)
{
    records_fixture_t *fixture = *state;
    page_record_t record;
    g_autoptr(GError) error = NULL;
    job_spec_t spec = fixture_job("j-000001", 1);
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    fixture_place_task(fixture, "j-000001",
                       fake_kv_store_revision(fixture->store, "jobs/j-000001"));
    assert_int_equal(fixture_commit(fixture, fake_kv_store_revision(fixture->store, "view/number")),
                     KV_OK);
    const kv_entry_t *entry = fake_kv_store_get(fixture->store, fixture_record_key());
    assert_non_null(entry);
    assert_true(codec_parse_page_record(entry->key + strlen("machines/"), entry->value,
                                        entry->revision, &record, NULL));
    assert_int_equal(record.machines->len, 1);
    const machine_record_t *machine = &g_array_index(record.machines, machine_record_t, 0);
    assert_string_equal(machine->machine, "m-000001");
    assert_int_equal(machine->entries->len, 1);
    const record_entry_t *attempt = &g_array_index(machine->entries, record_entry_t, 0);
    assert_int_equal(attempt->attempt, 100);
    assert_string_equal(attempt->job, "j-000001");
    assert_true(attempt->need.cpus > 3.9 && attempt->need.memory > 3.9);
    g_array_unref(record.machines);
    /* Under the key of another shard the record is invalid: its machine would have two owners. */
    assert_false(
        codec_parse_page_record("zone-a.99", entry->value, entry->revision, &record, &error));
    assert_true(g_error_matches(error, CODEC_ERROR, CODEC_ERROR_VALUE));
}

static void test_submission_executed_late_does_not_restore_the_job(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 1);
    kv_txn_t late = records_build_submission(&spec);
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    fake_kv_store_apply(
        fixture->store,
        records_build_cancellation("j-000001",
                                   fake_kv_store_revision(fixture->store, "jobs/j-000001"), 1));
    assert_int_equal(fake_kv_store_apply(fixture->store, late), KV_CONFLICT);
    assert_null(fake_kv_store_get(fixture->store, "jobs/j-000001"));
    assert_non_null(fake_kv_store_get(fixture->store, "ended/j-000001"));
}

static void test_finished_job_cannot_be_cancelled(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 1);
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    uint64_t revision = fake_kv_store_revision(fixture->store, "jobs/j-000001");
    progress_t end = {
        .job = "j-000001", .is_job_completion = true, .done = 1, .job_revision = revision};
    end.chunk_revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *progress = g_array_new(FALSE, FALSE, sizeof(progress_t));
    g_array_append_val(progress, end);
    partition_batch_t *empty_batch = fixture_take_batch(fixture);
    uint64_t view = fake_kv_store_revision(fixture->store, "view/number");
    assert_int_equal(
        fake_kv_store_apply(fixture->store, records_build_commit(progress, empty_batch, view)),
        KV_OK);
    assert_int_equal(
        fake_kv_store_apply(fixture->store, records_build_cancellation("j-000001", revision, 1)),
        KV_CONFLICT);
    const kv_entry_t *ended = fake_kv_store_get(fixture->store, "ended/j-000001");
    assert_string_equal(json_string_value(json_object_get(ended->value, "Trim")), "done");
    g_array_unref(end.chunk_revisions);
    g_array_unref(progress);
    partition_batch_free(empty_batch);
}

static void test_cancellation_deletes_the_progress(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 20000);
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "done/j-000001/0", json_integer(1), 0);
    kv_txn_put(&txn, "done/j-000001/1", json_integer(1), 0);
    fake_kv_store_apply(fixture->store, txn);
    fake_kv_store_apply(
        fixture->store,
        records_build_cancellation("j-000001",
                                   fake_kv_store_revision(fixture->store, "jobs/j-000001"), 20000));
    assert_null(fake_kv_store_get(fixture->store, "done/j-000001/0"));
    assert_null(fake_kv_store_get(fixture->store, "done/j-000001/1"));
}

static void test_transaction_with_an_invalid_value_is_not_sent(void **state)
{
    (void)state;
    kv_store_t store = {0};
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "machines/m-000001", NULL, 0);
    assert_int_equal(kv_commit(&store, NULL, &txn, 1, NULL, NULL), KV_INVALID);
    kv_txn_free(&txn);
}

static guint count_changes(kv_txn_t txn)
{
    guint count = (guint)json_array_size(txn.changes);
    kv_txn_free(&txn);
    return count;
}

/* Each change counts towards the write rate limit of the key-value store. */
static void test_jobs_with_one_task_need_few_changes(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 1);
    assert_int_equal(count_changes(records_build_submission(&spec)), 1);
    assert_int_equal(count_changes(records_build_cancellation("j-000001", 5, 1)), 2);
    assert_int_equal(count_changes(records_build_cancellation("j-000001", 5, 2)),
                     3); /* it may have progress */
    fixture_heartbeat(fixture, "m-000001", "t16", 1);
    fixture_place_tasks(fixture, 8, 2); /* all their starts are in one record */
    partition_batch_t *batch = fixture_take_batch(fixture);
    assert_int_equal(count_changes(records_build_commit(NULL, batch, 1)), 1);
    partition_batch_free(batch);
}

/* A task is placed on a machine that is not in the cloud's list yet, the answer to the commit of
 * the machine's record is lost, and the leader fails. The next leader knows the machine and the
 * task from the record alone. It must contact the machine at once and keep the attempt until the
 * attempt is proven to be over. */
static void test_start_on_a_new_machine_survives_leader_failure(void **state)
{
    records_fixture_t *fixture = *state;
    job_spec_t spec = fixture_job("j-000001", 1);
    fake_kv_store_apply(fixture->store, records_build_submission(&spec));
    uint64_t view = fake_kv_store_revision(fixture->store, "view/number");
    fixture_place_task(fixture, "j-000001",
                       fake_kv_store_revision(fixture->store, "jobs/j-000001"));
    partition_batch_t *batch = fixture_take_batch(fixture);
    kv_txn_t late = records_build_commit(NULL, batch, view);
    assert_int_equal(fake_kv_store_apply(fixture->store, records_build_commit(NULL, batch, view)),
                     KV_OK);
    partition_batch_free(batch);
    fixture_start_view_2(fixture);
    fixture_replace_partition(fixture, 2);
    page_record_t record = {0};
    assert_true(fixture_read_page(
        fixture_record_key(), fake_kv_store_get(fixture->store, fixture_record_key()), &record));
    partition_load_record(fixture->partition, &record, 1000);
    g_array_unref(record.machines);
    assert_int_equal(fake_kv_store_apply(fixture->store, late), KV_CONFLICT); /* executed again */
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    const machine_t *machine = partition_take_push(fixture->partition, G_MAXUINT32, 1000, commands);
    assert_string_equal(machine_address(machine), "10.1.255.254:9000");
    assert_int_equal(commands->len, 0);               /* a probe, without commands */
    fixture_heartbeat(fixture, "m-000001", "t16", 2); /* with the fencing token of view 1 */
    assert_int_equal(partition_results(fixture->partition)->len, 0);
    assert_int_equal(partition_attempt_count(fixture->partition), 1);
    partition_record_machine_terminated(fixture->partition, "m-000001");
    assert_int_equal(fixture_commit(fixture, fake_kv_store_revision(fixture->store, "view/number")),
                     KV_OK);
    assert_null(fake_kv_store_get(fixture->store, fixture_record_key()));
    g_array_unref(commands);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_member_entry_executed_late_is_refused, records_set_up,
                                        records_tear_down),
        cmocka_unit_test_setup_teardown(test_start_record_of_an_older_view_is_refused,
                                        records_set_up, records_tear_down),
        cmocka_unit_test_setup_teardown(test_start_record_after_cancellation_is_refused,
                                        records_set_up, records_tear_down),
        cmocka_unit_test_setup_teardown(test_start_record_contains_the_attempt, records_set_up,
                                        records_tear_down),
        cmocka_unit_test_setup_teardown(test_submission_executed_late_does_not_restore_the_job,
                                        records_set_up, records_tear_down),
        cmocka_unit_test_setup_teardown(test_finished_job_cannot_be_cancelled, records_set_up,
                                        records_tear_down),
        cmocka_unit_test_setup_teardown(test_cancellation_deletes_the_progress, records_set_up,
                                        records_tear_down),
        cmocka_unit_test(test_transaction_with_an_invalid_value_is_not_sent),
        cmocka_unit_test_setup_teardown(test_jobs_with_one_task_need_few_changes, records_set_up,
                                        records_tear_down),
        cmocka_unit_test_setup_teardown(test_start_on_a_new_machine_survives_leader_failure,
                                        records_set_up, records_tear_down),
    };
    return cmocka_run_group_tests_name("records", tests, NULL, NULL);
}
