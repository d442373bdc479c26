/* Checks that the service writes and reads exactly the bytes in tests/samples, as deployed versions
 * do. During an update, controllers of the old and the new version must read each other's data. */
#include "controller/api/reply.h"
#include "io/codec/codec.h"
#include "io/records.h"
#include "policy/policy.h"
#include "sample_files.h"

/* Consumes the transaction. */
static void assert_txn_sample(const char *name, kv_txn_t txn)
{
    assert_false(txn.is_invalid);
    assert_json_is_sample(name, json_pack("[o,o]", txn.conditions, txn.changes));
}

static job_spec_t submitted_job(void)
{
    job_spec_t spec;
    json_t *body = read_json_sample("job_submission.json");
    assert_true(codec_parse_job(body, false, &spec, NULL));
    json_decref(body);
    spec.submitted_ms = 1700000000123;
    return spec;
}

static void assert_is_submitted_job(const job_spec_t *spec)
{
    assert_string_equal(spec->id, "j-000412");
    assert_string_equal(spec->class_name, "train");
    assert_string_equal(spec->team, "vision");
    assert_string_equal(spec->image, "img-07");
    assert_string_equal(spec->zone, "north");
    assert_string_equal(spec->types[0], "g8");
    assert_string_equal(spec->types[1], "g4");
    assert_null(spec->types[2]);
    assert_int_equal(spec->kind, KIND_GANG);
    assert_int_equal(spec->priority, PRIORITY_HIGH);
    assert_int_equal(spec->tasks, 16);
    assert_true(spec->need.cpus == 8.5 && spec->need.gpus == 1 && spec->need.memory == 64);
    assert_true(spec->needs_same_zone && !spec->needs_spread && spec->may_use_spot);
    assert_true(spec->image_gb == 6.25 && spec->estimate_s == 240.5 && spec->checkpoint_s == 30);
    assert_true(spec->save_s == 4 && spec->deadline_s == 900);
}

static void test_submitted_job_is_read(void **state)
{
    (void)state;
    job_spec_t spec = submitted_job();
    assert_is_submitted_job(&spec);
    job_spec_clear(&spec);
}

static void test_stored_job_matches_sample(void **state)
{
    (void)state;
    job_spec_t spec = submitted_job();
    assert_json_is_sample("job_stored.json", codec_build_job(&spec));
    job_spec_clear(&spec);
}

static void test_stored_job_is_read(void **state)
{
    (void)state;
    job_spec_t spec;
    json_t *value = read_json_sample("job_stored.json");
    assert_true(codec_parse_job(value, true, &spec, NULL));
    assert_is_submitted_job(&spec);
    assert_int_equal(spec.submitted_ms, 1700000000123);
    job_spec_clear(&spec);
    json_decref(value);
}

/* None of the optional fields of these jobs is set. */
static void test_each_kind_and_priority_of_a_job_matches_sample(void **state)
{
    (void)state;
    json_t *jobs = json_array();
    for (int priority = PRIORITY_LOW; priority <= PRIORITY_CRITICAL; priority++) {
        job_spec_t spec = {.id = "j-000007",
                           .class_name = "batch",
                           .team = "red",
                           .image = "img-1",
                           .kind = (job_kind_t)(priority % (KIND_SERVICE + 1)),
                           .priority = (priority_t)priority,
                           .tasks = 1,
                           .need = {1, 0, 0.123456789},
                           .needs_spread = true};
        json_array_append_new(jobs, codec_build_job(&spec));
    }
    assert_json_is_sample("jobs_stored.json", jobs);
}

static void test_each_kind_and_priority_of_a_stored_job_is_read(void **state)
{
    (void)state;
    json_t *jobs = read_json_sample("jobs_stored.json");
    assert_int_equal(json_array_size(jobs), PRIORITY_CRITICAL + 1);
    for (int priority = PRIORITY_LOW; priority <= PRIORITY_CRITICAL; priority++) {
        job_spec_t spec;
        assert_true(codec_parse_job(json_array_get(jobs, (size_t)priority), true, &spec, NULL));
        assert_int_equal(spec.priority, priority);
        assert_int_equal(spec.kind, priority % (KIND_SERVICE + 1));
        assert_true(spec.needs_spread && !spec.types && !spec.zone[0] && spec.deadline_s == 0);
        job_spec_clear(&spec);
    }
    json_decref(jobs);
}

static void test_answers_to_users_match_samples(void **state)
{
    (void)state;
    assert_json_is_sample("answer_status.json", codec_build_status("j-000412", "running", 7, 5));
    assert_json_is_sample("answer_refusal.json",
                          api_reply_refusal(HTTP_BAD_REQUEST, "Cpus", 0).body);
    assert_json_is_sample("answer_come_back.json", api_reply_retry_later().body);
}

static void test_worker_heartbeat_is_read(void **state)
{
    (void)state;
    static const task_state_t states[] = {TASK_FETCHING, TASK_RUNNING, TASK_SAVING, TASK_FETCHING};
    worker_heartbeat_t heartbeat;
    char *text = read_sample("worker_report.json");
    assert_true(codec_parse_worker_heartbeat(text, strlen(text), &heartbeat, NULL));
    assert_string_equal(heartbeat.machine, "m-000231");
    assert_string_equal(heartbeat.address, "10.1.0.232:9000");
    assert_string_equal(heartbeat.type, "g8");
    assert_string_equal(heartbeat.zone, "north");
    assert_true(heartbeat.is_spot && heartbeat.interruption_in_s == 12.5);
    assert_int_equal(heartbeat.worker_epoch, 31);
    assert_int_equal(heartbeat.heartbeat_sequence, 88);
    assert_int_equal(heartbeat.fencing_token, 41);
    assert_int_equal(heartbeat.attempts->len, G_N_ELEMENTS(states) + CAUSE_GANG_INCOMPLETE + 1);
    for (guint i = 0; i < heartbeat.attempts->len; i++) {
        const reported_attempt_t *item = &g_array_index(heartbeat.attempts, reported_attempt_t, i);
        bool has_exited = i >= G_N_ELEMENTS(states);
        guint cause = has_exited ? i - G_N_ELEMENTS(states) : CAUSE_NONE;
        assert_string_equal(item->job, has_exited ? "j-000398" : "j-000412");
        assert_int_equal(item->task, has_exited ? 10 + cause : 3 + i);
        assert_int_equal(item->attempt, 2 + i);
        assert_int_equal(item->state, has_exited ? TASK_EXITED : states[i]);
        assert_int_equal(item->cause, cause);
    }
    worker_heartbeat_clear(&heartbeat);
    g_free(text);
}

static void test_answers_to_workers_match_samples(void **state)
{
    (void)state;
    worker_command_t run = {COMMAND_RUN, "j-000412", 3, 1ULL << 40, 0, REASON_RECORDED};
    worker_command_t stop = {COMMAND_STOP, "j-000398", 4, 6, 2.5, REASON_UNRECORDED};
    worker_command_t forget = {COMMAND_FORGET, "j-000397", 5, 7, 0, REASON_EXITED};
    GArray *list = g_array_append_val(g_array_new(FALSE, FALSE, sizeof run), run);
    g_array_append_val(g_array_append_val(list, stop), forget);
    assert_json_is_sample("worker_answer.json", codec_build_commands(41, list));
    assert_json_is_sample("worker_answer_quiet.json", codec_build_commands(42, NULL));
    assert_json_is_sample("worker_direct.json", codec_build_pushed_commands(43, 31, list));
    g_array_unref(list);
}

static void test_requests_to_the_cloud_match_samples(void **state)
{
    (void)state;
    GPtrArray *machines = g_ptr_array_new();
    g_ptr_array_add(machines, "m-000001");
    g_ptr_array_add(machines, "m-000002");
    assert_json_is_sample("cloud_rental.json",
                          codec_build_scale_out("node-1-5", "g8", "north", true, 3));
    assert_json_is_sample("cloud_release.json", codec_build_scale_in(machines));
    g_ptr_array_unref(machines);
}

static void test_machine_types_of_the_cloud_are_read(void **state)
{
    (void)state;
    json_t *body = read_json_sample("cloud_machine_types.json");
    GArray *types = codec_parse_machine_types(body);
    assert_non_null(types);
    assert_int_equal(types->len, 1);
    const machine_type_t *type = &g_array_index(types, machine_type_t, 0);
    assert_string_equal(type->name, "g8");
    assert_true(type->capacity.cpus == 8 && type->capacity.gpus == 1);
    assert_true(type->capacity.memory == 64 && type->price == 2.5);
    assert_true(type->spot_price == 0.75 && type->boot_s == 21);
    assert_string_equal(type->zones[0], "north");
    assert_string_equal(type->zones[1], "south");
    g_array_unref(types);
    json_decref(body);
}

static void test_list_of_machines_of_the_cloud_is_read(void **state)
{
    (void)state;
    static const cloud_machine_t expected[] = {
        {"m-000001", "g8", "north", true, CLOUD_MACHINE_BOOTING, 3.5},
        {"m-000002", "c16", "south", false, CLOUD_MACHINE_RUNNING, 40.5},
        {"m-000003", "c32", "east", false, CLOUD_MACHINE_FAILED, 7}};
    bool has_more = false;
    GArray *machines = g_array_new(FALSE, FALSE, sizeof(cloud_machine_t));
    json_t *body = read_json_sample("cloud_machines.json");
    assert_true(codec_parse_cloud_machines(body, machines, &has_more));
    assert_true(has_more);
    assert_int_equal(machines->len, G_N_ELEMENTS(expected));
    for (guint i = 0; i < machines->len; i++) {
        const cloud_machine_t *machine = &g_array_index(machines, cloud_machine_t, i);
        assert_string_equal(machine->machine, expected[i].machine);
        assert_string_equal(machine->type, expected[i].type);
        assert_string_equal(machine->zone, expected[i].zone);
        assert_int_equal(machine->is_spot, expected[i].is_spot);
        assert_int_equal(machine->state, expected[i].state);
        assert_true(machine->age_s == expected[i].age_s);
    }
    g_array_unref(machines);
    json_decref(body);
}

/* Returns a page with a machine that runs tasks of two jobs and an idle machine. */
static page_record_t sample_page(uint64_t revision)
{
    page_record_t record = {.page = 2, .revision = revision, .machines = machine_records_new()};
    machine_record_t busy = {"m-000001", "10.1.0.1:9000", "g8", "north", true, 31, NULL};
    machine_record_t idle = {"m-000063", "10.1.0.2:9000", "c16", "north", false, 32, NULL};
    record_entry_t entry = {"j-000412", "vision", "img-07", {8.5, 1, 64}, PRIORITY_HIGH,
                            4,          30,       3,        1ULL << 40};
    busy.entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t));
    idle.entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t));
    g_array_append_val(busy.entries, entry);
    entry.task = 5;
    g_array_append_val(busy.entries, entry);
    g_strlcpy(entry.job, "j-000398", sizeof entry.job);
    g_array_append_val(busy.entries, entry);
    g_array_append_val(record.machines, busy);
    g_array_append_val(record.machines, idle);
    shard_of(busy.machine, busy.zone, record.shard, sizeof record.shard);
    return record;
}

static void test_page_of_machine_records_matches_sample(void **state)
{
    (void)state;
    page_record_t record = sample_page(0);
    assert_json_is_sample("machines.json", codec_build_page_record(&record));
    g_array_unref(record.machines);
}

static void test_page_of_machine_records_is_read(void **state)
{
    (void)state;
    page_record_t record;
    page_record_t expected = sample_page(9);
    json_t *value = read_json_sample("machines.json");
    char name[PAGE_NAME_BYTES];
    page_name(expected.shard, expected.page, name, sizeof name);
    assert_true(codec_parse_page_record(name, value, 9, &record, NULL));
    const machine_record_t *machines = &g_array_index(record.machines, machine_record_t, 0);
    assert_int_equal(record.machines->len, 2);
    assert_string_equal(machines[1].machine, "m-000063");
    assert_string_equal(machines[0].address, "10.1.0.1:9000");
    assert_string_equal(machines[0].type, "g8");
    assert_true(machines[0].is_spot && !machines[1].is_spot && machines[0].worker_epoch == 31);
    assert_int_equal(machines[0].entries->len, 3);
    const record_entry_t *entries = &g_array_index(machines[0].entries, record_entry_t, 0);
    assert_string_equal(entries[0].job, "j-000412");
    assert_string_equal(entries[0].team, "vision");
    assert_string_equal(entries[0].image, "img-07");
    assert_true(entries[0].need.cpus == 8.5 && entries[0].need.memory == 64);
    assert_true(entries[0].save_s == 4 && entries[0].checkpoint_s == 30);
    assert_int_equal(entries[0].priority, PRIORITY_HIGH);
    assert_int_equal(entries[1].task, 5);
    assert_true(entries[1].attempt == 1ULL << 40);
    assert_string_equal(entries[2].job, "j-000398");
    g_array_unref(record.machines);
    g_array_unref(expected.machines);
    json_decref(value);
}

static void test_owners_of_machines_match_sample(void **state)
{
    (void)state;
    const member_t members[] = {
        {"node-1", "north", 1, false}, {"node-2", "south", 2, false}, {"node-3", "north", 3, true}};
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < 24; i++) {
        char machine[ID_BYTES];
        char shard[SHARD_NAME_BYTES];
        const char *zone = i % 3 ? "east" : "north";
        g_snprintf(machine, sizeof machine, "m-%06u", i * 7);
        shard_of(machine, zone, shard, sizeof shard);
        guint owner = owner_of(members, G_N_ELEMENTS(members), machine, zone);
        g_string_append_printf(text, "%s %s %s\n", machine, shard, members[owner].name);
    }
    g_string_truncate(text, text->len - 1);
    assert_text_is_sample("owners.txt", text->str);
    g_string_free(text, TRUE);
}

/* The commit records starts of two jobs. It needs a separate condition on j-000555 only, because
 * the write of the progress of j-000412 already requires the revision of that job. */
static void test_commit_matches_sample(void **state)
{
    (void)state;
    const uint64_t chunk_revisions[] = {11, 0, 13};
    GArray *progress = leader_progress_new();
    progress_t entry = {"j-000412", false, 9, 101, 1, 12, g_memdup2("\x81\xff\x02", 3), 3, NULL};
    g_array_append_val(progress, entry);
    progress_t end = {
        .job = "j-000398", .is_job_completion = true, .done = 20000, .job_revision = 102};
    end.chunk_revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(end.chunk_revisions, chunk_revisions, G_N_ELEMENTS(chunk_revisions));
    g_array_append_val(progress, end);
    partition_batch_t batch = {.records = g_array_new(FALSE, FALSE, sizeof(page_record_t)),
                               .jobs = g_hash_table_new(g_str_hash, g_str_equal)};
    page_record_t page = sample_page(103);
    page_record_t empty = {"south.01", 0, 104, machine_records_new()};
    g_array_append_val(batch.records, page);
    g_array_append_val(batch.records, empty);
    g_hash_table_insert(batch.jobs, "j-000412", GSIZE_TO_POINTER(101));
    g_hash_table_insert(batch.jobs, "j-000555", GSIZE_TO_POINTER(105));
    assert_txn_sample("txn_commit.json", records_build_commit(progress, &batch, 100));
    g_array_unref(page.machines);
    g_array_unref(empty.machines);
    g_array_unref(batch.records);
    g_hash_table_unref(batch.jobs);
    g_array_unref(progress);
}

static void test_progress_is_read(void **state)
{
    (void)state;
    gsize bytes = 0;
    json_t *commit = read_json_sample("txn_commit.json");
    json_t *change = json_array_get(json_array_get(commit, 1), 0);
    uint8_t *bits = codec_parse_progress_chunk(json_object_get(change, "Value"), &bytes);
    assert_int_equal(bytes, 3);
    assert_memory_equal(bits, "\x81\xff\x02", 3);
    g_free(bits);
    json_decref(commit);
}

static void test_other_transactions_match_samples(void **state)
{
    (void)state;
    const member_t self = {"node-2", "south", 1700000000456, true};
    job_spec_t spec = submitted_job();
    assert_txn_sample("txn_submit.json", records_build_submission(&spec));
    assert_txn_sample("txn_abort.json", records_build_cancellation("j-000412", 21, CHUNK_BITS + 1));
    assert_txn_sample("txn_abort_single.json", records_build_cancellation("j-000412", 22, 1));
    assert_txn_sample("txn_member.json", records_build_member(&self, 23, 24));
    job_spec_clear(&spec);
}

/* The sample covers the names and words of settings. No tunable has its default value. */
static void test_settings_are_read(void **state)
{
    (void)state;
    static const double expected[TUNABLE_COUNT] = {31, 65,  25,  1.25, 1.5, 33,
                                                   22, 0.0, 0.0, 121,  0.5, 1};
    const policy_env_t env = {
        .number = {PRIORITY_HIGH, 8, 64, 16, 240, 900, [ATTR_MACHINE_SPOT] = 1, 12, 48},
        .text = {[ATTR_JOB_CLASS] = "train",
                 [ATTR_JOB_TEAM] = "vision",
                 [ATTR_MACHINE_TYPE] = "g8",
                 [ATTR_MACHINE_ZONE] = "north"}};
    GPtrArray *errors = policy_errors_new();
    char *text = read_sample("settings.policy");
    policy_t *policy = policy_compile("settings.policy", text, errors);
    assert_non_null(policy);
    for (int tunable = 0; tunable < TUNABLE_COUNT; tunable++)
        if (policy_value(policy, (policy_tunable_t)tunable, &env) != expected[tunable])
            fail_msg("sample settings.policy: tunable %d has the wrong value", tunable);
    policy_free(policy);
    g_ptr_array_unref(errors);
    g_free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_submitted_job_is_read),
        cmocka_unit_test(test_stored_job_matches_sample),
        cmocka_unit_test(test_stored_job_is_read),
        cmocka_unit_test(test_each_kind_and_priority_of_a_job_matches_sample),
        cmocka_unit_test(test_each_kind_and_priority_of_a_stored_job_is_read),
        cmocka_unit_test(test_answers_to_users_match_samples),
        cmocka_unit_test(test_worker_heartbeat_is_read),
        cmocka_unit_test(test_answers_to_workers_match_samples),
        cmocka_unit_test(test_requests_to_the_cloud_match_samples),
        cmocka_unit_test(test_machine_types_of_the_cloud_are_read),
        cmocka_unit_test(test_list_of_machines_of_the_cloud_is_read),
        cmocka_unit_test(test_page_of_machine_records_matches_sample),
        cmocka_unit_test(test_page_of_machine_records_is_read),
        cmocka_unit_test(test_owners_of_machines_match_sample),
        cmocka_unit_test(test_commit_matches_sample),
        cmocka_unit_test(test_progress_is_read),
        cmocka_unit_test(test_other_transactions_match_samples),
        cmocka_unit_test(test_settings_are_read),
    };
    return cmocka_run_group_tests_name("encoding_samples", tests, NULL, NULL);
}
