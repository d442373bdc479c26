/* Tests of the autoscaler: which machines are scaled out, and in which zones. */
#include "core/autoscaler/autoscaler.h"
#include "leader_fixture.h"
#include "unit_test.h"

static char *zones[] = {"zone-a", NULL};
static const machine_type_t machine_type = {
    .name = "t", .capacity = {16, 0, 64}, .price = 3, .spot_price = 1, .zones = zones};

/* The cloud has one machine type, in one zone; array of machine_type_t. */
static GArray *machine_types_new(void)
{
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    g_array_append_val(machine_types, machine_type);
    return machine_types;
}

/* The cloud has no spot machines. */
static void record_spot_refusal(autoscaler_t *autoscaler)
{
    scale_out_request_t refused = {.type = "t", .zone = "zone-a", .is_spot = true};
    autoscaler_record_refusal(autoscaler, &refused, G_MAXINT64);
}

static void set_summaries(leader_fixture_t *fixture, guint machines, msec_t silent_ms, bool open)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < machines; i++) {
        machine_summary_t summary = {
            .type = "t", .zone = "zone-a", .is_open = open, .silent_ms = silent_ms};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(fixture->leader, 0, summaries);
}

/* A new leader of one partition that also has a team without a guarantee. */
static void lead_with_unguaranteed_team(leader_fixture_t *fixture)
{
    add_team(fixture, "team-c", 0, 0);
    replace_leader(fixture, 1, 0);
}

/* Whether machines are scaled out for the waiting work of a team without a guarantee, while the
 * cloud has no spot machines. silent_machines: machines of the zone that were silent for long,
 * until they were terminated; after_ms: time since. */
static bool next_scale_out(leader_fixture_t *fixture, bool may_use_spot, guint silent_machines,
                           msec_t after_ms, scale_out_request_t *request)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    job_spec_t spec = make_job("j-000001", "team-c", 50);
    spec.may_use_spot = may_use_spot;
    lead_with_unguaranteed_team(fixture);
    add_job(fixture, &spec);
    autoscaler_t *autoscaler = autoscaler_new();
    set_summaries(fixture, silent_machines, 9000, false);
    g_autoptr(GPtrArray) unreachable =
        autoscaler_update_zones(autoscaler, fixture->leader, 6000, 1000);
    assert_int_equal(unreachable->len, silent_machines >= LOST_MACHINES_MIN_COUNT);
    set_summaries(fixture, 0, 0, false);
    record_spot_refusal(autoscaler);
    bool is_scaling_out = autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types,
                                                    1000 + after_ms, 2000, request);
    autoscaler_free(autoscaler);
    return is_scaling_out;
}

static void test_without_a_guarantee_spot_work_waits_for_spot(void **state)
{
    scale_out_request_t request;
    assert_false(next_scale_out(*state, true, 0, 0, &request));
}

static void test_work_barred_from_spot_gets_on_demand_machines(void **state)
{
    scale_out_request_t request;
    assert_true(next_scale_out(*state, false, 0, 0, &request));
    assert_false(request.is_spot);
}

/* Ten spot machines exist, no more are to be had, and so many tasks wait: the number of on-demand
 * machines that are scaled out. */
static guint count_on_demand_for(leader_fixture_t *fixture, uint32_t tasks)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {.type = "t", .zone = "zone-a", .is_open = true, .is_spot = true};
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

/* Spot machines ran out, and a queue of five minutes never drained; on-demand ones for all of it
 * cost more than they were worth. */
static void test_work_that_waits_too_long_gets_a_share_of_on_demand_machines(void **state)
{
    leader_fixture_t *fixture = *state;
    add_team(fixture, "team-c", 0, 0);
    assert_int_equal(count_on_demand_for(fixture, 900), 0);  /* 113 s on what exists */
    assert_int_equal(count_on_demand_for(fixture, 1100), 1); /* 138 s: 183 cpus would do it in the
                                                                patience */
    assert_int_equal(count_on_demand_for(fixture, 3000), 7); /* a fourth of the 500 that would */
}

/* A zone went silent as a whole and its machines were terminated: what was scaled out there at once
 * booted, cost, and could not be reached either. */
static void test_nothing_is_scaled_out_in_an_unreachable_zone(void **state)
{
    scale_out_request_t request;
    assert_false(next_scale_out(*state, false, 3, UNREACHABLE_ZONE_MS - 1, &request));
    assert_true(next_scale_out(*state, false, 2, 0, &request)); /* two may have failed */
}

static void test_a_zone_is_unreachable_for_a_while_only(void **state)
{
    scale_out_request_t request;
    assert_true(next_scale_out(*state, false, 3, UNREACHABLE_ZONE_MS, &request));
}

/* A cut ended after 40 s, and the zone stayed without new machines for a minute more. */
static void test_a_zone_that_reports_again_is_reachable(void **state)
{
    leader_fixture_t *fixture = *state;
    lead_with_unguaranteed_team(fixture);
    autoscaler_t *autoscaler = autoscaler_new();
    set_summaries(fixture, 5, 9000, false);
    g_ptr_array_unref(autoscaler_update_zones(autoscaler, fixture->leader, 6000, 1000));
    assert_true(autoscaler_is_zone_unreachable(autoscaler, "zone-a", 1000));
    assert_true(autoscaler_awaits_zone(autoscaler, "zone-a", 40000, 20000, 1000));
    assert_false(
        autoscaler_awaits_zone(autoscaler, "zone-a", UNREACHABLE_WAIT_MS + 1, 20000, 1000));
    set_summaries(fixture, 5, 0, true);
    g_ptr_array_unref(autoscaler_update_zones(autoscaler, fixture->leader, 6000, 2000));
    assert_false(autoscaler_is_zone_unreachable(autoscaler, "zone-a", 2000));
    /* Its other machines were terminated the moment that the first was back. */
    assert_true(autoscaler_awaits_zone(autoscaler, "zone-a", 42000, 20000, 2500));
    assert_false(autoscaler_awaits_zone(autoscaler, "zone-a", 42000, 20000, 22001));
    assert_false(autoscaler_awaits_zone(autoscaler, "zone-b", 42000, 20000, 2500));
    autoscaler_free(autoscaler);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_without_a_guarantee_spot_work_waits_for_spot,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_nothing_is_scaled_out_in_an_unreachable_zone,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_zone_is_unreachable_for_a_while_only, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_zone_that_reports_again_is_reachable, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_work_that_waits_too_long_gets_a_share_of_on_demand_machines, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_work_barred_from_spot_gets_on_demand_machines,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("autoscaler", tests, NULL, NULL);
}
