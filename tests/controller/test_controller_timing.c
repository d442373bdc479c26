/* Tests of timing. The controllers have no threads, and the tests call their functions directly,
 * mostly with times of their own choice. */
#include "controller/peer/peer_exchange.h"
#include "controller/peer/peer_heartbeat.h"
#include "controller/worker_lease.h"
#include "controller_fixture.h"
#include "core/membership/fencing_token.h"
#include "io/clock.h"

/* Guards against terminating machines that run tasks. A controller leads, is replaced, and leads
 * again minutes later. The instances that it requested in its first leadership have booted and run
 * tasks for other partitions, but their machine summaries have not arrived yet. If the controller
 * still counted them as booting, it would consider them stuck and terminate them with their
 * tasks. */
static void test_a_new_leadership_forgets_booting_instances_of_an_earlier_one(void **state)
{
    controller_t *controller = fixture_new_idle_controller(*state, 2);
    controller->autoscaler = autoscaler_new();
    view_t own = {.number = 1, .revision = 10, .incarnation = controller->incarnation};
    view_t other = {.number = 3, .revision = 30, .incarnation = controller->incarnation + 1};
    pthread_mutex_lock(&controller->lock);
    membership_install_view(controller, &own);
    autoscaler_add_booting(controller->autoscaler, "m-000001", "t16", "zone-a", true, 1000);
    own.number = 2;
    own.revision = 20;
    membership_install_view(controller, &own); /* the same leadership, so still booting */
    assert_int_equal(autoscaler_booting_count(controller->autoscaler), 1);
    membership_install_view(controller, &other);
    own.number = 4;
    own.revision = 40;
    membership_install_view(controller, &own);
    GPtrArray *stuck = autoscaler_stuck_instances(
        controller->autoscaler, controller->placement.machine_types, 1000 + 10 * BOOT_TIMEOUT_MS);
    assert_int_equal(stuck->len, 0);
    g_ptr_array_unref(stuck);
    pthread_mutex_unlock(&controller->lock);
}

/* Returns a controller without siblings that owns one machine, and whose jobs and records are
 * complete as of `now`. */
static controller_t *new_owner_of_one_machine(const fixture_t *fixture, fake_worker_t *worker,
                                              msec_t now)
{
    controller_t *controller = fixture_new_idle_controller(fixture, 1);
    machine_type_t machine_type = {.name = "t16", .capacity = {16, 0, 64}};
    g_array_append_val(controller->placement.machine_types, machine_type);
    controller->placement.partition =
        partition_new(controller->placement.machine_types, controller->settings->teams, 30000);
    partition_set_view(controller->placement.partition, 1);
    controller->placement.is_loaded = true;
    controller->jobs.is_synced = true;
    controller->jobs.complete_until = now;
    controller->stalls.last_observed_at = now;
    worker->fencing_token = fencing_token_first(1);
    worker_heartbeat_t heartbeat = fake_worker_heartbeat(worker);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    assert_int_equal(partition_handle_heartbeat(controller->placement.partition, &heartbeat, false,
                                                now, commands),
                     HEARTBEAT_ACCEPTED);
    worker_heartbeat_clear(&heartbeat);
    g_array_unref(commands);
    return controller;
}

static void place_and_record(controller_t *controller, const char *job, uint64_t attempt,
                             msec_t now)
{
    placement_request_t request = {
        .need = {2, 0, 4}, .attempt = attempt, .job_revision = 5, .team = "team-a"};
    g_strlcpy(request.job, job, sizeof request.job);
    assert_non_null(partition_place(controller->placement.partition, &request, now));
    partition_batch_t *batch =
        partition_batch_take(controller->placement.partition,
                             &(partition_limits_t){20, 80, 16384, KV_TXN_VALUES_BYTES}, now);
    partition_batch_commit(controller->placement.partition, batch, attempt, now);
    partition_batch_free(batch);
}

/* Takes the next push with its commands, as a dispatcher does at the time `now`. */
static machine_t *take_push(controller_t *controller, GArray *commands, msec_t now)
{
    g_array_set_size(commands, 0);
    partition_pause_starts(controller->placement.partition,
                           !worker_lease_may_start(controller, now));
    return partition_take_push(controller->placement.partition, G_MAXUINT32, now, commands);
}

/* Guards against starting tasks of a job that was cancelled during a stall of the process. A
 * dispatcher has taken start commands, the process stalls, and one of the jobs is cancelled through
 * another controller. After the stall these commands must not be pushed. They must return to the
 * partition, which decides again. No start may be pushed until the cancellations that were made
 * during the stall are known. */
static void test_a_start_taken_before_a_stall_is_not_pushed_after_it(void **state)
{
    msec_t begun_at = clock_steady();
    msec_t after_stall = begun_at + 3 * (msec_t)STALL_MIN_MS;
    fake_worker_t *worker = fake_worker_new("m-000001");
    controller_t *controller = new_owner_of_one_machine(*state, worker, begun_at);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    pthread_mutex_lock(&controller->lock);
    place_and_record(controller, "j-000001", 100, begun_at);
    place_and_record(controller, "j-000002", 101, begun_at);
    assert_non_null(take_push(controller, commands, begun_at));
    assert_int_equal(commands->len, 2);
    assert_true(worker_lease_may_push(controller, "m-000001", controller->placement.generation,
                                      commands, begun_at, begun_at + 5));
    assert_false(worker_lease_may_push(controller, "m-000001", controller->placement.generation,
                                       commands, begun_at, after_stall));
    assert_null(take_push(controller, commands, after_stall)); /* cancellations not known yet */
    assert_null(take_push(controller, commands, after_stall + 100));
    job_directory_remove(controller, "j-000001");
    /* A watch that began after the stall has been answered. */
    controller->jobs.complete_until = after_stall + 50;
    assert_non_null(take_push(controller, commands, after_stall + 200));
    assert_int_equal(commands->len, 1);
    assert_string_equal(g_array_index(commands, worker_command_t, 0).job, "j-000002");
    pthread_mutex_unlock(&controller->lock);
    g_array_unref(commands);
    fake_worker_free(worker);
}

/* Guards against a controller that reports its own start as an answer of the key-value store. If
 * such a controller starts during an outage, each of its siblings concludes that the key-value
 * store refuses only the sibling itself, and all of them refuse their users' requests. */
static void test_a_new_controller_reports_no_answer_of_the_key_value_store(void **state)
{
    msec_t now = clock_steady();
    const controller_t *new_controller = fixture_new_idle_controller(*state, 2);
    msec_t age = clock_steady() - atomic_load(&new_controller->kv_store.answered_at);
    connectivity_t other = {.kv_answered_at = now - 2 * (msec_t)ISOLATED_AFTER_MS,
                            .peer_message_at = now,
                            .siblings_kv_answered_at = now - age};
    assert_int_equal(connectivity_assess(&other, now), CONNECTIVITY_OUTAGE);
    connectivity_t own = worker_lease_connectivity(new_controller);
    assert_int_not_equal(connectivity_assess(&own, now), CONNECTIVITY_GOOD);
}

/* Returns the answer to a peer heartbeat of a sibling that knows this controller's cancellation log
 * up to index. */
static peer_message_t answer_heartbeat(controller_t *controller, uint64_t incarnation,
                                       uint64_t index)
{
    peer_message_t call = {.sender = "controller-1",
                           .is_heartbeat = true,
                           .known_log_incarnation = incarnation,
                           .known_log_index = index};
    peer_message_t answer;
    GByteArray *frame = peer_heartbeat_answer(controller, &call);
    assert_true(peer_decode(frame->data, frame->len, &answer));
    g_byte_array_unref(frame);
    return answer;
}

/* Guards against answers to peer heartbeats that delay cancellations or contain a wrong delay. As
 * long as the cancellation log has no new entries, the answer is delayed. It contains the delay,
 * from which the sibling computes the time up to which it knows all cancellations. If the log has a
 * new entry, the answer is sent at once. */
static void test_a_peer_heartbeat_is_answered_at_once_if_the_log_has_new_entries(void **state)
{
    controller_t *controller = fixture_new_idle_controller(*state, 2);
    peer_message_t first = answer_heartbeat(controller, 0, 0);
    assert_int_equal(first.answer_delay_ms, 0);
    peer_message_t second = answer_heartbeat(controller, first.cancellations.incarnation,
                                             first.cancellations.last_index);
    assert_true(second.answer_delay_ms >= PEER_HEARTBEAT_HOLD_MS);
    pthread_mutex_lock(&controller->lock);
    job_directory_record_terminal(controller, "j-000001", false);
    pthread_mutex_unlock(&controller->lock);
    peer_message_t third = answer_heartbeat(controller, second.cancellations.incarnation,
                                            second.cancellations.last_index);
    assert_int_equal(third.answer_delay_ms, 0);
    assert_int_equal(third.cancellations.jobs->len, 1);
    peer_message_clear(&first);
    peer_message_clear(&second);
    peer_message_clear(&third);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_a_new_leadership_forgets_booting_instances_of_an_earlier_one,
                               setup_fakes),
        cmocka_unit_test_setup(test_a_start_taken_before_a_stall_is_not_pushed_after_it,
                               setup_fakes),
        cmocka_unit_test_setup(test_a_new_controller_reports_no_answer_of_the_key_value_store,
                               setup_fakes),
        cmocka_unit_test_setup(test_a_peer_heartbeat_is_answered_at_once_if_the_log_has_new_entries,
                               setup_fakes),
    };
    fixture_run_tests("controller_timing", tests, G_N_ELEMENTS(tests));
}
