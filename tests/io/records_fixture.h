/* Fixture for tests of machine records: a partition, and an in-memory key-value store to which its
 * transactions are applied. */
#ifndef PEPPERPULLEY_RECORDS_FIXTURE_H
#define PEPPERPULLEY_RECORDS_FIXTURE_H

#include "core/membership/fencing_token.h"
#include "core/partition/partition.h"
#include "fake_kv_store.h"
#include "io/codec/codec.h"
#include "io/records.h"
#include "unit_test.h"

typedef struct records_fixture {
    fake_kv_store_t *store;
    partition_t *partition;
    GArray *machine_types; /* of machine_type_t */
    GArray *teams;         /* of team_t */
} records_fixture_t;

/* Sets up view 1, a partition without machines and the machine type t16. */
static inline int records_set_up(void **state)
{
    records_fixture_t *fixture = g_new0(records_fixture_t, 1);
    *state = fixture;
    fixture->store = fake_kv_store_new();
    fixture->machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    fixture->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    g_array_append_val(fixture->machine_types, machine_type);
    fixture->partition = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_set_view(fixture->partition, 1);
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "view/number", json_integer(1), 0);
    fake_kv_store_apply(fixture->store, txn);
    return 0;
}

static inline int records_tear_down(void **state)
{
    records_fixture_t *fixture = *state;
    partition_free(fixture->partition);
    fake_kv_store_free(fixture->store);
    g_array_unref(fixture->machine_types);
    g_array_unref(fixture->teams);
    g_free(fixture);
    return 0;
}

/* Replaces the partition by an empty one in that view, as a controller that takes over has it. */
static inline void fixture_replace_partition(records_fixture_t *fixture, uint64_t view)
{
    partition_free(fixture->partition);
    fixture->partition = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_set_view(fixture->partition, view);
}

/* Writes the number of view 2 to the store. */
static inline void fixture_start_view_2(records_fixture_t *fixture)
{
    kv_txn_t txn = kv_txn_new();
    kv_txn_put(&txn, "view/number", json_integer(2), 0);
    assert_int_equal(fake_kv_store_apply(fixture->store, txn), KV_OK);
}

static inline job_spec_t fixture_job(const char *id, uint32_t tasks)
{
    job_spec_t spec = {.tasks = tasks, .need = {4, 0, 4}, .estimate_s = 10};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.class_name, "c", sizeof spec.class_name);
    g_strlcpy(spec.team, "team-a", sizeof spec.team);
    g_strlcpy(spec.image, "i", sizeof spec.image);
    return spec;
}

/* Handles a heartbeat of a machine without attempts. The sequence number of the heartbeat is also
 * the time at which it arrives, in s. */
static inline void fixture_heartbeat(records_fixture_t *fixture, const char *id, const char *type,
                                     uint64_t heartbeat_sequence)
{
    worker_heartbeat_t heartbeat = {.worker_epoch = 1,
                                    .heartbeat_sequence = heartbeat_sequence,
                                    .fencing_token = fencing_token_first(1),
                                    .interruption_in_s = -1};
    g_strlcpy(heartbeat.machine, id, sizeof heartbeat.machine);
    g_strlcpy(heartbeat.address, "10.1.255.254:9000", sizeof heartbeat.address);
    g_strlcpy(heartbeat.type, type, sizeof heartbeat.type);
    g_strlcpy(heartbeat.zone, "zone-a", sizeof heartbeat.zone);
    heartbeat.attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t));
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    partition_handle_heartbeat(fixture->partition, &heartbeat, false,
                               1000 * (msec_t)heartbeat_sequence, commands);
    worker_heartbeat_clear(&heartbeat);
    g_array_unref(commands);
}

/* Handles a heartbeat of machine m-000001 and places task 0 of the job there, as attempt 100. */
static inline void fixture_place_task(records_fixture_t *fixture, const char *id,
                                      uint64_t job_revision)
{
    fixture_heartbeat(fixture, "m-000001", "t16", 1);
    placement_request_t request = {.need = {4, 0, 4},
                                   .attempt = 100,
                                   .job_revision = job_revision,
                                   .team = "team-a",
                                   .image = "i"};
    g_strlcpy(request.job, id, sizeof request.job);
    assert_non_null(partition_place(fixture->partition, &request, 1000));
}

/* Places `tasks` tasks, three of each job. */
static inline void fixture_place_tasks(records_fixture_t *fixture, guint tasks, double cpus)
{
    for (guint i = 0; i < tasks; i++) {
        placement_request_t request = {
            .need = {cpus, 0, 1.23456789}, .task = 99999, .attempt = (7U << 24) + i};
        g_snprintf(request.job, sizeof request.job, "j-%06u", i / 3);
        g_strlcpy(request.team, "a-team-with-a-name", sizeof request.team);
        g_strlcpy(request.image, "an-image-with-a-name", sizeof request.image);
        request.task = 99000 + i % 3;
        assert_non_null(partition_place(fixture->partition, &request, 1000));
    }
}

/* Takes the batch of records that are due to be committed. */
static inline partition_batch_t *fixture_take_batch(records_fixture_t *fixture)
{
    return partition_batch_take(fixture->partition,
                                &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, 1000);
}

static inline kv_result_t fixture_commit(records_fixture_t *fixture, uint64_t view_revision)
{
    partition_batch_t *batch = fixture_take_batch(fixture);
    kv_result_t result =
        fake_kv_store_apply(fixture->store, records_build_commit(NULL, batch, view_revision));
    partition_batch_free(batch);
    return result;
}

/* Returns the key of the first page of the shard of m-000001. */
static inline const char *fixture_record_key(void)
{
    static char key[SHARD_NAME_BYTES + 16];
    char shard[SHARD_NAME_BYTES];
    shard_of("m-000001", "zone-a", shard, sizeof shard);
    g_snprintf(key, sizeof key, "machines/%s", shard);
    return key;
}

/* Parses the record of a page. Returns false if the key is not that of a page. */
static inline bool fixture_read_page(const char *key, const kv_entry_t *entry,
                                     page_record_t *record)
{
    if (!g_str_has_prefix(key, "machines/"))
        return false;
    assert_true(codec_parse_page_record(key + strlen("machines/"), entry->value, entry->revision,
                                        record, NULL));
    return true;
}

#endif
