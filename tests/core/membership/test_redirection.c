/* Tests of workers that heartbeat to a controller that does not own them. */
#include "core/membership/redirection.h"
#include "unit_test.h"

static redirection_t *redirection;

static int set_up(void **state)
{
    (void)state;
    redirection = redirection_new();
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    redirection_free(redirection);
    return 0;
}

static redirection_verdict_t receive(uint64_t worker_epoch, uint64_t heartbeat_sequence, msec_t now)
{
    worker_heartbeat_t heartbeat = {.machine = "m-000001",
                                    .worker_epoch = worker_epoch,
                                    .heartbeat_sequence = heartbeat_sequence};
    return redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false, now);
}

static guint retained(msec_t now)
{
    GPtrArray *list = redirection_retained(redirection, now);
    guint count = list->len;
    g_ptr_array_unref(list);
    return count;
}

static void test_worker_that_comes_right_back_is_retained(void **state)
{
    (void)state;
    assert_int_equal(receive(1, 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive(1, 2, 5000), REDIRECTION_RETAINED);
    assert_int_equal(receive(1, 3, 6000), REDIRECTION_RETAINED);
    assert_int_equal(retained(6000), 1);
    assert_int_equal(receive(1, 30, 5000 + RETAIN_MS), REDIRECTION_TO_OWNER); /* a new try */
    assert_int_equal(retained(5000 + RETAIN_MS), 0);
}

/* Copies of two old heartbeats look like a worker that came back: the leader would keep a dead
 * machine, tasks and all. */
static void test_copies_keep_no_machine_alive(void **state)
{
    (void)state;
    assert_int_equal(receive(1, 5, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive(1, 5, 2000), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(1, 4, 2000), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(1, 6, 5000),
                     REDIRECTION_RETAINED); /* perhaps a late one: answered, not told */
    assert_int_equal(retained(5000), 0);
    assert_int_equal(receive(1, 6, 5500), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(1, 7, 15000),
                     REDIRECTION_RETAINED); /* 10 s later: no answer has arrived there */
    assert_int_equal(retained(15000), 0);
}

static void test_copy_of_an_earlier_session_is_old(void **state)
{
    (void)state;
    receive(2, 5, 1000);
    assert_int_equal(receive(1, 90, 2000), REDIRECTION_DUPLICATE);
    assert_int_equal(receive(3, 1, 2000), REDIRECTION_RETAINED);
}

static redirection_verdict_t receive_with_loss(const char *machine, uint64_t heartbeat_sequence,
                                               msec_t now)
{
    worker_heartbeat_t heartbeat = {.worker_epoch = 1, .heartbeat_sequence = heartbeat_sequence};
    g_strlcpy(heartbeat.machine, machine, sizeof heartbeat.machine);
    return redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                        REDIRECTION_GRACE_MS + now);
}

/* Workers that had their owner in this view lost it, all at once. Sent back to it, each waited 5 s
 * for every controller that did not answer, past its lease: of a fleet that one controller alone
 * could be reached by, 1,405 tasks were killed. */
static void test_a_probe_goes_to_the_owner_while_the_others_are_retained(void **state)
{
    (void)state;
    assert_int_equal(receive_with_loss("m-000001", 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive_with_loss("m-000002", 1, 1100), REDIRECTION_RETAINED);
    assert_int_equal(receive_with_loss("m-000003", 1, 1200), REDIRECTION_RETAINED);
    assert_int_equal(receive_with_loss("m-000001", 2, 11500),
                     REDIRECTION_RETAINED); /* back: it can't reach it */
    assert_int_equal(receive_with_loss("m-000002", 9, 1000 + REDIRECT_PROBE_MS),
                     REDIRECTION_RETAINED);
    msec_t next = 11500 + RETAIN_MS;
    assert_int_equal(receive_with_loss("m-000002", 30, next - 100), REDIRECTION_RETAINED);
    assert_int_equal(receive_with_loss("m-000003", 30, next),
                     REDIRECTION_TO_OWNER); /* the next probe */
    assert_int_equal(receive_with_loss("m-000001", 30, next + 100), REDIRECTION_RETAINED);
    assert_int_equal(receive_with_loss("m-000002", 40, next + REDIRECT_PROBE_MS + 100),
                     REDIRECTION_TO_OWNER); /* it stayed */
    assert_int_equal(receive_with_loss("m-000001", 40, next + REDIRECT_PROBE_MS + 200),
                     REDIRECTION_TO_OWNER);
}

/* A controller that had just begun turned one worker away, which was back within a second: all the
 * others were kept from it for 20 s, without starts. */
static void test_one_that_is_turned_away_speaks_for_itself_only(void **state)
{
    (void)state;
    assert_int_equal(receive_with_loss("m-000001", 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive_with_loss("m-000001", 2, 2000), REDIRECTION_RETAINED);
    worker_heartbeat_t heartbeat = {
        .machine = "m-000002", .worker_epoch = 1, .heartbeat_sequence = 1};
    redirection_clear(redirection, 0, REDIRECTION_GRACE_MS + 2050);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  REDIRECTION_GRACE_MS + 2100),
                     REDIRECTION_TO_OWNER);
    /* Nor is any worker retained for a probe while workers are on their way to new owners, whatever
     * token a command brought them. */
    g_strlcpy(heartbeat.machine, "m-000003", sizeof heartbeat.machine);
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  REDIRECTION_GRACE_MS + 2200),
                     REDIRECTION_TO_OWNER);
}

/* After a view its owner is another, which others of its workers could not reach a moment ago: it
 * is not sent there. A controller that began anew is a stranger, and tried. */
static void test_a_view_does_not_send_workers_to_one_that_was_missed(void **state)
{
    (void)state;
    receive_with_loss("m-000001", 1, 1000);
    receive_with_loss("m-000001", 2, 11000); /* hand-1 is missed */
    redirection_clear(redirection, 0, REDIRECTION_GRACE_MS + 11500);
    worker_heartbeat_t heartbeat = {
        .machine = "m-000004", .worker_epoch = 1, .heartbeat_sequence = 1};
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
    heartbeat.heartbeat_sequence = 3; /* it came right back from the one that began anew */
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1 anew",
                                                  false, REDIRECTION_GRACE_MS + 20000),
                     REDIRECTION_RETAINED);
}

/* Copies of heartbeats from before the view reach every controller just as it begins, when nobody
 * has anything to compare them with. The worker, which comes for the first time after them, had
 * looked like one that could not reach its owner: it was kept from it for 20 s without starts, and
 * all that belong there along with it. */
static void test_a_copy_from_before_the_view_redirects_nobody(void **state)
{
    (void)state;
    worker_heartbeat_t heartbeat = {
        .machine = "m-000001", .worker_epoch = 1, .heartbeat_sequence = 5, .fencing_token = 6};
    redirection_clear(redirection, 7, 1000);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false, 1100),
        REDIRECTION_UNVERIFIED);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false, 1200),
        REDIRECTION_UNVERIFIED);
    heartbeat.heartbeat_sequence = 9;
    heartbeat.fencing_token =
        7; /* the worker: an answer, or its owner's command, brought it the fencing token */
    assert_int_equal(redirection_handle_heartbeat(redirection, &heartbeat, "controller-1", false,
                                                  1100 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_TO_OWNER);
    worker_heartbeat_t other = {
        .machine = "m-000002", .worker_epoch = 1, .heartbeat_sequence = 5, .fencing_token = 7};
    assert_int_equal(redirection_handle_heartbeat(redirection, &other, "controller-1", false,
                                                  1200 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_TO_OWNER);
    assert_int_equal(retained(1200 + REDIRECT_TIMEOUT_MS), 0);
}

/* While a partition is not loaded, an answer still renews the lease of all that runs there: an
 * outage that began with a commit under way left cancelled tasks running for as long as it lasted.
 */
static void test_an_answer_without_the_partition_stops_what_is_over(void **state)
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
    redirection_stop_ended(&heartbeat, live, commands);
    assert_int_equal(commands->len, 2);
    for (guint i = 0; i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        assert_int_equal(command->op, COMMAND_STOP);
        assert_string_equal(command->job, "j-000002");
        assert_true(command->task == 1 || command->task == 3);
        assert_true(command->grace_s == 0); /* one that saves is cut off */
    }
    g_array_unref(commands);
    g_hash_table_unref(live);
    worker_heartbeat_clear(&heartbeat);
}

/* A machine that hung comes back to the wrong controller with others of its owner: retained for the
 * sake of a probe, they stood idle for 12 s, and one was released meanwhile. */
static void test_workers_of_a_reachable_owner_go_there_at_once(void **state)
{
    (void)state;
    msec_t now = REDIRECTION_GRACE_MS + 1000;
    worker_heartbeat_t first = {.machine = "m-000001", .worker_epoch = 1, .heartbeat_sequence = 1};
    worker_heartbeat_t second = {.machine = "m-000002", .worker_epoch = 1, .heartbeat_sequence = 1};
    assert_int_equal(redirection_handle_heartbeat(redirection, &first, "controller-1", true, now),
                     REDIRECTION_TO_OWNER);
    assert_int_equal(
        redirection_handle_heartbeat(redirection, &second, "controller-1", true, now + 100),
        REDIRECTION_TO_OWNER);
    owner_health_t health = {.answered_at = now - 500, .worker_heartbeat_at = now - 800};
    assert_true(redirection_owner_is_healthy(&health, now));
    /* One that answers us but is heard by no worker, or the reverse, may be cut from workers. */
    health.worker_heartbeat_at = now - OWNER_FRESH_MS;
    assert_false(redirection_owner_is_healthy(&health, now));
    health = (owner_health_t){.answered_at = now - OWNER_FRESH_MS, .worker_heartbeat_at = now};
    assert_false(redirection_owner_is_healthy(&health, now));
    health = (owner_health_t){0};
    assert_false(redirection_owner_is_healthy(&health, 100)); /* it never answered */
}

/* All workers left their owner when processes stood still for a moment. One tried it and stayed;
 * the others, without starts, were kept from it for 12 s more. */
static void test_workers_follow_a_probe_that_reached_its_owner(void **state)
{
    (void)state;
    msec_t now = REDIRECTION_GRACE_MS + 1000;
    worker_heartbeat_t probe = {.machine = "m-000001", .worker_epoch = 1, .heartbeat_sequence = 1};
    worker_heartbeat_t other = {.machine = "m-000002", .worker_epoch = 1, .heartbeat_sequence = 1};
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
    other.heartbeat_sequence++; /* it tried for itself in vain, and stays for the whole time */
    assert_int_equal(redirection_handle_heartbeat(redirection, &other, "controller-1", true,
                                                  now + 2100 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_RETAINED);
    other.heartbeat_sequence++;
    assert_int_equal(redirection_handle_heartbeat(redirection, &other, "controller-1", true,
                                                  now + 3100 + REDIRECT_TIMEOUT_MS),
                     REDIRECTION_RETAINED);
}

/* A controller that had just begun kept each worker that it turned away without starts for 20 s. */
static void test_one_that_was_turned_away_tries_again_soon(void **state)
{
    (void)state;
    assert_int_equal(receive(1, 1, 1000), REDIRECTION_TO_OWNER);
    assert_int_equal(receive(1, 2, 2000), REDIRECTION_RETAINED);
    assert_int_equal(receive(1, 3, 2000 + RETAIN_REFUSED_MS - 1), REDIRECTION_RETAINED);
    assert_int_equal(receive(1, 4, 2000 + RETAIN_REFUSED_MS), REDIRECTION_TO_OWNER);
}

/* The leader released a machine that it was itself keeping alive: it asked for its own list where
 * that stands seconds late. */
static void test_retained_workers_are_known_to_their_node_at_once(void **state)
{
    (void)state;
    GHashTable *ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    receive(1, 1, 1000);
    receive(1, 2, 2000);
    redirection_add_retained(redirection, 2000, ids);
    assert_int_equal(g_hash_table_size(ids), 0); /* perhaps copies: no answer has arrived there */
    receive(1, 3, 2500);
    redirection_add_retained(redirection, 2500, ids);
    assert_true(g_hash_table_contains(ids, "m-000001"));
    g_hash_table_unref(ids);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_worker_that_comes_right_back_is_retained, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_copies_keep_no_machine_alive, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_copy_of_an_earlier_session_is_old, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_a_probe_goes_to_the_owner_while_the_others_are_retained, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_one_that_is_turned_away_speaks_for_itself_only, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_a_view_does_not_send_workers_to_one_that_was_missed,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_a_copy_from_before_the_view_redirects_nobody, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_workers_of_a_reachable_owner_go_there_at_once, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_workers_follow_a_probe_that_reached_its_owner, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_one_that_was_turned_away_tries_again_soon, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_retained_workers_are_known_to_their_node_at_once,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_an_answer_without_the_partition_stops_what_is_over,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("redirection", tests, NULL, NULL);
}
