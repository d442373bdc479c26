/* Tests of late copies of pushed commands, with all the controllers' threads. */
#include "controller/api/worker_heartbeats.h"
#include "controller/membership/membership.h"
#include "controller_fixture.h"
#include "core/membership/fencing_token.h"
#include "io/clock.h"

#include <stdlib.h>
#include <string.h>

enum { VIEW = 3 };

/* Waits until the worker lists that number of attempts, all of them active. */
static void wait_until_forgotten(const fixture_t *fixture, worker_client_t *worker, guint active)
{
    do {
        fixture_wait_for_active_attempts(fixture, worker, active);
    } while (fake_machine_listed_count(worker->machine) != active);
}

/* Submits jobs until the worker has received a start by a push. Returns the number of jobs. */
static guint submit_until_pushed(const fixture_t *fixture, worker_client_t *worker)
{
    guint jobs = 0;
    fixture_wait_for_active_attempts(fixture, worker, 0);
    while (jobs < 4 && fake_machine_push_count(worker->machine) == 0) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", ++jobs);
        fixture_submit(fixture, 0, id);
        fixture_wait_for_active_attempts(fixture, worker, 2 * jobs);
    }
    return jobs;
}

static void test_late_copies_of_starts_do_not_restart_tasks_that_were_moved(void **state)
{
    const fixture_t *fixture = *state;
    worker_client_t worker = worker_client_new("m-000001");
    guint jobs = submit_until_pushed(fixture, &worker);
    fake_machine_exit_attempts(worker.machine, CAUSE_ERROR);
    wait_until_forgotten(fixture, &worker, 2 * jobs); /* each task has its second attempt */
    fake_machine_repeat_pushes(worker.machine);
    assert_int_equal(fake_machine_active_count(worker.machine), 2 * jobs);
    assert_int_equal(fake_machine_started_count(worker.machine), 4 * jobs);
}

static void test_late_copies_of_starts_do_not_restart_tasks_that_were_cancelled(void **state)
{
    const fixture_t *fixture = *state;
    worker_client_t worker = worker_client_new("m-000001");
    guint jobs = submit_until_pushed(fixture, &worker);
    for (guint i = 1; i <= jobs; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "j-%06u", i);
        fixture_cancel(fixture, 0, id, "cancelled");
    }
    wait_until_forgotten(fixture, &worker, 0);
    fake_machine_repeat_pushes(worker.machine);
    assert_int_equal(fake_machine_active_count(worker.machine), 0);
    assert_int_equal(fake_machine_started_count(worker.machine), 2 * jobs);
}

/* Returns a controller without threads that has read the list of jobs, but not the records. The
 * view has two members: this controller and another one. */
static controller_t *new_member_of_two(const fixture_t *fixture)
{
    controller_t *controller = fixture_new_idle_controller(fixture, 1);
    view_t view = {.number = VIEW, .revision = 10, .count = 2, .incarnation = 1};
    view.members[0] = (member_t){.name = "controller-0", .zone = "zone-a"};
    view.members[0].incarnation = controller->incarnation;
    view.members[1] = (member_t){.name = "controller-1", .zone = "zone-a", .incarnation = 1};
    pthread_mutex_lock(&controller->lock);
    membership_install_view(controller, &view);
    controller->jobs.is_synced = true;
    controller->jobs.complete_until = clock_steady();
    pthread_mutex_unlock(&controller->lock);
    return controller;
}

/* Returns the fake machine with the lowest number that this controller owns, or does not own. */
static fake_machine_t *new_machine(const controller_t *controller, bool is_own)
{
    char id[ID_BYTES];
    guint number = 0;
    do {
        g_snprintf(id, sizeof id, "m-%06u", ++number);
    } while ((membership_owner_index(controller, id, "zone-a") ==
              controller->membership.own_index) != is_own);
    return fake_machine_new(id);
}

/* Sends a heartbeat of the machine. Returns the status, and the answer in *answer. */
static unsigned send_heartbeat(controller_t *controller, fake_machine_t *machine, json_t **answer)
{
    json_t *heartbeat = fake_machine_heartbeat(machine);
    char *text = json_dumps(heartbeat, 0);
    request_t *request = request_new(controller, NULL);
    request_append_body(request, text, strlen(text));
    reply_t reply = api_handle_worker_heartbeat(controller, request);
    *answer = reply.kind == REPLY_JSON
                  ? reply.body
                  : json_pack("{s:I}", "Helm", (json_int_t)reply.fencing_token);
    request_free(request);
    free(text);
    json_decref(heartbeat);
    return reply.status;
}

static void expect_answer_under_token(controller_t *controller, fake_machine_t *machine,
                                      uint64_t fencing_token)
{
    json_t *answer;
    assert_int_equal(send_heartbeat(controller, machine, &answer), HTTP_OK);
    assert_int_equal(json_integer_value(json_object_get(answer, "Helm")), fencing_token);
    json_decref(answer);
}

static void test_leases_are_renewed_under_a_token_that_the_owner_has_raised(void **state)
{
    controller_t *controller = new_member_of_two(*state);
    uint64_t raised = fencing_token_first(VIEW) + 5;
    json_t *answer;
    fake_machine_t *own = new_machine(controller, true); /* its records are not loaded */
    own->worker->fencing_token = raised;
    expect_answer_under_token(controller, own, raised);
    own->worker->fencing_token = fencing_token_first(VIEW - 1) + 9;
    expect_answer_under_token(controller, own, fencing_token_first(VIEW));
    own->worker->fencing_token = fencing_token_first(VIEW + 1);
    assert_int_equal(send_heartbeat(controller, own, &answer), HTTP_UNAVAILABLE);
    json_decref(answer);
    fake_machine_t *other = new_machine(controller, false);
    other->worker->fencing_token = raised;
    assert_int_equal(send_heartbeat(controller, other, &answer), HTTP_MISDIRECTED);
    json_decref(answer);
    expect_answer_under_token(controller, other, raised); /* it came back, so it is retained */
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_late_copies_of_starts_do_not_restart_tasks_that_were_moved,
                               setup_one_controller),
        cmocka_unit_test_setup(test_late_copies_of_starts_do_not_restart_tasks_that_were_cancelled,
                               setup_one_controller),
        cmocka_unit_test_setup(test_leases_are_renewed_under_a_token_that_the_owner_has_raised,
                               setup_fakes),
    };
    fixture_run_tests("controller_late_commands", tests, G_N_ELEMENTS(tests));
}
