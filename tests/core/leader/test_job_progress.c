/* Tests of job progress: it is made durable once, with job completions first and within the limits
 * of a transaction. */
#include "leader_fixture.h"
#include "unit_test.h"

/* Appends the progress that is due at 1000 ms to the batch. Returns the size of its values in
 * bytes. */
static gsize take_progress(leader_fixture_t *fixture, msec_t min_age, guint ops, gsize bytes,
                           GArray *batch)
{
    kv_txn_usage_t usage = {.max_ops = ops, .max_bytes = bytes};
    leader_progress_take(fixture->leader, 1000, min_age, batch, &usage);
    return usage.bytes;
}

/* Undoes the batch, as if its transaction was not executed, and empties it. */
static void undo_progress(leader_fixture_t *fixture, GArray *batch)
{
    leader_progress_undo(fixture->leader, batch);
    g_array_set_size(batch, 0);
}

static const progress_t *progress_at(const GArray *batch, guint index)
{
    return &g_array_index(batch, progress_t, index);
}

static void test_finished_task_is_never_requested_again(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 2);
    const uint8_t bits = 1;
    set_idle_machine(fixture, 0, "zone-a", 20);
    add_job(fixture, &spec);
    leader_load_chunk(fixture->leader, "j-000001", 0, &bits, 1, 8);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 1);
    assert_int_equal(request_at(requests, 0)->request.task, 1);
    finish_task(fixture, request_at(requests, 0));
    g_autoptr(GArray) batch = leader_progress_new();
    take_progress(fixture, 0, 20, KV_TXN_VALUES_BYTES, batch);
    assert_int_equal(batch->len, 1);
    assert_true(progress_at(batch, 0)->is_job_completion);
    g_autoptr(GArray) acknowledged = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    leader_progress_commit(fixture->leader, batch, 9, acknowledged);
    assert_int_equal(acknowledged->len, 1);
}

/* Guards against a delay under a low rate limit: writes for the progress of dozens of jobs kept
 * finished jobs waiting, so that users learned only minutes later that their jobs were done. */
static void test_job_completion_is_taken_before_progress_of_other_jobs(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t unfinished = make_job("j-000001", "team-b", 2);
    job_spec_t finished = make_job("j-000002", "team-b", 1);
    job_spec_t other = make_job("j-000003", "team-b", 2);
    set_idle_machine(fixture, 0, "zone-a", 20);
    add_job(fixture, &unfinished);
    add_job(fixture, &finished);
    add_job(fixture, &other);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 5);
    /* The first task of each job is done. The second job has no other task. */
    bool has_finished[4] = {0};
    for (guint i = 0; i < requests->len; i++) {
        const leader_request_t *leader_request = request_at(requests, i);
        char number = leader_request->request.job[7];
        if (number == '2' || !has_finished[number - '0'])
            finish_task(fixture, leader_request);
        has_finished[number - '0'] = true;
    }
    g_autoptr(GArray) batch = leader_progress_new();
    take_progress(fixture, 0, 3, KV_TXN_VALUES_BYTES, batch);
    assert_int_equal(batch->len, 2); /* the completion, and one chunk within the limit */
    assert_true(progress_at(batch, 0)->is_job_completion);
    assert_string_equal(progress_at(batch, 0)->job, "j-000002");
    undo_progress(fixture, batch);
    take_progress(fixture, 500, 20, KV_TXN_VALUES_BYTES, batch);
    assert_int_equal(batch->len, 1); /* recent progress is not due yet */
}

/* Guards against job completions that are never written. Under a rate limit that permitted
 * one write at a time, the progress of other jobs used each of these writes. A completion that
 * needs more operations than the limit ever permits must not hold up other writes. */
static void test_operations_are_saved_for_a_job_completion_until_it_fits(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t finished = make_job("j-000001", "team-b", 1);
    job_spec_t unfinished = make_job("j-000002", "team-b", 2);
    set_idle_machine(fixture, 0, "zone-a", 20);
    add_job(fixture, &finished);
    add_job(fixture, &unfinished);
    g_autoptr(GArray) requests = schedule(fixture);
    assert_int_equal(requests->len, 3);
    for (guint i = 0; i < 2; i++)
        finish_task(fixture, request_at(requests, i));
    g_autoptr(GArray) batch = leader_progress_new();
    kv_txn_usage_t usage = {.max_ops = 2, .burst_ops = 3, .max_bytes = KV_TXN_VALUES_BYTES};
    leader_progress_take(fixture->leader, 1000, 0, batch, &usage);
    assert_true(usage.has_blocked_completion);
    assert_int_equal(batch->len, 0);
    usage.burst_ops = 2;
    leader_progress_take(fixture->leader, 1000, 0, batch, &usage);
    assert_false(usage.has_blocked_completion);
    assert_int_equal(batch->len, 1);
    undo_progress(fixture, batch);
    usage = (kv_txn_usage_t){.max_ops = 3, .burst_ops = 3, .max_bytes = KV_TXN_VALUES_BYTES};
    leader_progress_take(fixture->leader, 1000, 0, batch, &usage);
    assert_false(usage.has_blocked_completion);
    assert_true(progress_at(batch, 0)->is_job_completion);
}

/* The two tasks of a job end under different leaders, with a third leader in between. The durable
 * bit of the first task must be neither lost nor counted twice. The second task, and with it the
 * job, must be done only after the second task ended. */
static void test_task_completions_add_up_across_leader_changes(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 2);
    set_idle_machine(fixture, 0, "zone-a", 20);
    add_job(fixture, &spec);
    g_autoptr(GArray) requests = schedule(fixture);
    finish_task(fixture, request_at(requests, 0));
    uint64_t attempt = request_at(requests, 1)->request.attempt;
    uint32_t task = request_at(requests, 1)->request.task;
    g_autoptr(GArray) batch = leader_progress_new();
    take_progress(fixture, 0, 20, KV_TXN_VALUES_BYTES, batch);
    assert_int_equal(batch->len, 1);
    const progress_t *first = progress_at(batch, 0);
    assert_false(first->is_job_completion);
    for (uint64_t view = 4; view < 6; view++) {
        replace_leader(fixture, 2, view);
        set_idle_machine(fixture, 0, "zone-a", 20);
        add_job(fixture, &spec);
        leader_load_chunk(fixture->leader, "j-000001", 0, first->bits, first->bytes, 7);
        record_entry_t entry = make_record_entry("j-000001", "team-b", task, attempt);
        load_attempt(fixture, &entry, "zone-a", 0);
        assert_int_equal(schedule_and_count(fixture), 0); /* one done, one outstanding */
    }
    handle_result(fixture, 0, task_ref("j-000001", task, attempt), CAUSE_DONE);
    handle_result(fixture, 0, task_ref("j-000001", task, attempt), CAUSE_DONE); /* again */
    g_autoptr(GArray) completions = leader_progress_new();
    take_progress(fixture, 0, 20, KV_TXN_VALUES_BYTES, completions);
    assert_int_equal(completions->len, 1);
    assert_true(progress_at(completions, 0)->is_job_completion);
    assert_int_equal(progress_at(completions, 0)->done, 2);
}

/* Adds a job with the maximum number of tasks, of which one in each chunk was done at 900 ms. */
static void add_largest_job(leader_fixture_t *fixture, const char *id)
{
    job_spec_t spec = make_job(id, "team-b", TASKS_MAX_COUNT);
    spec.need.cpus = 0.01;
    add_job(fixture, &spec);
    for (guint chunk = 0; chunk * CHUNK_BITS < TASKS_MAX_COUNT; chunk++) {
        task_ref_t ref = task_ref(id, chunk * CHUNK_BITS, 1 + chunk);
        record_entry_t entry = make_record_entry(id, "team-b", ref.task, ref.attempt);
        entry.need = (resources_t){0};
        load_attempt(fixture, &entry, "zone-a", 0);
        attempt_result_t done = {.ref = ref, .cause = CAUSE_DONE};
        leader_handle_result(fixture->leader, 0, &done, 900);
    }
}

/* Guards against transactions that are too large. The progress of jobs with 100,000 tasks together
 * with full pages of machine records exceeded the limit of a transaction. It was refused as
 * invalid, and all data was read again, in an endless loop. */
static void test_progress_of_large_jobs_stays_within_the_byte_limit(void **state)
{
    leader_fixture_t *fixture = *state;
    set_idle_machine(fixture, 0, "zone-a", 400);
    for (guint i = 0; i < 8; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        add_largest_job(fixture, id);
    }
    g_autoptr(GArray) batch = leader_progress_new();
    assert_in_range(take_progress(fixture, 0, 1000, KV_TXN_VALUES_BYTES / 2, batch), 1,
                    KV_TXN_VALUES_BYTES / 2);
    assert_int_equal(batch->len, 7); /* the chunks of one job; another job's would not fit */
    undo_progress(fixture, batch);
    assert_int_equal(take_progress(fixture, 0, 1000, 1000, batch), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_finished_task_is_never_requested_again, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_job_completion_is_taken_before_progress_of_other_jobs,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_operations_are_saved_for_a_job_completion_until_it_fits, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_progress_of_large_jobs_stays_within_the_byte_limit,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_task_completions_add_up_across_leader_changes,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("job_progress", tests, NULL, NULL);
}
