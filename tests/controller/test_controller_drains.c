/* Tests of drains at a leader: which machines are drained, and what ends it. The controller has no
 * threads; the tests run the rounds of the autoscaler. */
#include "controller/autoscaler/cloud_context.h"
#include "controller/autoscaler/scale_in.h"
#include "controller/placement/partition_items.h"
#include "controller/placement/record_loader.h"
#include "controller_fixture.h"
#include "core/membership/fencing_token.h"
#include "fake_worker.h"
#include "io/clock.h"

enum { LATER_MS = 3600000 }; /* longer than any test runs */

static const char own_machine[] = "m-000001";

/* Returns a leader without other members that has loaded its records. Its lock is not held. */
static controller_t *new_leader(const fixture_t *fixture)
{
    controller_t *controller = fixture_new_idle_controller(fixture, 1);
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    view_t view = {.number = 1, .revision = 2, .incarnation = controller->incarnation, .count = 1};
    view.members[0].incarnation = controller->incarnation;
    g_strlcpy(view.members[0].name, "controller-0", sizeof view.members[0].name);
    g_strlcpy(view.members[0].zone, "zone-a", sizeof view.members[0].zone);
    record_listing_t listing = record_listing_new();
    pthread_mutex_lock(&controller->lock);
    g_array_append_val(controller->placement.machine_types, machine_type);
    membership_install_view(controller, &view);
    record_loader_apply(controller, &listing, clock_steady());
    controller->membership.views_complete_until = clock_steady() + LATER_MS;
    pthread_mutex_unlock(&controller->lock);
    record_listing_clear(&listing);
    return controller;
}

/* Makes the machine known, with a long task on it. */
static void add_machine_with_task(controller_t *controller)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    fake_worker_t *worker = fake_worker_new(own_machine);
    worker->fencing_token = fencing_token_first(1);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(worker);
    placement_request_t request = {.job = "j-000009", .need = {4, 0, 4}, .attempt = 9};
    pthread_mutex_lock(&controller->lock);
    partition_t *partition = controller->placement.partition;
    partition_handle_heartbeat(partition, &heartbeat, false, clock_steady(), commands);
    assert_non_null(partition_place(partition, &request, clock_steady()));
    pthread_mutex_unlock(&controller->lock);
    worker_heartbeat_clear(&heartbeat);
    fake_worker_free(worker);
}

/* Adds a job, and reports that this many of its tasks failed on the machine. */
static void fail_tasks(controller_t *controller, const char *job, uint32_t tasks)
{
    job_spec_t spec = {.tasks = tasks + 1, .team = "team-a"};
    g_strlcpy(spec.id, job, sizeof spec.id);
    pthread_mutex_lock(&controller->lock);
    leader_t *leader = controller->placement.leader;
    job_directory_add(controller, &spec, 5);
    for (uint32_t i = 0; i < tasks; i++) {
        record_entry_t entry = {.team = "team-a", .task = i, .attempt = 7};
        attempt_result_t failed = {.ref = task_ref(job, i, 7), .cause = CAUSE_ERROR};
        g_strlcpy(entry.job, job, sizeof entry.job);
        g_strlcpy(failed.machine, own_machine, sizeof failed.machine);
        leader_load_attempt(leader, &entry, "zone-a", 0);
        leader_handle_result(leader, 0, &failed, clock_steady());
    }
    pthread_mutex_unlock(&controller->lock);
}

/* Runs a round of scale-in on current summaries. Returns whether the machine is draining then. */
static bool is_draining_after_round(controller_t *controller, cloud_context_t *context)
{
    pthread_mutex_lock(&controller->lock);
    leader_set_summaries(controller->placement.leader, 0,
                         partition_items_summaries(controller, clock_steady()));
    pthread_mutex_unlock(&controller->lock);
    scale_in_run(context);
    pthread_mutex_lock(&controller->lock);
    g_autoptr(GArray) summaries = partition_items_summaries(controller, clock_steady());
    pthread_mutex_unlock(&controller->lock);
    assert_int_equal(summaries->len, 1);
    return g_array_index(summaries, machine_summary_t, 0).is_draining;
}

static void cancel(controller_t *controller, const char *job)
{
    pthread_mutex_lock(&controller->lock);
    job_directory_record_terminal(controller, job, false);
    pthread_mutex_unlock(&controller->lock);
}

/* Guards against a machine that stays drained after the jobs have been cancelled that failed on it,
 * because only its quarantine ended. It runs a long task, so it is not returned either. */
static void test_the_drain_of_a_machine_ends_with_its_quarantine(void **state)
{
    controller_t *controller = new_leader(*state);
    cloud_context_t context;
    cloud_context_init(&context, controller);
    add_machine_with_task(controller);
    fail_tasks(controller, "j-000001", 2);
    assert_false(is_draining_after_round(controller, &context));
    fail_tasks(controller, "j-000002", 2);
    assert_true(is_draining_after_round(controller, &context));
    cancel(controller, "j-000001");
    assert_false(is_draining_after_round(controller, &context));
    cancel(controller, "j-000002");
    assert_false(is_draining_after_round(controller, &context));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_the_drain_of_a_machine_ends_with_its_quarantine, setup_fakes),
    };
    fixture_run_tests("controller_drains", tests, G_N_ELEMENTS(tests));
}
