/* Tests of the two readers of jobs/: the watch, and the load of a view's records. Whatever the
 * order in which their answers are applied, the job directory, the partition and the leader must
 * agree on the jobs that are live. The controllers have no threads; the tests apply the answers
 * themselves, with revisions and times of their own choice. */
#include "controller/placement/record_loader.h"
#include "controller_fixture.h"
#include "core/membership/fencing_token.h"
#include "fake_worker.h"
#include "io/codec/codec.h"

static const char own_machine[] = "m-000001";
static const char own_zone[] = "zone-a";

static void add_member(view_t *view, const char *name, const char *zone, uint64_t incarnation)
{
    member_t *member = &view->members[view->count++];
    member->incarnation = incarnation;
    g_strlcpy(member->name, name, sizeof member->name);
    g_strlcpy(member->zone, zone, sizeof member->zone);
}

/* Returns a controller that is a member of a view and owns the machines of its zone. Its lock is
 * held. */
static controller_t *new_member(const fixture_t *fixture, bool is_leader)
{
    controller_t *controller = fixture_new_idle_controller(fixture, 2);
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    view_t view = {.number = 1, .revision = 2};
    view.incarnation = controller->incarnation + (is_leader ? 0 : 1);
    add_member(&view, "controller-0", own_zone, controller->incarnation);
    add_member(&view, "controller-1", "zone-b", controller->incarnation + 1);
    pthread_mutex_lock(&controller->lock);
    g_array_append_val(controller->placement.machine_types, machine_type);
    membership_install_view(controller, &view);
    return controller;
}

static void append_job(GArray *entries, const char *id, uint64_t revision)
{
    job_spec_t spec = {.tasks = 1, .need = {2, 0, 4}, .team = "team-a", .class_name = "c"};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.image, "i", sizeof spec.image);
    kv_entry_t entry = {.key = g_strconcat(JOBS_PREFIX, id, NULL),
                        .value = codec_build_job(&spec),
                        .revision = revision};
    g_array_append_val(entries, entry);
}

/* Appends the page of the machine's record, with one attempt of the job. */
static void append_machine_page(GArray *entries, const char *job)
{
    page_record_t page = {.machines = machine_records_new()};
    shard_of(own_machine, own_zone, page.shard, sizeof page.shard);
    machine_record_t machine = {.worker_epoch = 1,
                                .entries = g_array_new(FALSE, TRUE, sizeof(record_entry_t))};
    g_strlcpy(machine.machine, own_machine, sizeof machine.machine);
    g_strlcpy(machine.address, "127.0.0.1:1", sizeof machine.address);
    g_strlcpy(machine.type, "t16", sizeof machine.type);
    g_strlcpy(machine.zone, own_zone, sizeof machine.zone);
    record_entry_t attempt = {.team = "team-a", .image = "i", .need = {2, 0, 4}, .attempt = 7};
    g_strlcpy(attempt.job, job, sizeof attempt.job);
    g_array_append_val(machine.entries, attempt);
    g_array_append_val(page.machines, machine);
    kv_entry_t entry = {.key = g_strconcat("machines/", page.shard, NULL),
                        .value = codec_build_page_record(&page),
                        .revision = 3};
    g_array_append_val(entries, entry);
    g_array_unref(page.machines);
}

/* Loads the records: the machine with an attempt of recorded_job, and the job listed_job, which was
 * created at the revision 5. Either may be NULL. */
static void load_records(controller_t *controller, const char *recorded_job, const char *listed_job,
                         kv_coverage_t coverage)
{
    record_listing_t listing = record_listing_new();
    listing.jobs_coverage = coverage;
    if (recorded_job)
        append_machine_page(listing.machines, recorded_job);
    if (listed_job)
        append_job(listing.jobs, listed_job, 5);
    record_loader_apply(controller, &listing, coverage.sent_at);
    record_listing_clear(&listing);
    assert_true(controller->placement.is_loaded);
}

/* Applies a list of jobs/ that the watch has read and that contains no job. */
static void apply_empty_list(controller_t *controller, kv_coverage_t coverage)
{
    g_autoptr(GArray) entries = kv_entries_new();
    job_directory_apply_list(controller, entries, coverage);
}

static fake_worker_t *new_worker_with_task(const char *job)
{
    fake_worker_t *worker = fake_worker_new(own_machine);
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    worker_command_t run = {.op = COMMAND_RUN, .attempt = 7};
    g_strlcpy(run.job, job, sizeof run.job);
    g_array_append_val(commands, run);
    assert_true(fake_worker_handle_answer(worker, fencing_token_first(1), commands));
    return worker;
}

/* Returns whether the answer to the worker's next heartbeat stops its task. */
static bool is_task_stopped(controller_t *controller, fake_worker_t *worker, msec_t now)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(worker);
    assert_int_equal(partition_handle_heartbeat(controller->placement.partition, &heartbeat, false,
                                                now, commands),
                     HEARTBEAT_ACCEPTED);
    worker_heartbeat_clear(&heartbeat);
    return commands->len == 1 && g_array_index(commands, worker_command_t, 0).op == COMMAND_STOP;
}

/* Guards against tasks of a cancelled job that stay on their machines (ran_cancelled). A controller
 * joins and loads its machines' records. A job with a task there is cancelled before the watch has
 * read its first list of jobs, which therefore does not contain the job. */
static void test_a_job_cancelled_before_the_first_list_of_the_watch_is_stopped(void **state)
{
    controller_t *controller = new_member(*state, false);
    fake_worker_t *worker = new_worker_with_task("j-000001");
    load_records(controller, "j-000001", "j-000001", (kv_coverage_t){8, 1000});
    assert_false(is_task_stopped(controller, worker, 1100));
    apply_empty_list(controller, (kv_coverage_t){9, 1200});
    assert_true(is_task_stopped(controller, worker, 1300));
    fake_worker_free(worker);
}

/* Places and records a task of a job that was created at the revision, as the leader requests. */
static void place_task(controller_t *controller, const char *job, uint64_t job_revision, msec_t now)
{
    placement_request_t request = {
        .need = {2, 0, 4}, .attempt = 7, .job_revision = job_revision, .team = "team-a"};
    g_strlcpy(request.job, job, sizeof request.job);
    partition_t *partition = controller->placement.partition;
    assert_non_null(partition_place(partition, &request, now));
    partition_batch_t *batch =
        partition_batch_take(partition, &(partition_limits_t){20, 80, 16384, 49152}, now);
    partition_batch_commit(partition, batch, job_revision + 1, now);
    partition_batch_free(batch);
}

static void send_heartbeat(controller_t *controller, const char *machine, msec_t now)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    fake_worker_t *worker = fake_worker_new(machine);
    worker->fencing_token = fencing_token_first(1);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(worker);
    partition_handle_heartbeat(controller->placement.partition, &heartbeat, false, now, commands);
    worker_heartbeat_clear(&heartbeat);
    fake_worker_free(worker);
}

/* Returns whether a push to the machine starts the task. */
static bool is_start_pushed(controller_t *controller, msec_t now)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    partition_take_push(controller->placement.partition, G_MAXUINT32, now, commands);
    return commands->len == 1 && g_array_index(commands, worker_command_t, 0).op == COMMAND_RUN;
}

/* Guards against starting tasks of a cancelled job. The leader requested the task, so the partition
 * has it, but the watch of this controller reports neither the job nor its end: it lists jobs/
 * after the cancellation. A list that is older than the job must not end it. */
static void test_a_job_known_from_the_leader_only_is_ended_by_a_newer_list(void **state)
{
    for (uint64_t list_revision = 8; list_revision <= 12; list_revision += 4) {
        controller_t *controller = new_member(*state, false);
        load_records(controller, NULL, NULL, (kv_coverage_t){8, 1000});
        send_heartbeat(controller, own_machine, 1050);
        place_task(controller, "j-000002", 10, 1100);
        apply_empty_list(controller, (kv_coverage_t){list_revision, 1200});
        assert_int_equal(is_start_pushed(controller, 1300), list_revision < 10);
    }
}

/* Guards against a list that arrives late and replaces newer knowledge: it must not end a job that
 * was created after it, restore a job that has ended since, or move back the time until which all
 * cancellations are known. */
static void test_a_late_list_does_not_replace_newer_knowledge(void **state)
{
    controller_t *controller = new_member(*state, false);
    load_records(controller, NULL, "j-000001", (kv_coverage_t){8, 1000});
    apply_empty_list(controller, (kv_coverage_t){4, 500});
    assert_true(g_hash_table_contains(controller->jobs.live, "j-000001"));
    assert_int_equal(controller->jobs.complete_until, 1000);
    g_autoptr(GArray) old = kv_entries_new();
    append_job(old, "j-000002", 6);
    job_directory_apply_list(controller, old, (kv_coverage_t){6, 600});
    assert_false(g_hash_table_contains(controller->jobs.live, "j-000002"));
}

/* Applies the report of the watch that a job was created, or has ended if it is not live. */
static void report_change(controller_t *controller, const char *id, bool is_live,
                          kv_coverage_t coverage)
{
    g_autoptr(GArray) changes = kv_entries_new();
    if (is_live) {
        append_job(changes, id, coverage.revision);
    } else {
        kv_entry_t end = {.key = g_strconcat(JOBS_PREFIX, id, NULL), .revision = coverage.revision};
        g_array_append_val(changes, end);
    }
    job_directory_apply_changes(controller, changes, coverage);
}

/* Guards against accepted jobs that never start. The view changes, and the leader reads the list of
 * jobs again. While the answer is on its way, the watch reports that one job was created and that
 * another one has ended. The list is older than both changes. */
static void test_jobs_reported_while_the_leader_reads_the_records_are_loaded(void **state)
{
    controller_t *controller = new_member(*state, true);
    report_change(controller, "j-000001", true, (kv_coverage_t){5, 900});
    report_change(controller, "j-000002", true, (kv_coverage_t){9, 1100});
    report_change(controller, "j-000001", false, (kv_coverage_t){10, 1200});
    load_records(controller, NULL, "j-000001", (kv_coverage_t){8, 1000});
    assert_non_null(leader_find_job(controller->placement.leader, "j-000002"));
    assert_null(leader_find_job(controller->placement.leader, "j-000001"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_a_job_cancelled_before_the_first_list_of_the_watch_is_stopped,
                               setup_fakes),
        cmocka_unit_test_setup(test_a_job_known_from_the_leader_only_is_ended_by_a_newer_list,
                               setup_fakes),
        cmocka_unit_test_setup(test_a_late_list_does_not_replace_newer_knowledge, setup_fakes),
        cmocka_unit_test_setup(test_jobs_reported_while_the_leader_reads_the_records_are_loaded,
                               setup_fakes),
    };
    fixture_run_tests("controller_job_lists", tests, G_N_ELEMENTS(tests));
}
