/* Tests of one partition and its workers: when a task may be placed again, and when not. */

#include "core/partition/partition.h"
#include "unit_test.h"
#include "worker.h"

typedef struct fixture {
    GArray *machine_types;
    GArray *teams;
    partition_t *partition;
    fake_worker_t *worker;
    GArray *commands;
    uint64_t revision;
    msec_t now;
} fixture_t;

static fixture_t *fixture;

static int set_up(void **state)
{
    (void)state;
    fixture = g_new0(fixture_t, 1);
    fixture->machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    g_array_append_val(fixture->machine_types, machine_type);
    fixture->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    fixture->partition = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_set_view(fixture->partition, 7);
    fixture->worker = fake_worker_new("m-000001");
    fixture->worker->fencing_token = 7; /* it has heard of this view */
    fixture->commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    fixture->now = 1000;
    fixture->revision = 10;
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    partition_free(fixture->partition);
    fake_worker_free(fixture->worker);
    g_array_unref(fixture->commands);
    g_array_unref(fixture->machine_types);
    g_array_unref(fixture->teams);
    g_free(fixture);
    return 0;
}

static heartbeat_verdict_t deliver(worker_heartbeat_t *heartbeat, bool is_push)
{
    g_array_set_size(fixture->commands, 0);
    heartbeat_verdict_t verdict = partition_handle_heartbeat(fixture->partition, heartbeat, is_push,
                                                             fixture->now, fixture->commands);
    worker_heartbeat_clear(heartbeat);
    return verdict;
}

/* One heartbeat, taken and answered. */
static void exchange(void)
{
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver(&heartbeat, false), HEARTBEAT_ACCEPTED);
    assert_true(fake_worker_answer(fixture->worker, fixture->partition->view, fixture->commands));
    fixture->now += 1000;
}

static placement_request_t request_of(const char *job, uint32_t task, uint64_t attempt, double cpus)
{
    placement_request_t request = {
        .need = {cpus, 0, 4}, .task = task, .attempt = attempt, .job_revision = 5};
    g_strlcpy(request.job, job, sizeof request.job);
    g_strlcpy(request.team, "team-a", sizeof request.team);
    return request;
}

static void commit(void)
{
    partition_batch_t *batch = partition_batch_take(
        fixture->partition, &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES},
        fixture->now);
    partition_batch_commit(fixture->partition, batch, ++fixture->revision, fixture->now);
    partition_batch_free(batch);
}

static void place(const char *job, uint32_t task, uint64_t attempt)
{
    placement_request_t request = request_of(job, task, attempt, 4);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

static guint count_commands(worker_command_op_t op)
{
    guint count = 0;
    for (guint i = 0; i < fixture->commands->len; i++)
        count += g_array_index(fixture->commands, worker_command_t, i).op == op;
    return count;
}

/* Has the leader been told that the attempt is over, with this cause? */
static bool has_result(uint32_t task, cause_t cause)
{
    for (guint i = 0; i < fixture->partition->results->len; i++) {
        const attempt_result_t *result =
            &g_array_index(fixture->partition->results, attempt_result_t, i);
        if (result->ref.task == task && result->cause == cause)
            return true;
    }
    return false;
}

static void test_start_follows_its_record(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    exchange();
    assert_int_equal(fixture->worker->runs, 0); /* not recorded: not sent */
    commit();
    exchange();
    assert_int_equal(fixture->worker->runs, 1);
    exchange();
    assert_int_equal(count_commands(COMMAND_RUN), 0); /* listed: not sent again */
}

static void test_lost_answer_repeats_the_same_attempt(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver(&heartbeat, false);
    assert_int_equal(count_commands(COMMAND_RUN), 1); /* this answer is lost */
    exchange();
    assert_int_equal(fixture->worker->runs, 1);
    assert_int_equal(fixture->partition->results->len, 0);
}

/* Nobody looks at what a heartbeat says anew that says nothing new: rounds of placing and commits
 * follow changes, not reports. */
static void test_a_report_that_says_nothing_new_is_no_change(void **state)
{
    (void)state;
    uint64_t changes = fixture->partition->changes;
    exchange();
    assert_true(fixture->partition->changes > changes); /* the machine takes starts */
    place("j-000001", 0, 100);
    commit();
    exchange();
    exchange();
    changes = fixture->partition->changes;
    for (guint i = 0; i < 10; i++)
        exchange();
    assert_int_equal(fixture->partition->changes, changes);
    fake_worker_exit(fixture->worker, "j-000001", 0, CAUSE_DONE);
    exchange();
    assert_true(fixture->partition->changes > changes);
    changes = fixture->partition->changes;
    fixture->now += 20000; /* silent, then heard again */
    exchange();
    exchange();
    assert_true(fixture->partition->changes > changes);
}

/* Each machine has a dispatcher that keeps a connection to it; others serve it only in its place.
 */
static void test_commands_go_by_the_sender_of_their_machine(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    const machine_t *machine = g_hash_table_lookup(fixture->partition->machines, "m-000001");
    uint32_t own = 1U << machine->dispatcher_index;
    assert_int_equal(partition_due_dispatchers(fixture->partition, fixture->now), own);
    assert_null(partition_take_push(fixture->partition, ~own, fixture->now, fixture->commands));
    assert_ptr_equal(partition_take_push(fixture->partition, own, fixture->now, fixture->commands),
                     machine);
    assert_int_equal(partition_due_dispatchers(fixture->partition, fixture->now), 0);
}

/* Tasks of jobs with near ids came to lie under the same hash, a chain of them for each. */
static void test_tasks_of_near_jobs_have_hashes_of_their_own(void **state)
{
    (void)state;
    enum { JOBS = 50, TASKS = 200 };
    GHashTable *hashes = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < JOBS; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        for (uint32_t task = 0; task < TASKS; task++) {
            task_ref_t ref = task_ref(id, task, 1);
            g_hash_table_add(hashes, GUINT_TO_POINTER(task_ref_hash(&ref)));
        }
    }
    assert_int_equal(g_hash_table_size(hashes), JOBS * TASKS);
    g_hash_table_unref(hashes);
}

static void test_silence_is_no_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    fixture->now += (msec_t)3600 * 1000;
    partition_tick(fixture->partition, fixture->now);
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    assert_int_equal(g_hash_table_size(fixture->partition->attempts), 1);
}

static void test_lapsed_reservation_frees_resources_but_not_the_task(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    machine_t *machine = g_hash_table_lookup(fixture->partition->machines, "m-000001");
    assert_true(partition_free_resources(machine).cpus < 12.5);
    fixture->now += 30000;
    partition_tick(fixture->partition, fixture->now);
    assert_true(partition_free_resources(machine).cpus > 15.5);
    assert_int_equal(g_hash_table_size(fixture->partition->attempts), 1);
    assert_int_equal(fixture->partition->results->len, 0);
}

static void test_new_session_proves_the_old_one_over(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    fake_worker_lose_lease(fixture->worker);
    exchange();
    assert_int_equal(fixture->partition->results->len, 0); /* told only once the record is gone */
    commit();
    assert_true(has_result(0, CAUSE_NONE));
    assert_int_equal(g_hash_table_size(fixture->partition->attempts), 0);
}

static void test_late_report_of_an_old_session_is_dropped(void **state)
{
    (void)state;
    exchange();
    worker_heartbeat_t late = fake_worker_heartbeat(fixture->worker);
    fake_worker_lose_lease(fixture->worker);
    exchange();
    assert_int_equal(deliver(&late, false), HEARTBEAT_DUPLICATE);
}

/* The answer to a pushed command may overtake a heartbeat. Refused, its worker would leave for
 * another controller; so it is answered, and nothing of it is taken. */
static void test_overtaken_report_changes_nothing(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    worker_heartbeat_t late = fake_worker_heartbeat(fixture->worker);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_non_null(partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, commands));
    assert_true(fake_worker_push(fixture->worker, 7, 1, commands));
    g_array_unref(commands);
    worker_heartbeat_t answer = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver(&answer, true), HEARTBEAT_ACCEPTED); /* the task runs and is listed */
    assert_int_equal(deliver(&late, false), HEARTBEAT_OUT_OF_ORDER);
    assert_int_equal(fixture->commands->len, 0);
    assert_true(
        ((machine_t *)g_hash_table_lookup(fixture->partition->machines, "m-000001"))->running == 1);
}

/* Acknowledged results leave the record with the next start, or when it has waited for one. */
static void commit_later(void)
{
    partition_tick(fixture->partition, fixture->now);
    fixture->now += RECORD_FLUSH_DELAY_MS;
    commit();
}

/* The task is done, and its worker has said so. */
static void run_to_the_end(void)
{
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    fake_worker_exit(fixture->worker, "j-000001", 0, CAUSE_DONE);
    exchange();
}

static void test_done_is_forgotten_only_when_acknowledged(void **state)
{
    (void)state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_the_end();
    assert_true(has_result(0, CAUSE_DONE));
    commit();
    exchange();
    assert_int_equal(count_commands(COMMAND_FORGET), 0);
    partition_acknowledge(fixture->partition, &ref);
    commit_later();
    exchange();
    assert_int_equal(count_commands(COMMAND_FORGET), 1);
    assert_int_equal(fixture->worker->attempts->len, 0);
}

/* Every write of a key is paid for: a result that is acknowledged goes with the next start on any
 * of the shard's machines, and has no write of its own before. */
static void test_acknowledged_result_goes_with_the_next_start(void **state)
{
    (void)state;
    task_ref_t ref = task_ref("j-000001", 0, 100);
    run_to_the_end();
    partition_tick(fixture->partition, fixture->now);
    partition_acknowledge(fixture->partition, &ref);
    partition_batch_t *batch = partition_batch_take(
        fixture->partition, &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES},
        fixture->now);
    assert_int_equal(batch->records->len, 0);
    partition_batch_free(batch);
    place("j-000001", 1, 101);
    batch = partition_batch_take(fixture->partition,
                                 &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES},
                                 fixture->now);
    assert_int_equal(batch->records->len, 1);
    const page_record_t *record = &g_array_index(batch->records, page_record_t, 0);
    const machine_record_t *machine = &g_array_index(record->machines, machine_record_t, 0);
    assert_int_equal(machine->entries->len, 1); /* the start, and no more the result */
    assert_int_equal(g_array_index(machine->entries, record_entry_t, 0).attempt, 101);
    partition_batch_commit(fixture->partition, batch, ++fixture->revision, fixture->now);
    partition_batch_free(batch);
    assert_int_equal(g_hash_table_size(fixture->partition->attempts), 1);
}

/* A direct `run` got no answer and arrives after the task has ended: were the attempt forgotten
 * before, the worker would start it a second time. */
static void test_late_run_meets_a_worker_that_still_knows_it(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    GArray *late = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_non_null(partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, late));
    partition_finish_push(fixture->partition, "m-000001", late, 7, PUSH_UNANSWERED);
    exchange(); /* the heartbeat's answer starts it */
    assert_int_equal(fixture->worker->runs, 1);
    fake_worker_exit(fixture->worker, "j-000001", 0, CAUSE_ERROR);
    exchange();
    commit();
    exchange();
    assert_int_equal(count_commands(COMMAND_FORGET), 0);
    assert_true(partition_needs_new_fencing_token(fixture->partition));
    assert_true(fake_worker_push(fixture->worker, 7, 1, late));
    assert_int_equal(fixture->worker->runs, 1);
    /* With the fencing token moved on, the copy is void and the attempt may be forgotten. */
    partition_set_view(fixture->partition, 8);
    exchange();
    exchange();
    assert_int_equal(fixture->worker->attempts->len, 0);
    assert_false(fake_worker_push(fixture->worker, 7, 1, late));
    assert_int_equal(fixture->worker->runs, 1);
    g_array_unref(late);
}

static void test_abort_racing_a_start_under_way_waits_for_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    GArray *late = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, late);
    partition_end_job(fixture->partition, "j-000001");
    exchange(); /* not listed, but the pushed command may still arrive */
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    assert_true(fake_worker_push(fixture->worker, 7, 1, late));
    partition_finish_push(fixture->partition, "m-000001", late, 7, PUSH_UNANSWERED);
    exchange();
    assert_int_equal(fake_worker_active(fixture->worker), 0); /* stopped as soon as it is seen */
    exchange();
    commit();
    assert_true(has_result(0, CAUSE_STOPPED));
    g_array_unref(late);
}

static void test_abort_before_the_record_drops_the_start(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    partition_end_job(fixture->partition, "j-000001");
    commit();
    exchange();
    assert_int_equal(fixture->worker->runs, 0);
    assert_int_equal(g_hash_table_size(fixture->partition->attempts), 0);
}

static void test_abort_racing_done_frees_the_result(void **state)
{
    (void)state;
    run_to_the_end();
    partition_end_job(fixture->partition, "j-000001"); /* nobody will acknowledge it now */
    commit_later();
    exchange();
    assert_int_equal(fixture->worker->attempts->len, 0);
}

/* Two controllers believe that they own the machine: the one with the older token can neither
 * start anything there nor take its heartbeat for its own. */
static void test_older_owner_is_powerless(void **state)
{
    (void)state;
    partition_t *older = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_set_view(older, 6);
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    partition_handle_heartbeat(older, &heartbeat, false, fixture->now, commands);
    assert_false(fake_worker_answer(fixture->worker, 6, commands));
    assert_int_equal(fake_worker_active(fixture->worker), 1);
    worker_heartbeat_clear(&heartbeat);
    g_array_unref(commands);
    partition_free(older);
}

/* The partition takes over a record of an earlier view with one attempt. */
static void load_record(void)
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
    partition_load(fixture->partition, &record, fixture->now);
    g_array_unref(record.machines);
}

/* The record of an earlier view: its attempts stand until the worker, under this view's fencing
 * token, says otherwise; one it does not know is sent again under the same number. */
static void test_new_view_takes_over_from_the_record(void **state)
{
    (void)state;
    load_record();
    exchange();
    assert_int_equal(fixture->worker->runs, 1);
    exchange();
    assert_int_equal(fixture->worker->runs, 1);
    assert_int_equal(g_hash_table_size(fixture->partition->attempts), 1);
}

/* At a view every half minute, machines that were being emptied took work again each time, and few
 * were ever returned. */
static void test_a_drain_survives_a_view(void **state)
{
    (void)state;
    load_record();
    exchange();
    partition_set_draining(fixture->partition, "m-000001", true);
    partition_t *earlier = fixture->partition;
    fixture->partition = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_inherit_drains(fixture->partition, earlier);
    partition_free(earlier);
    partition_set_view(fixture->partition, 8);
    load_record();
    fixture->worker->fencing_token = 8;
    exchange();
    placement_request_t request = request_of("j-000002", 0, 200, 1);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    /* It ends with the leader's word, for later views too. */
    partition_set_draining(fixture->partition, "m-000001", false);
    earlier = fixture->partition;
    fixture->partition = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_inherit_drains(fixture->partition, earlier);
    partition_free(earlier);
    assert_int_equal(g_hash_table_size(fixture->partition->draining), 0);
}

/* Cancelled under an earlier view: absence proves nothing before the worker has seen this fencing
 * token. */
static void test_absence_needs_the_present_token(void **state)
{
    (void)state;
    load_record();
    partition_end_job(fixture->partition, "j-000001");
    fixture->worker->fencing_token = 6;
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver(&heartbeat, false), HEARTBEAT_UNVERIFIED);
    fake_worker_answer(fixture->worker, 7, fixture->commands);
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    exchange();
    commit();
    assert_true(has_result(0, CAUSE_STOPPED));
}

/* Nobody here knows what was cancelled of late: what is recorded waits, and starts when it is
 * known.
 */
static void test_no_start_leaves_while_cancellations_may_be_unknown(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    place("j-000002", 0, 101);
    commit();
    partition_pause_starts(fixture->partition, true);
    exchange();
    assert_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands));
    assert_int_equal(fixture->worker->runs, 0);
    partition_end_job(fixture->partition, "j-000002"); /* a sibling says so */
    partition_pause_starts(fixture->partition, false);
    exchange();
    assert_int_equal(fixture->worker->runs, 1);
    assert_string_equal(g_array_index(fixture->worker->attempts, reported_attempt_t, 0).job,
                        "j-000001");
}

static const worker_command_t *the_stop(void)
{
    for (guint i = 0; i < fixture->commands->len; i++)
        if (g_array_index(fixture->commands, worker_command_t, i).op == COMMAND_STOP)
            return &g_array_index(fixture->commands, worker_command_t, i);
    return NULL;
}

/* A task that was given time to save, or still fetches, when its job is cancelled. */
static void test_a_cancellation_gives_no_time_to_save(void **state)
{
    (void)state;
    const task_state_t states[] = {TASK_SAVING, TASK_FETCHING};
    exchange();
    for (uint32_t i = 0; i < 2; i++) {
        placement_request_t request = request_of("j-000001", i, 100 + i, 4);
        request.checkpoint_s = 30;
        request.save_s = 10;
        partition_place(fixture->partition, &request, fixture->now);
        commit();
        exchange();
        g_array_index(fixture->worker->attempts, reported_attempt_t, i).state = states[i];
        task_ref_t ref = task_ref("j-000001", i, 100 + i);
        partition_withdraw(fixture->partition, &ref, fixture->now);
    }
    partition_end_job(fixture->partition, "j-000001");
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver(&heartbeat, false);
    assert_int_equal(count_commands(COMMAND_STOP), 2);
    assert_true(the_stop()->grace_s == 0);
}

/* All controllers were away for longer than a lease: the workers killed everything. Each record is
 * over with the second report, whose token shows that it is no copy, and may be placed again. */
static void test_after_all_were_away_each_record_is_over_at_once(void **state)
{
    (void)state;
    load_record();
    fixture->worker->fencing_token = 6;
    fixture->worker->heartbeat_sequence = 40;
    fake_worker_lose_lease(fixture->worker);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver(&heartbeat, false), HEARTBEAT_UNVERIFIED);
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    fake_worker_answer(fixture->worker, 7, fixture->commands);
    exchange();
    assert_int_equal(fixture->worker->runs, 0); /* not sent again under the old attempt */
    commit();
    assert_true(has_result(0, CAUSE_NONE));
}

/* A leader ended while this machine, with a long task, could not be reached, or does not hear the
 * new one's answers: its heartbeats come, under the old token. The attempt stands, in the record
 * too, until the cloud says that the machine is gone. */
static void test_a_deaf_machine_keeps_its_task_through_a_change_of_leader(void **state)
{
    (void)state;
    load_record();
    fixture->worker->fencing_token = 6;
    reported_attempt_t reported_attempt = {.job = "j-000001", .attempt = 55, .state = TASK_RUNNING};
    g_array_append_val(fixture->worker->attempts, reported_attempt);
    for (int i = 0; i < 4; i++) {
        worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
        assert_int_equal(deliver(&heartbeat, false), HEARTBEAT_UNVERIFIED);
        fixture->now += 15000;
    }
    fake_worker_lose_lease(fixture->worker);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver(&heartbeat, false);
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    partition_machine_terminated(fixture->partition, "m-000001");
    commit();
    assert_true(has_result(0, CAUSE_NONE));
}

static const machine_t *the_machine(void)
{
    return g_hash_table_lookup(fixture->partition->machines, "m-000001");
}

/* A fresh owner, after a restart or a change of view, has nothing to compare a heartbeat with. A
 * copy from minutes ago must not rewind session or address, prove absence, forget, or keep alive.
 */
static void test_copy_at_a_fresh_owner_changes_nothing(void **state)
{
    (void)state;
    load_record();
    partition_end_job(fixture->partition, "j-000001");
    fake_worker_t *past = fake_worker_new("m-000001");
    past->fencing_token = 6;
    past->heartbeat_sequence = 40;
    worker_heartbeat_t copy = fake_worker_heartbeat(past);
    g_strlcpy(copy.address, "10.9.9.9:1", sizeof copy.address);
    fixture->now += 5000;
    assert_int_equal(deliver(&copy, false), HEARTBEAT_UNVERIFIED);
    assert_int_equal(fixture->commands->len, 0);
    assert_string_equal(the_machine()->address, "10.1.0.1:9000");
    assert_int_equal(the_machine()->last_acknowledged_at, fixture->now - 5000);
    assert_false(partition_is_reachable(fixture->partition, the_machine(), fixture->now));
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    fake_worker_free(past);
}

/* At the owner that saw the original: not newer than it, so nothing of it counts, and the machine
 * stays as silent as it is. */
static void test_copy_at_the_owner_keeps_nothing_alive(void **state)
{
    (void)state;
    exchange();
    worker_heartbeat_t original = fake_worker_heartbeat(fixture->worker);
    worker_heartbeat_t copy = original;
    copy.attempts = g_array_copy(original.attempts);
    deliver(&original, false);
    msec_t last = fixture->now;
    place("j-000001", 0, 100);
    commit();
    fixture->now += 20000;
    assert_int_equal(deliver(&copy, false), HEARTBEAT_DUPLICATE);
    assert_int_equal(the_machine()->last_acknowledged_at, last);
    assert_int_equal(the_machine()->last_heartbeat_at, last);
    assert_int_equal(the_machine()->reservations->len, 1); /* confirmed by nothing */
    assert_int_equal(fixture->commands->len, 0);
}

/* Heartbeats come, answers and commands are lost: the worker waits 4 s for each answer and goes
 * from controller to controller, so it is heard here every 15 s. Starts sent there would all be
 * lost with its lease, time after time. */
static void test_reporting_but_unreached_machine_gets_no_starts(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000001", 1, 101, 4);
    exchange();
    place("j-000001", 0, 100);
    commit();
    exchange();
    for (int round = 0; round < 3; round++) {
        fixture->now += 15000;
        fake_worker_lose_lease(fixture->worker);
        worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
        assert_int_equal(deliver(&heartbeat, false), HEARTBEAT_ACCEPTED);
        assert_null(partition_place(fixture->partition, &request, fixture->now));
        assert_true(fixture->now - the_machine()->last_acknowledged_at >=
                    15000); /* as good as silent */
        commit();
        assert_true(
            has_result(0, CAUSE_NONE)); /* its new session is proof: the task goes on elsewhere */
    }
    exchange();
    exchange(); /* a second report at once: the answer has arrived */
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

static const machine_t *probe(push_result_t result)
{
    const machine_t *machine =
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands);
    if (!machine)
        return NULL;
    assert_int_equal(fixture->commands->len, 0);
    partition_finish_push(fixture->partition, "m-000001", fixture->commands, 7, result);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    if (result <= PUSH_REFUSED)
        assert_int_equal(deliver(&heartbeat, true), HEARTBEAT_ACCEPTED);
    else
        worker_heartbeat_clear(&heartbeat);
    if (result == PUSH_EXECUTED)
        partition_record_probe_answer(fixture->partition, "m-000001", fixture->now);
    return machine;
}

/* With reports 3 s apart, each change of view closed every machine for up to 4 s. A new owner asks;
 * the answer to a command of its own view is no copy. */
static void test_new_owner_asks_and_need_not_wait_for_a_report(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000009", 0, 900, 4);
    load_record();
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    assert_non_null(probe(PUSH_EXECUTED));
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    /* It opens the machine for a moment only: leases are renewed by heartbeats. */
    request.task = 1;
    fixture->now += fixture->partition->acknowledgement_timeout;
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    /* A heartbeat from before this view is still perhaps a copy. */
    worker_heartbeat_t copy = fake_worker_heartbeat(fixture->worker);
    copy.fencing_token = 6;
    assert_int_equal(deliver(&copy, false), HEARTBEAT_UNVERIFIED);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    exchange();
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

/* On a small share of a processor, probes of all machines take longer than their next heartbeats:
 * only those that stay silent are asked. */
static void test_delayed_probes_ask_only_machines_that_stay_silent(void **state)
{
    (void)state;
    partition_delay_probes(fixture->partition, 1.0);
    load_record();
    assert_int_equal(partition_due_dispatchers(fixture->partition, fixture->now), 0);
    assert_null(probe(PUSH_EXECUTED));
    fixture->now += fixture->partition->probe_delay;
    assert_int_not_equal(partition_due_dispatchers(fixture->partition, fixture->now), 0);
    assert_non_null(probe(PUSH_EXECUTED));
    /* One that reported in time is open without being asked. */
    partition_free(fixture->partition);
    fixture->partition = partition_new(fixture->machine_types, fixture->teams, 30000);
    partition_set_view(fixture->partition, 7);
    partition_delay_probes(fixture->partition, 1.0);
    load_record();
    exchange();
    placement_request_t request = request_of("j-000009", 0, 900, 4);
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    fixture->now += fixture->partition->probe_delay;
    exchange();
    partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands);
    assert_int_equal(fixture->partition->probes_in_flight, 0);
}

static void test_probe_that_is_refused_or_lost_opens_nothing(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000009", 0, 900, 4);
    load_record();
    assert_non_null(probe(PUSH_REFUSED)); /* another session, or a higher fencing token */
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    assert_null(probe(PUSH_EXECUTED)); /* it is asked once */
    assert_int_equal(fixture->partition->probes_in_flight, 0);
    exchange();
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

/* At 3 s and a half more between reports, a machine looked unreached each time, for 4 s was the
 * limit; after lease_s + 5 s of that it was released, with all its tasks. */
static void test_workers_that_report_seldom_are_not_taken_for_silent(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000001", 0, 100, 1);
    partition_set_heartbeat_interval(fixture->partition, 3.0);
    exchange();
    for (uint32_t i = 0; i < 8; i++) {
        fixture->now += 3500; /* and 1 s in exchange() */
        request.task = i;
        request.attempt = 100 + i;
        assert_non_null(partition_place(fixture->partition, &request, fixture->now));
        exchange();
        assert_true(fixture->now - the_machine()->last_acknowledged_at <= 1000);
    }
}

/* A worker that reaches no controller, while commands reach it: its lease ends all the same. The
 * refused command's body shows the new session, and that is proof; its old one has none. */
static void test_a_mute_machine_is_resolved_by_the_answer_to_a_command(void **state)
{
    (void)state;
    load_record();
    assert_non_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands));
    assert_int_equal(fixture->commands->len, 0);
    worker_heartbeat_t same = fake_worker_heartbeat(fixture->worker);
    assert_int_equal(deliver(&same, true),
                     HEARTBEAT_ACCEPTED); /* it lists nothing: no proof by itself */
    commit();
    assert_int_equal(fixture->partition->results->len, 0);
    fake_worker_lose_lease(fixture->worker);
    worker_heartbeat_t answer = fake_worker_heartbeat(fixture->worker);
    deliver(&answer, true);
    partition_finish_push(fixture->partition, "m-000001", fixture->commands, 7, PUSH_REFUSED);
    commit();
    assert_true(has_result(0, CAUSE_NONE));
    placement_request_t request = request_of("j-000009", 0, 900, 4);
    fixture->now += fixture->partition->acknowledgement_timeout;
    assert_null(partition_place(fixture->partition, &request,
                                fixture->now)); /* its leases can't be renewed */
}

/* A command to a machine that hangs holds a dispatcher for its whole patience. It gets no further
 * one, and no start, until it shows that it is reached; those behind it in the queue have their
 * turn. */
static void test_hanging_machine_blocks_one_sender_once(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000001", 1, 101, 4);
    exchange();
    place("j-000001", 0, 100);
    commit();
    machine_t *machine =
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands);
    assert_ptr_equal(machine, the_machine());
    partition_finish_push(fixture->partition, "m-000001", fixture->commands, 7, PUSH_UNANSWERED);
    partition_end_job(fixture->partition, "j-000001"); /* wants a stop there */
    assert_null(
        partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, fixture->commands));
    assert_null(partition_place(fixture->partition, &request, fixture->now));
    exchange();
    exchange();
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
}

static void test_released_machine_is_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    partition_machine_terminated(fixture->partition, "m-000001");
    commit();
    assert_true(has_result(0, CAUSE_NONE));
    assert_int_equal(g_hash_table_size(fixture->partition->machines), 0);
}

/* Its resources would look free, and starts would wait there for minutes. */
static void test_copy_does_not_bring_a_released_machine_back(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000001", 0, 100, 4);
    exchange();
    worker_heartbeat_t copy = fake_worker_heartbeat(fixture->worker);
    partition_machine_terminated(fixture->partition, "m-000001");
    commit();
    assert_int_equal(deliver(&copy, false), HEARTBEAT_DUPLICATE);
    assert_int_equal(g_hash_table_size(fixture->partition->machines), 0);
    assert_null(partition_place(fixture->partition, &request, fixture->now));
}

static void test_full_machine_is_skipped(void **state)
{
    (void)state;
    placement_request_t request = request_of("j-000001", 0, 100, 10);
    placement_request_t second = request_of("j-000001", 1, 101, 10);
    exchange();
    assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    assert_null(partition_place(fixture->partition, &second, fixture->now));
}

static void test_lower_pressure_wins_and_equals_take_turns(void **state)
{
    (void)state;
    fake_worker_t *other = fake_worker_new("m-000002");
    other->fencing_token = 7;
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(other);
    exchange();
    deliver(&heartbeat, false);
    guint first = 0;
    for (uint32_t i = 0; i < 4; i++) {
        placement_request_t request = request_of("j-000001", i, 100 + i, 4);
        machine_t *machine = partition_place(fixture->partition, &request, fixture->now);
        assert_non_null(machine);
        first += strcmp(machine->id, "m-000001") == 0;
    }
    assert_int_equal(first, 2);
    fake_worker_free(other);
}

/* Four tasks take all of the machine, and have run long enough to be stopped. */
static void fill_machine(void)
{
    exchange();
    for (uint32_t i = 0; i < 4; i++)
        place("j-000001", i, 100 + i);
    commit();
    exchange();
    exchange();
    fixture->now += PREEMPT_PROTECT_MS;
    exchange();
}

/* The machine is full of low work; an urgent task makes room for itself, in one message. */
static void test_urgent_work_takes_the_place_of_low_work(void **state)
{
    (void)state;
    fill_machine();
    placement_request_t flush_order = request_of("j-000002", 0, 200, 4);
    flush_order.priority = PRIORITY_HIGH;
    assert_null(partition_place(fixture->partition, &flush_order, fixture->now));
    flush_order.may_preempt = true;
    assert_non_null(partition_place(fixture->partition, &flush_order, fixture->now));
    commit();
    exchange();
    assert_int_equal(count_commands(COMMAND_STOP), 1);
    assert_int_equal(count_commands(COMMAND_RUN), 1);
    assert_int_equal(fake_worker_active(fixture->worker), 4);
    exchange();
    commit();
    assert_true(has_result(3, CAUSE_STOPPED) || has_result(2, CAUSE_STOPPED) ||
                has_result(1, CAUSE_STOPPED) || has_result(0, CAUSE_STOPPED));
}

static void test_equal_priority_is_never_stopped(void **state)
{
    (void)state;
    fill_machine();
    placement_request_t equal = request_of("j-000002", 0, 200, 4);
    equal.may_preempt = true;
    assert_null(partition_place(fixture->partition, &equal, fixture->now));
}

/* One long task kept a whole machine up for minutes that was to go back. It saves and goes on
 * elsewhere; what can't save is left to end, and so is all while much of the machine is used. */
static void test_what_can_save_leaves_a_drained_machine(void **state)
{
    (void)state;
    machine_t *machine;
    exchange();
    for (uint32_t task = 0; task < 3; task++) {
        placement_request_t request = request_of("j-000001", task, 100 + task, 4);
        request.checkpoint_s = task == 1 ? 0 : 15;
        request.save_s = 4;
        assert_non_null(partition_place(fixture->partition, &request, fixture->now));
    }
    commit();
    exchange();
    exchange();
    machine = g_hash_table_lookup(fixture->partition->machines, "m-000001");
    machine->is_draining = true;
    partition_tick(fixture->partition, fixture->now);
    exchange();
    assert_int_equal(count_commands(COMMAND_STOP), 0); /* 12 of 16 cpus are in use */
    fake_worker_exit(fixture->worker, "j-000001", 2, CAUSE_DONE);
    exchange();
    partition_tick(fixture->partition, fixture->now);
    exchange();
    assert_int_equal(count_commands(COMMAND_STOP), 1);
    assert_int_equal(g_array_index(fixture->commands, worker_command_t, 0).task, 0);
    assert_true(g_array_index(fixture->commands, worker_command_t, 0).grace_s > 4);
}

/* A task that saves when it is stopped holds its resources until it has: the start waits for that.
 */
static void test_start_waits_for_the_resources_of_a_saving_task(void **state)
{
    (void)state;
    exchange();
    placement_request_t saving = request_of("j-000001", 0, 100, 16);
    saving.checkpoint_s = 10;
    saving.save_s = 4;
    assert_non_null(partition_place(fixture->partition, &saving, fixture->now));
    commit();
    exchange();
    exchange();
    fixture->now += PREEMPT_PROTECT_MS;
    exchange();
    placement_request_t normal = request_of("j-000002", 0, 200, 4);
    normal.priority = PRIORITY_NORMAL;
    normal.may_preempt = true;
    assert_non_null(partition_place(fixture->partition, &normal, fixture->now));
    commit();
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(fixture->worker);
    deliver(&heartbeat, false);
    assert_int_equal(count_commands(COMMAND_STOP), 1);
    assert_int_equal(count_commands(COMMAND_RUN), 0);
    fake_worker_exit(fixture->worker, "j-000001", 0, CAUSE_STOPPED);
    exchange();
    assert_int_equal(count_commands(COMMAND_RUN), 1);
}

/* A direct `run` went unanswered, and its job is cancelled. Reports without the task prove nothing
 * while the copy may still arrive; when it does, it is stopped with the next heartbeat, and
 * forgotten only under a fencing token that voids every copy. */
static void test_a_run_that_is_out_stays_out_until_proof(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 100);
    commit();
    GArray *late = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_non_null(partition_take_push(fixture->partition, G_MAXUINT32, fixture->now, late));
    partition_finish_push(fixture->partition, "m-000001", late, 7, PUSH_UNANSWERED);
    partition_end_job(fixture->partition, "j-000001");
    for (guint i = 0; i < 16; i++) {
        exchange();
        commit();
        assert_int_equal(fixture->partition->results->len, 0);
    }
    assert_true(fake_worker_push(fixture->worker, 7, 1, late));
    assert_int_equal(fake_worker_active(fixture->worker), 1);
    exchange();
    assert_int_equal(fake_worker_active(fixture->worker), 0);
    exchange();
    commit();
    assert_true(has_result(0, CAUSE_STOPPED));
    exchange();
    assert_int_equal(count_commands(COMMAND_FORGET), 0);
    partition_set_view(fixture->partition, 8);
    exchange();
    exchange();
    assert_int_equal(fixture->worker->attempts->len, 0);
    assert_false(fake_worker_push(fixture->worker, 7, 1, late));
    assert_int_equal(fixture->worker->runs, 1);
    g_array_unref(late);
}

/* A late start of an attempt that no record holds, beside the one that took its place. */
static void test_an_attempt_without_a_record_is_stopped_at_once(void **state)
{
    (void)state;
    exchange();
    place("j-000001", 0, 101);
    commit();
    exchange();
    reported_attempt_t superseded = {.job = "j-000001", .attempt = 100, .state = TASK_RUNNING};
    g_array_append_val(fixture->worker->attempts, superseded);
    exchange();
    assert_int_equal(count_commands(COMMAND_STOP), 1);
    assert_int_equal(g_array_index(fixture->commands, worker_command_t, 0).attempt, 100);
    assert_int_equal(fake_worker_active(fixture->worker), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_start_follows_its_record, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_lost_answer_repeats_the_same_attempt, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_report_that_says_nothing_new_is_no_change, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_commands_go_by_the_sender_of_their_machine, set_up,
                                        tear_down),
        cmocka_unit_test(test_tasks_of_near_jobs_have_hashes_of_their_own),
        cmocka_unit_test_setup_teardown(test_silence_is_no_proof, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_lapsed_reservation_frees_resources_but_not_the_task,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_new_session_proves_the_old_one_over, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_late_report_of_an_old_session_is_dropped, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_overtaken_report_changes_nothing, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_done_is_forgotten_only_when_acknowledged, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_acknowledged_result_goes_with_the_next_start, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_late_run_meets_a_worker_that_still_knows_it, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_abort_racing_a_start_under_way_waits_for_proof, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_abort_before_the_record_drops_the_start, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_abort_racing_done_frees_the_result, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_older_owner_is_powerless, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_new_view_takes_over_from_the_record, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_drain_survives_a_view, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_absence_needs_the_present_token, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_copy_at_a_fresh_owner_changes_nothing, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_copy_at_the_owner_keeps_nothing_alive, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_reporting_but_unreached_machine_gets_no_starts, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_new_owner_asks_and_need_not_wait_for_a_report, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_delayed_probes_ask_only_machines_that_stay_silent,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_probe_that_is_refused_or_lost_opens_nothing, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_workers_that_report_seldom_are_not_taken_for_silent,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_hanging_machine_blocks_one_sender_once, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_released_machine_is_proof, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_urgent_work_takes_the_place_of_low_work, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_equal_priority_is_never_stopped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_what_can_save_leaves_a_drained_machine, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_start_waits_for_the_resources_of_a_saving_task, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_copy_does_not_bring_a_released_machine_back, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_full_machine_is_skipped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_lower_pressure_wins_and_equals_take_turns, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_no_start_leaves_while_cancellations_may_be_unknown,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_cancellation_gives_no_time_to_save, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_after_all_were_away_each_record_is_over_at_once,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_a_deaf_machine_keeps_its_task_through_a_change_of_leader, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_mute_machine_is_resolved_by_the_answer_to_a_command,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_run_that_is_out_stays_out_until_proof, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_an_attempt_without_a_record_is_stopped_at_once, set_up,
                                        tear_down),
    };
    return cmocka_run_group_tests_name("partition", tests, NULL, NULL);
}
