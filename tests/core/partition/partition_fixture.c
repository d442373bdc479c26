#include "partition_fixture.h"
#include "unit_test.h"

enum { VIEW = 7, RESERVATION_TTL_MS = 30000 };

int partition_fixture_set_up(void **state)
{
    partition_fixture_t *fixture = g_new0(partition_fixture_t, 1);
    fixture->machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    g_array_append_val(fixture->machine_types, machine_type);
    fixture->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    fixture->partition = partition_fixture_new_partition(fixture, VIEW);
    fixture->worker = fake_worker_new("m-000001");
    fixture->worker->fencing_token = fencing_token_first(VIEW); /* the worker has seen this view */
    fixture->commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    fixture->now = 1000;
    fixture->revision = 10;
    *state = fixture;
    return 0;
}

int partition_fixture_tear_down(void **state)
{
    partition_fixture_t *fixture = *state;
    partition_free(fixture->partition);
    fake_worker_free(fixture->worker);
    g_array_unref(fixture->commands);
    g_array_unref(fixture->machine_types);
    g_array_unref(fixture->teams);
    g_free(fixture);
    return 0;
}

partition_t *partition_fixture_new_partition(const partition_fixture_t *fixture, uint64_t view)
{
    partition_t *partition =
        partition_new(fixture->machine_types, fixture->teams, RESERVATION_TTL_MS);
    partition_set_view(partition, view);
    return partition;
}

machine_t *fixture_machine(const partition_fixture_t *fixture)
{
    return g_hash_table_lookup(fixture->partition->machines, "m-000001");
}

heartbeat_verdict_t deliver_heartbeat(partition_fixture_t *fixture, worker_heartbeat_t *heartbeat,
                                      bool is_push_answer)
{
    g_array_set_size(fixture->commands, 0);
    heartbeat_verdict_t verdict = partition_handle_heartbeat(
        fixture->partition, heartbeat, is_push_answer, fixture->now, fixture->commands);
    worker_heartbeat_clear(heartbeat);
    return verdict;
}

void exchange_heartbeat(partition_fixture_t *fixture)
{
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver_heartbeat(fixture, &heartbeat, false), HEARTBEAT_ACCEPTED);
    uint64_t fencing_token = partition_fencing_token(fixture->partition, fixture->worker->id);
    assert_true(fake_worker_handle_answer(fixture->worker, fencing_token, fixture->commands));
    fixture->now += 1000;
}

placement_request_t placement_request_of(const char *job, uint32_t task, uint64_t attempt,
                                         double cpus)
{
    placement_request_t request = {
        .need = {cpus, 0, 4}, .task = task, .attempt = attempt, .job_revision = 5};
    g_strlcpy(request.job, job, sizeof request.job);
    g_strlcpy(request.team, "team-a", sizeof request.team);
    return request;
}

void place_task(partition_fixture_t *fixture, const char *job, uint32_t task, uint64_t attempt)
{
    placement_request_t request = placement_request_of(job, task, attempt, 4);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

partition_batch_t *take_batch(partition_fixture_t *fixture)
{
    const partition_limits_t limits = {
        .ops = 20, .jobs = 80, .value_max = 16384, .bytes = KV_TXN_VALUES_BYTES};
    return partition_batch_take(fixture->partition, &limits, fixture->now);
}

void commit_batch(partition_fixture_t *fixture)
{
    partition_batch_t *batch = take_batch(fixture);
    partition_batch_commit(fixture->partition, batch, ++fixture->revision, fixture->now);
    partition_batch_free(batch);
}

void commit_deferred(partition_fixture_t *fixture)
{
    partition_tick(fixture->partition, fixture->now);
    fixture->now += RECORD_FLUSH_DELAY_MS;
    commit_batch(fixture);
}

void run_to_completion(partition_fixture_t *fixture)
{
    exchange_heartbeat(fixture);
    place_task(fixture, "j-000001", 0, 100);
    commit_batch(fixture);
    exchange_heartbeat(fixture);
    fake_worker_exit_attempts(fixture->worker, "j-000001", 0, CAUSE_DONE);
    exchange_heartbeat(fixture);
}

void load_page_record(partition_fixture_t *fixture)
{
    page_record_t record = {.revision = 9, .machines = machine_records_new()};
    machine_record_t machine = {.worker_epoch = 1,
                                .address = "10.1.0.1:9000",
                                .type = "t16",
                                .zone = "zone-a",
                                .machine = "m-000001"};
    machine.entries = g_array_new(FALSE, FALSE, sizeof(record_entry_t));
    record_entry_t entry = {
        .job = "j-000001", .team = "team-a", .image = "i", .need = {4, 0, 4}, .attempt = 55};
    g_array_append_val(machine.entries, entry);
    g_array_append_val(record.machines, machine);
    shard_of(machine.machine, machine.zone, record.shard, sizeof record.shard);
    partition_load_record(fixture->partition, &record, fixture->now);
    g_array_unref(record.machines);
}

guint count_commands(const partition_fixture_t *fixture, worker_command_op_t op)
{
    guint count = 0;
    for (guint i = 0; i < fixture->commands->len; i++)
        count += g_array_index(fixture->commands, worker_command_t, i).op == op;
    return count;
}

bool has_result(const partition_fixture_t *fixture, uint32_t task, cause_t cause)
{
    const GArray *results = partition_results(fixture->partition);
    for (guint i = 0; i < results->len; i++) {
        const attempt_result_t *result = &g_array_index(results, attempt_result_t, i);
        if (result->ref.task == task && result->cause == cause)
            return true;
    }
    return false;
}
