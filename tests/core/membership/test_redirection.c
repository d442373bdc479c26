/* Tests of workers that send heartbeats to a controller that does not own them. */
#include "core/membership/fencing_token.h"
#include "core/membership/redirection.h"
#include "unit_test.h"

static int set_up(void **state)
{
    *state = redirection_new();
    return 0;
}

static int tear_down(void **state)
{
    redirection_free(*state);
    return 0;
}

/* Returns a heartbeat of the machine's first worker epoch. */
static worker_heartbeat_t heartbeat_of(const char *machine, uint64_t heartbeat_sequence)
{
    worker_heartbeat_t heartbeat = {.worker_epoch = 1, .heartbeat_sequence = heartbeat_sequence};
    g_strlcpy(heartbeat.machine, machine, sizeof heartbeat.machine);
    return heartbeat;
}

/* Handles a heartbeat of m-000001, whose owner no other worker is known to reach. */
static redirection_verdict_t receive(redirection_t *redirection, uint64_t worker_epoch,
                                     uint64_t heartbeat_sequence, msec_t now)
{
    worker_heartbeat_t heartbeat = heartbeat_of("m-000001", heartbeat_sequence);
    heartbeat.worker_epoch = worker_epoch;
    return redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false, now);
}

static guint retained_count(redirection_t *redirection, msec_t now)
{
    g_autoptr(GPtrArray) retained = redirection_list_retained(redirection, now);
    return retained->len;
}

static void test_worker_that_returns_soon_is_retained(void **state)
{
    redirection_t *redirection = *state;
    assert_int_equal(receive(redirection, 1, 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive(redirection, 1, 2, 5000), REDIRECTION_RETAINED);
    assert_int_equal(receive(redirection, 1, 3, 6000), REDIRECTION_RETAINED);
    assert_int_equal(retained_count(redirection, 6000), 1);
    assert_int_equal(receive(redirection, 1, 30, 5000 + RETAIN_MS),
                     REDIRECTION_TO_OWNER); /* redirected again */
    assert_int_equal(retained_count(redirection, 5000 + RETAIN_MS), 0);
}

/* Late copies of heartbeats do not prove that a worker is alive, although two of them look like a
 * worker that returned from its owner. If this controller listed the machine as retained because of
 * them, the leader would keep a dead machine and its tasks. */
static void test_copies_of_heartbeats_do_not_list_a_machine_as_retained(void **state)
{
    redirection_t *redirection = *state;
    assert_int_equal(receive(redirection, 1, 5, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive(redirection, 1, 5, 2000), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(redirection, 1, 4, 2000), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(redirection, 1, 6, 5000),
                     REDIRECTION_RETAINED); /* perhaps late: answered but not listed */
    assert_int_equal(retained_count(redirection, 5000), 0);
    assert_int_equal(receive(redirection, 1, 6, 5500), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(redirection, 1, 7, 15000),
                     REDIRECTION_RETAINED); /* 10 s later: no answer arrived */
    assert_int_equal(retained_count(redirection, 15000), 0);
}

static void test_heartbeat_of_an_earlier_worker_epoch_is_a_duplicate(void **state)
{
    redirection_t *redirection = *state;
    receive(redirection, 2, 5, 1000);
    assert_int_equal(receive(redirection, 1, 90, 2000), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(redirection, 3, 1, 2000), REDIRECTION_RETAINED);
}

/* Handles a heartbeat of a worker that lost contact with its owner. `now` counts from the end of
 * REDIRECTION_GRACE_MS, the time after a view change in which workers move to new owners. */
static redirection_verdict_t receive_after_loss(redirection_t *redirection, const char *machine,
                                                uint64_t heartbeat_sequence, msec_t now)
{
    worker_heartbeat_t heartbeat = heartbeat_of(machine, heartbeat_sequence);
    return redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                        REDIRECTION_GRACE_MS + now);
}

/* Guards against the expiry of leases when all workers of an owner lose contact with it at the same
 * time. When every one of them was redirected to that owner again, each waited 5 s for every
 * controller that did not answer, until its lease had expired. In a fleet that only one controller
 * could reach, 1,405 tasks were killed. */
static void test_one_probe_is_redirected_while_the_others_are_retained(void **state)
{
    redirection_t *redirection = *state;
    assert_int_equal(receive_after_loss(redirection, "m-000001", 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive_after_loss(redirection, "m-000002", 1, 1100), REDIRECTION_RETAINED);
    assert_int_equal(receive_after_loss(redirection, "m-000003", 1, 1200), REDIRECTION_RETAINED);
    assert_int_equal(receive_after_loss(redirection, "m-000001", 2, 11500),
                     REDIRECTION_RETAINED); /* returned: the owner is unreachable */
    assert_int_equal(receive_after_loss(redirection, "m-000002", 9, 1000 + REDIRECT_PROBE_MS),
                     REDIRECTION_RETAINED);
    msec_t next = 11500 + RETAIN_MS;
    assert_int_equal(receive_after_loss(redirection, "m-000002", 30, next - 100),
                     REDIRECTION_RETAINED);
    assert_int_equal(receive_after_loss(redirection, "m-000003", 30, next),
                     REDIRECTION_TO_OWNER); /* the next probe */
    assert_int_equal(receive_after_loss(redirection, "m-000001", 30, next + 100),
                     REDIRECTION_RETAINED);
    assert_int_equal(
        receive_after_loss(redirection, "m-000002", 40, next + REDIRECT_PROBE_MS + 100),
        REDIRECTION_TO_OWNER); /* the probe did not return */
    assert_int_equal(
        receive_after_loss(redirection, "m-000001", 40, next + REDIRECT_PROBE_MS + 200),
        REDIRECTION_TO_OWNER);
}

/* Guards against treating an owner as unreachable because it refused a worker. A controller that
 * had just started refused one worker, which returned within a second. All other workers of that
 * owner were then retained for 20 s without starts. */
static void test_refusal_of_one_worker_does_not_retain_the_others(void **state)
{
    redirection_t *redirection = *state;
    assert_int_equal(receive_after_loss(redirection, "m-000001", 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive_after_loss(redirection, "m-000001", 2, 2000), REDIRECTION_RETAINED);
    worker_heartbeat_t heartbeat = heartbeat_of("m-000002", 1);
    redirection_reset(redirection, 0, REDIRECTION_GRACE_MS + 2050);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  REDIRECTION_GRACE_MS + 2100),
                     REDIRECTION_TO_OWNER);
    /* While workers move to new owners after a view change, none is retained to wait for a probe,
     * no matter which fencing token it has received with a command. */
    g_strlcpy(heartbeat.machine, "m-000003", sizeof heartbeat.machine);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  REDIRECTION_GRACE_MS + 2200),
                     REDIRECTION_TO_OWNER);
}

/* A new view gives a worker an owner that other workers could not reach shortly before. The worker
 * is not redirected to it. If that owner has restarted, it counts as a new controller, and workers
 * are redirected to it. */
static void test_new_view_does_not_redirect_to_an_unreachable_owner(void **state)
{
    redirection_t *redirection = *state;
    receive_after_loss(redirection, "m-000001", 1, 1000);
    receive_after_loss(redirection, "m-000001", 2, 11000); /* controller-1 is unreachable */
    redirection_reset(redirection, 0, REDIRECTION_GRACE_MS + 11500);
    worker_heartbeat_t heartbeat = heartbeat_of("m-000004", 1);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  REDIRECTION_GRACE_MS + 12000),
                     REDIRECTION_RETAINED);
    heartbeat.heartbeat_sequence = 2;
    g_strlcpy(heartbeat.machine, "m-000005", sizeof heartbeat.machine);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1 anew",
                                                  false, REDIRECTION_GRACE_MS + 12000),
                     REDIRECTION_TO_OWNER);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-2", false,
                                                  REDIRECTION_GRACE_MS + 12000),
                     REDIRECTION_DUPLICATE);
    heartbeat.heartbeat_sequence = 3; /* returned from the restarted owner */
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1 anew",
                                                  false, REDIRECTION_GRACE_MS + 20000),
                     REDIRECTION_RETAINED);
}

/* Copies of heartbeats that were sent before the view may arrive just after it is installed, when
 * there is no earlier heartbeat to compare them with. If they counted, the worker's first real
 * heartbeat would look as if the worker had returned from an unreachable owner. The worker was then
 * retained for 20 s without starts, and so were all other workers of that owner. */
static void test_heartbeat_from_before_the_view_has_no_effect(void **state)
{
    redirection_t *redirection = *state;
    worker_heartbeat_t heartbeat = heartbeat_of("m-000001", 5);
    heartbeat.fencing_token = fencing_token_first(6);
    redirection_reset(redirection, 7, 1000);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false, 1100),
        REDIRECTION_UNVERIFIED);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false, 1200),
        REDIRECTION_UNVERIFIED);
    heartbeat.heartbeat_sequence = 9;
    heartbeat.fencing_token = fencing_token_first(
        7); /* sent by the worker after an answer or a command from its owner gave it the token */
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  1100 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_TO_OWNER);
    worker_heartbeat_t other = heartbeat_of("m-000002", 5);
    other.fencing_token = fencing_token_first(7);
    assert_int_equal(redirection_handle_heartbeat(redirection, &other, "controller-1", false,
                                                  1200 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_TO_OWNER);
    assert_int_equal(retained_count(redirection, 1200 + REDIRECT_TIMEOUT_MS), 0);
}

/* While the partition is not loaded, an answer still renews the lease of everything that runs on
 * the worker, so it has to stop the attempts of ended jobs. Without these stops, an outage that
 * began during a commit left cancelled tasks running until it ended. */
static void test_attempts_of_ended_jobs_are_stopped(void **state)
{
    (void)state;
    const reported_attempt_t attempts[] = {
        {.job = "j-000001", .task = 0, .attempt = 7, .state = TASK_RUNNING},
        {.job = "j-000002", .task = 1, .attempt = 8, .state = TASK_SAVING},
        {.job = "j-000002", .task = 2, .attempt = 9, .state = TASK_EXITED},
        {.job = "j-000002", .task = 3, .attempt = 9, .state = TASK_FETCHING}};
    worker_heartbeat_t heartbeat = {
        .machine = "m-000001", .attempts = g_array_new(FALSE, FALSE, sizeof(reported_attempt_t))};
    g_array_append_vals(heartbeat.attempts, attempts, G_N_ELEMENTS(attempts));
    GHashTable *live = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(live, (gpointer) "j-000001");
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    redirection_append_stops(&heartbeat, live, commands);
    assert_int_equal(commands->len, 2);
    for (guint i = 0; i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        assert_int_equal(command->op, COMMAND_STOP);
        assert_string_equal(command->job, "j-000002");
        assert_true(command->task == 1 || command->task == 3);
        assert_true(command->grace_s == 0); /* an attempt that is saving gets no time to finish */
    }
    g_array_unref(commands);
    g_hash_table_unref(live);
    worker_heartbeat_clear(&heartbeat);
}

/* Guards against needless waits for a probe. A machine that had hung, and other workers of the same
 * owner, sent heartbeats to a controller that did not own them. They were retained to wait for a
 * probe although the owner was reachable, were idle for 12 s, and one was terminated meanwhile. */
static void test_workers_of_a_reachable_owner_are_redirected_at_once(void **state)
{
    redirection_t *redirection = *state;
    msec_t now = REDIRECTION_GRACE_MS + 1000;
    worker_heartbeat_t first = heartbeat_of("m-000001", 1);
    worker_heartbeat_t second = heartbeat_of("m-000002", 1);
    assert_int_equal(redirection_handle_heartbeat(redirection, &first, "controller-1", true, now),
                     REDIRECTION_TO_OWNER);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &second, "controller-1", true, now + 100),
        REDIRECTION_TO_OWNER);
    owner_health_t health = {.answered_at = now - 500, .worker_heartbeat_at = now - 800};
    assert_true(redirection_owner_is_healthy(&health, now));
    /* An owner may be cut off from its workers if it answers this controller but receives no worker
     * heartbeats. One that does not answer this controller is not known to be healthy either. */
    health.worker_heartbeat_at = now - OWNER_REACHABLE_WITHIN_MS;
    assert_false(redirection_owner_is_healthy(&health, now));
    health = (owner_health_t){.answered_at = now - OWNER_REACHABLE_WITHIN_MS,
                              .worker_heartbeat_at = now};
    assert_false(redirection_owner_is_healthy(&health, now));
    health = (owner_health_t){0};
    assert_false(redirection_owner_is_healthy(&health, 100)); /* never answered */
}

/* Guards against retaining workers although their owner is known to be reachable. All workers left
 * their owner when processes stalled for a short time. The probe was redirected to the owner and
 * did not return, but the other workers were retained without starts for another 12 s. */
static void test_waiting_workers_are_redirected_once_the_owner_is_reachable(void **state)
{
    redirection_t *redirection = *state;
    msec_t now = REDIRECTION_GRACE_MS + 1000;
    worker_heartbeat_t probe = heartbeat_of("m-000001", 1);
    worker_heartbeat_t other = heartbeat_of("m-000002", 1);
    assert_int_equal(redirection_handle_heartbeat(redirection, &probe, "controller-1", false, now),
                     REDIRECTION_TO_OWNER);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &other, "controller-1", false, now + 100),
        REDIRECTION_RETAINED);
    other.heartbeat_sequence++;
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &other, "controller-1", false, now + 1100),
        REDIRECTION_RETAINED);
    other.heartbeat_sequence++;
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &other, "controller-1", true, now + 2100),
        REDIRECTION_TO_OWNER);
    other.heartbeat_sequence++; /* it returned itself, so it is retained for the full time */
    assert_int_equal(redirection_handle_heartbeat(redirection, &other, "controller-1", true,
                                                  now + 2100 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_RETAINED);
    other.heartbeat_sequence++;
    assert_int_equal(redirection_handle_heartbeat(redirection, &other, "controller-1", true,
                                                  now + 3100 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_RETAINED);
}

/* Guards against long idle times after a refusal. A worker that its owner had refused because the
 * owner had just started was retained without starts for 20 s. */
static void test_refused_worker_is_redirected_again_soon(void **state)
{
    redirection_t *redirection = *state;
    assert_int_equal(receive(redirection, 1, 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive(redirection, 1, 2, 2000), REDIRECTION_RETAINED);
    assert_int_equal(receive(redirection, 1, 3, 2000 + RETAIN_REFUSED_MS - 1),
                     REDIRECTION_RETAINED);
    assert_int_equal(receive(redirection, 1, 4, 2000 + RETAIN_REFUSED_MS), REDIRECTION_TO_OWNER);
}

/* Guards against the termination of machines that the leader itself retains. It read its own list
 * from the key-value store, where the list is seconds old, and terminated such a machine. */
static void test_retained_workers_are_listed_locally_at_once(void **state)
{
    redirection_t *redirection = *state;
    GHashTable *ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    receive(redirection, 1, 1, 1000);
    receive(redirection, 1, 2, 2000);
    redirection_add_retained(redirection, 2000, ids);
    assert_int_equal(g_hash_table_size(ids),
                     0); /* no answer is known to have arrived: these may be copies */
    receive(redirection, 1, 3, 2500);
    redirection_add_retained(redirection, 2500, ids);
    assert_true(g_hash_table_contains(ids, "m-000001"));
    g_hash_table_unref(ids);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_worker_that_returns_soon_is_retained, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_copies_of_heartbeats_do_not_list_a_machine_as_retained,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_heartbeat_of_an_earlier_worker_epoch_is_a_duplicate,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_one_probe_is_redirected_while_the_others_are_retained,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_refusal_of_one_worker_does_not_retain_the_others,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_new_view_does_not_redirect_to_an_unreachable_owner,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_heartbeat_from_before_the_view_has_no_effect, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_workers_of_a_reachable_owner_are_redirected_at_once,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_waiting_workers_are_redirected_once_the_owner_is_reachable, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_refused_worker_is_redirected_again_soon, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_retained_workers_are_listed_locally_at_once, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_attempts_of_ended_jobs_are_stopped, set_up, tear_down),
    };
    return cmocka_run_group_tests_name("redirection", tests, NULL, NULL);
}
