/* Tests of the autoscaler: which machines it scales out, and which zones count as unreachable. */
#include "core/autoscaler/autoscaler.h"
#include "leader_fixture.h"
#include "unit_test.h"

static char *zones[] = {"zone-a", NULL};
static const machine_type_t machine_type = {
    .name = "t", .capacity = {16, 0, 64}, .price = 3, .spot_price = 1, .zones = zones};

/* Returns the machine types of a cloud with one type in one zone: array of machine_type_t. */
static GArray *machine_types_new(void)
{
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    g_array_append_val(machine_types, machine_type);
    return machine_types;
}

/* Records that the cloud refused spot machines, so that none are requested from now on. */
static void record_spot_refusal(autoscaler_t *autoscaler)
{
    scale_out_request_t refused = {.type = "t", .zone = "zone-a", .is_spot = true};
    autoscaler_record_refusal(autoscaler, &refused, G_MAXINT64);
}

/* Gives the leader summaries of this many machines in the zone, all alike. */
static void set_summaries(leader_fixture_t *fixture, guint machines, msec_t silent_ms,
                          bool accepts_starts)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < machines; i++) {
        machine_summary_t summary = {.type = "t",
                                     .zone = "zone-a",
                                     .accepts_starts = accepts_starts,
                                     .silent_ms = silent_ms};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(fixture->leader, 0, summaries);
}

/* Makes a new leader of one partition, with an additional team that has no guarantee. */
static void set_up_unguaranteed_team(leader_fixture_t *fixture)
{
    add_team(fixture, "team-c", 0, 0);
    replace_leader(fixture, 1, 0);
}

/* Returns whether machines are scaled out for the pending work of a team without a guarantee, while
 * the cloud has no spot machines, and sets *request to the request for them. silent_machines: the
 * number of machines in the zone, all of which were silent for too long and were then terminated.
 * after_ms: the time from the update that found them silent to the scale-out. */
static bool next_scale_out(leader_fixture_t *fixture, bool may_use_spot, guint silent_machines,
                           msec_t after_ms, scale_out_request_t *request)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    job_spec_t spec = make_job("j-000001", "team-c", 50);
    spec.may_use_spot = may_use_spot;
    set_up_unguaranteed_team(fixture);
    add_job(fixture, &spec);
    autoscaler_t *autoscaler = autoscaler_new();
    set_summaries(fixture, silent_machines, 9000, false);
    g_autoptr(GPtrArray) unreachable =
        autoscaler_update_zones(autoscaler, fixture->leader, 6000, 1000);
    assert_int_equal(unreachable->len, silent_machines >= SILENT_MACHINES_MIN_COUNT);
    set_summaries(fixture, 0, 0, false);
    record_spot_refusal(autoscaler);
    bool is_scaling_out = autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types,
                                                    1000 + after_ms, 2000, request);
    autoscaler_free(autoscaler);
    return is_scaling_out;
}

static void test_spot_work_beyond_the_guarantee_waits_for_spot_machines(void **state)
{
    scale_out_request_t request;
    assert_false(next_scale_out(*state, true, 0, 0, &request));
}

static void test_work_that_may_not_use_spot_gets_on_demand_machines(void **state)
{
    scale_out_request_t request;
    assert_true(next_scale_out(*state, false, 0, 0, &request));
    assert_false(request.is_spot);
}

/* Returns the number of on-demand machines that are scaled out for this many pending tasks, if ten
 * spot machines exist and no more are available. */
static guint count_on_demand_for_tasks(leader_fixture_t *fixture, uint32_t tasks)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {
        .type = "t", .zone = "zone-a", .accepts_starts = true, .is_spot = true};
    summary.total = machine_type.capacity;
    for (guint i = 0; i < 10; i++)
        g_array_append_val(summaries, summary);
    replace_leader(fixture, 1, 0);
    leader_set_summaries(fixture->leader, 0, summaries);
    job_spec_t spec = make_job("j-000001", "team-c", tasks);
    spec.may_use_spot = true;
    add_job(fixture, &spec);
    autoscaler_t *autoscaler = autoscaler_new();
    record_spot_refusal(autoscaler);
    scale_out_request_t request;
    bool is_scaling_out =
        autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types, 1000, 2000, &request);
    assert_true(!is_scaling_out || !request.is_spot);
    autoscaler_free(autoscaler);
    return is_scaling_out ? request.count : 0;
}

/* Guards against a long queue that is never worked off: no more spot machines were available, and
 * nothing was scaled out for a queue of five minutes. Also guards against on-demand machines for
 * the whole queue, which cost more than the work was worth. */
static void test_a_long_queue_gets_a_limited_share_of_on_demand_machines(void **state)
{
    leader_fixture_t *fixture = *state;
    add_team(fixture, "team-c", 0, 0);
    /* The existing 160 cpus need 113 s, which is less than the maximum wait of 120 s. */
    assert_int_equal(count_on_demand_for_tasks(fixture, 900), 0);
    /* The existing cpus would need 138 s; 183 cpus would complete the work in the maximum wait. */
    assert_int_equal(count_on_demand_for_tasks(fixture, 1100), 1);
    /* 500 cpus would complete the work in the maximum wait; a fourth of them is the limit. */
    assert_int_equal(count_on_demand_for_tasks(fixture, 3000), 7);
}

/* Guards against scaling out in a zone that is cut off from the network: all machines of a zone
 * fell silent and were terminated, and the new machines that were scaled out in the same zone at
 * once cost money and could not be reached either. */
static void test_nothing_is_scaled_out_in_an_unreachable_zone(void **state)
{
    scale_out_request_t request;
    assert_false(next_scale_out(*state, false, 3, UNREACHABLE_ZONE_MS - 1, &request));
    /* Two silent machines do not show that the zone is cut off: they may have failed. */
    assert_true(next_scale_out(*state, false, 2, 0, &request));
}

static void test_a_zone_stops_being_unreachable_after_the_timeout(void **state)
{
    scale_out_request_t request;
    assert_true(next_scale_out(*state, false, 3, UNREACHABLE_ZONE_MS, &request));
}

/* Guards against a zone that still counts as unreachable after its machines have reconnected: the
 * zone was cut off for 40 s, and no machines were scaled out in it for a minute after that. */
static void test_a_zone_whose_machines_reconnect_is_reachable(void **state)
{
    leader_fixture_t *fixture = *state;
    set_up_unguaranteed_team(fixture);
    autoscaler_t *autoscaler = autoscaler_new();
    set_summaries(fixture, 5, 9000, false);
    g_ptr_array_unref(autoscaler_update_zones(autoscaler, fixture->leader, 6000, 1000));
    assert_true(autoscaler_is_zone_unreachable(autoscaler, "zone-a", 1000));
    assert_true(autoscaler_keeps_silent_machine(autoscaler, "zone-a", 40000, 20000, 1000));
    assert_false(autoscaler_keeps_silent_machine(autoscaler, "zone-a", UNREACHABLE_ZONE_WAIT_MS + 1,
                                                 20000, 1000));
    set_summaries(fixture, 5, 0, true);
    g_ptr_array_unref(autoscaler_update_zones(autoscaler, fixture->leader, 6000, 2000));
    assert_false(autoscaler_is_zone_unreachable(autoscaler, "zone-a", 2000));
    /* Guards against terminating the zone's other machines as soon as the first one reconnects. */
    assert_true(autoscaler_keeps_silent_machine(autoscaler, "zone-a", 42000, 20000, 2500));
    assert_false(autoscaler_keeps_silent_machine(autoscaler, "zone-a", 42000, 20000, 22001));
    assert_false(autoscaler_keeps_silent_machine(autoscaler, "zone-b", 42000, 20000, 2500));
    autoscaler_free(autoscaler);
}

/* Guards against work that waits for a machine that never comes up. Such an instance is terminated
 * only later, because it may be late, but it must not count as capacity meanwhile. */
static void test_an_overdue_booting_instance_is_replaced(void **state)
{
    enum { BOOT_S = 20, REQUESTED_AT_MS = 1000 };
    leader_fixture_t *fixture = *state;
    g_autoptr(GArray) machine_types = machine_types_new();
    g_array_index(machine_types, machine_type_t, 0).boot_s = BOOT_S;
    autoscaler_t *autoscaler = autoscaler_new();
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    add_job(fixture, &spec);
    autoscaler_add_booting(autoscaler, "m-000001", "t", "zone-a", false, REQUESTED_AT_MS);
    const msec_t overdue_at = REQUESTED_AT_MS + 2 * (msec_t)BOOT_S * MS_PER_S + 1;
    scale_out_request_t request;
    assert_false(autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types,
                                           overdue_at - 1, 2000, &request));
    assert_true(autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types, overdue_at,
                                          2000, &request));
    g_autoptr(GPtrArray) stuck = autoscaler_stuck_instances(autoscaler, machine_types, overdue_at);
    assert_int_equal(stuck->len, 0);
    autoscaler_free(autoscaler);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_spot_work_beyond_the_guarantee_waits_for_spot_machines,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_an_overdue_booting_instance_is_replaced, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_nothing_is_scaled_out_in_an_unreachable_zone,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_zone_stops_being_unreachable_after_the_timeout,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_zone_whose_machines_reconnect_is_reachable,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_a_long_queue_gets_a_limited_share_of_on_demand_machines, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_work_that_may_not_use_spot_gets_on_demand_machines,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("autoscaler", tests, NULL, NULL);
}
