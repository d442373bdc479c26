/* Tests of demand that only some machines can serve. Idle machines that a job may not use, or on
 * which it does not fit, must neither keep machines for it from being scaled out nor let the only
 * machine that can run it be scaled in. */
#include "core/autoscaler/autoscaler.h"
#include "leader_fixture.h"
#include "unit_test.h"

#include <string.h>

enum { NOW_MS = 1000, WALL_CLOCK_MS = 2000, SCALE_IN_AT_MS = 100000 };

static char *both_zones[] = {"zone-a", "zone-b", NULL};

static GArray *machine_types_new(void)
{
    static const machine_type_t types[] = {
        {.name = "t", .capacity = {16, 0, 999}, .price = 3, .spot_price = 1, .zones = both_zones},
        {.name = "large",
         .capacity = {64, 0, 999},
         .price = 12,
         .spot_price = 4,
         .zones = both_zones},
        {.name = "gpu",
         .capacity = {16, 4, 999},
         .price = 30,
         .spot_price = 10,
         .zones = both_zones}};
    GArray *machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    g_array_append_vals(machine_types, types, G_N_ELEMENTS(types));
    return machine_types;
}

/* Returns whether machines are scaled out, and sets *request to the request for them. */
static bool next_scale_out(const leader_fixture_t *fixture, const autoscaler_t *autoscaler,
                           scale_out_request_t *request)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    *request = (scale_out_request_t){0};
    return autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types, NOW_MS,
                                     WALL_CLOCK_MS, request);
}

/* Adds the job to a leader with one idle machine of 16 cpus in zone-a. Returns the request that
 * follows; its count is 0 if there is none. */
static scale_out_request_t request_beside_idle_machine(leader_fixture_t *fixture,
                                                       const job_spec_t *spec, bool is_spot)
{
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    scale_out_request_t request;
    replace_leader(fixture, 1, 3);
    set_idle_machine(fixture, 0, "zone-a", 16);
    g_array_index((GArray *)g_ptr_array_index(fixture->leader->summaries, 0), machine_summary_t, 0)
        .is_spot = is_spot;
    add_job(fixture, spec);
    if (!next_scale_out(fixture, autoscaler, &request))
        request.count = 0;
    return request;
}

/* Guards against accepted jobs that never run: the capacity of all machines exceeded all demand, so
 * nothing was scaled out for a job that could use none of them. Each of the job's own constraints
 * is checked; without it, the idle machine suffices. */
static void test_a_job_that_can_use_no_machine_gets_one(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    assert_int_equal(request_beside_idle_machine(fixture, &spec, false).count, 0);
    /* It may not use spot machines. */
    scale_out_request_t request = request_beside_idle_machine(fixture, &spec, true);
    assert_int_equal(request.count, 1);
    assert_false(request.is_spot);
    /* Its zone. */
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    request = request_beside_idle_machine(fixture, &spec, false);
    assert_int_equal(request.count, 1);
    assert_string_equal(request.zone, "zone-b");
    assert_string_equal(request.type, "t");
    spec.zone[0] = '\0';
    /* Its machine type. */
    char *types[] = {"large", NULL};
    spec.types = types;
    assert_string_equal(request_beside_idle_machine(fixture, &spec, false).type, "large");
    spec.types = NULL;
    /* Its size. */
    spec.need.gpus = 1;
    assert_string_equal(request_beside_idle_machine(fixture, &spec, false).type, "gpu");
    spec.need = (resources_t){20, 0, 1};
    assert_string_equal(request_beside_idle_machine(fixture, &spec, false).type, "large");
}

/* Guards against a job that waits because the machines in its zone are full, while machines in
 * another zone are idle. A machine that is booting in its zone suffices. */
static void test_full_machines_in_the_zone_of_a_job_are_supplemented_once(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    scale_out_request_t request;
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    set_idle_machine(fixture, 0, "zone-a", 160);
    set_machine(fixture, 1, "zone-b", 16, 1);
    add_job(fixture, &spec);
    assert_true(next_scale_out(fixture, autoscaler, &request));
    assert_string_equal(request.zone, "zone-b");
    assert_string_equal(request.job, "j-000001");
    autoscaler_add_booting(autoscaler, "m-000009", "t", "zone-a", false, NOW_MS);
    assert_true(next_scale_out(fixture, autoscaler, &request));
    autoscaler_add_booting(autoscaler, "m-000010", "t", "zone-b", false, NOW_MS);
    assert_false(next_scale_out(fixture, autoscaler, &request));
}

/* Guards against gangs that never start: their tasks were counted as if they could run one after
 * another, or in any zone. */
static void test_a_gang_gets_machines_for_all_of_its_tasks_at_once(void **state)
{
    leader_fixture_t *fixture = *state;
    job_spec_t spec = make_job("j-000001", "team-b", 2);
    spec.kind = KIND_GANG;
    spec.need.cpus = 7;
    assert_int_equal(request_beside_idle_machine(fixture, &spec, false).count, 0);
    spec.needs_spread = true; /* at most one of the two tasks in each zone */
    scale_out_request_t request = request_beside_idle_machine(fixture, &spec, false);
    assert_int_equal(request.count, 1);
    assert_string_equal(request.zone, "zone-b");
    spec.needs_spread = false;
    spec.tasks = 3;
    assert_int_equal(request_beside_idle_machine(fixture, &spec, false).count, 1);
    spec.needs_same_zone = true;
    request = request_beside_idle_machine(fixture, &spec, false);
    assert_int_equal(request.count, 1);
    assert_string_equal(request.zone, "zone-a");
}

/* Returns the machine that is scaled in after a surplus has lasted for long; NULL if there is none.
 */
static const char *next_scale_in(const leader_fixture_t *fixture, autoscaler_t *autoscaler)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    autoscaler_next_scale_in(autoscaler, fixture->leader, machine_types, NOW_MS, WALL_CLOCK_MS);
    const machine_summary_t *machine = autoscaler_next_scale_in(
        autoscaler, fixture->leader, machine_types, SCALE_IN_AT_MS, WALL_CLOCK_MS);
    return machine ? machine->machine : NULL;
}

/* Guards against scaling in the only machine that a job can use. The machine is needed for the
 * pending task, and also for the running one: if it is moved, it needs a machine in its zone. */
static void test_the_only_machine_of_a_job_is_not_scaled_in(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    set_machine(fixture, 0, "zone-a", 16, 10); /* it is scaled in although it is not idle */
    set_idle_machine(fixture, 1, "zone-b", 16);
    assert_string_equal(next_scale_in(fixture, autoscaler), "m-zone-b");
    add_job(fixture, &spec);
    assert_string_equal(next_scale_in(fixture, autoscaler), "m-zone-a");
    record_entry_t entry = make_record_entry("j-000001", "team-b", 0, 7);
    load_attempt(fixture, &entry, "zone-b", 1);
    assert_string_equal(next_scale_in(fixture, autoscaler), "m-zone-a");
}

/* Guards against an idle machine that is kept for a job that cannot use it. */
static void test_a_job_does_not_keep_a_machine_that_it_cannot_use(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    set_idle_machine(fixture, 0, "zone-a", 16);
    add_job(fixture, &spec);
    assert_string_equal(next_scale_in(fixture, autoscaler), "m-zone-a");
    spec.zone[0] = '\0';
    g_strlcpy(spec.id, "j-000002", sizeof spec.id);
    add_job(fixture, &spec);
    assert_null(next_scale_in(fixture, autoscaler));
}

/* Guards against a machine that is never requested, because instead the drain of a machine is
 * cancelled that the waiting job cannot use, and that is then drained again. */
static void test_only_the_drain_of_a_usable_machine_is_cancelled(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    scale_out_request_t request;
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    add_job(fixture, &spec);
    for (guint i = 0; i < 2; i++) {
        set_machine(fixture, i, both_zones[i], 16, 10);
        GArray *summaries = g_ptr_array_index(fixture->leader->summaries, i);
        machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, 0);
        summary->is_draining = true;
        summary->accepts_starts = false;
        summary->attempts = 1;
    }
    assert_true(next_scale_out(fixture, autoscaler, &request));
    const machine_summary_t *machine =
        autoscaler_drain_to_cancel(fixture->leader, &request, NOW_MS);
    assert_string_equal(machine->machine, "m-zone-b");
    set_idle_machine(fixture, 1, "zone-a", 16);
    assert_true(next_scale_out(fixture, autoscaler, &request));
    assert_null(autoscaler_drain_to_cancel(fixture->leader, &request, NOW_MS));
}

/* Records that the cloud refused all spot machines. */
static void record_spot_refusals(autoscaler_t *autoscaler)
{
    static const char *const types[] = {"t", "large", "gpu"};
    for (guint i = 0; i < G_N_ELEMENTS(types); i++)
        for (char **zone = both_zones; *zone; zone++) {
            scale_out_request_t refused = {.is_spot = true};
            g_strlcpy(refused.type, types[i], sizeof refused.type);
            g_strlcpy(refused.zone, *zone, sizeof refused.zone);
            autoscaler_record_refusal(autoscaler, &refused, G_MAXINT64);
        }
}

/* Returns whether machines are scaled out when the job has waited for this long. */
static bool next_scale_out_after(const leader_fixture_t *fixture, const autoscaler_t *autoscaler,
                                 int64_t waited_ms, scale_out_request_t *request)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    *request = (scale_out_request_t){0};
    return autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types, NOW_MS,
                                     1000 + waited_ms, request);
}

/* Guards against little work that never runs: the cloud refuses spot machines, and the work is too
 * little to justify an on-demand machine. A job without any machine gets one after its maximum
 * wait; a job that some machine can serve waits for it. */
static void test_little_work_without_machines_gets_an_on_demand_machine(void **state)
{
    enum { MAX_WAIT_MS = 60000 }; /* the default for normal priority */
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    scale_out_request_t request;
    add_team(fixture, "team-c", 0, 0);
    replace_leader(fixture, 2, 3);
    job_spec_t spec = make_job("j-000001", "team-c", 1);
    spec.may_use_spot = true;
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    add_job(fixture, &spec);
    record_spot_refusals(autoscaler);
    assert_false(next_scale_out_after(fixture, autoscaler, MAX_WAIT_MS - 1, &request));
    assert_true(next_scale_out_after(fixture, autoscaler, MAX_WAIT_MS, &request));
    assert_int_equal(request.count, 1);
    assert_false(request.is_spot);
    set_idle_machine(fixture, 0, "zone-a", 16); /* which the job cannot use */
    assert_false(next_scale_out_after(fixture, autoscaler, MAX_WAIT_MS - 1, &request));
    assert_true(next_scale_out_after(fixture, autoscaler, MAX_WAIT_MS, &request));
    assert_string_equal(request.zone, "zone-b");
    set_machine(fixture, 1, "zone-b", 16, 1);
    assert_false(next_scale_out_after(fixture, autoscaler, MAX_WAIT_MS, &request));
}

/* Guards against an on-demand machine that is drained as soon as it has booted, because the work
 * that it was scaled out for is too little to justify it, and is then scaled out again. */
static void test_the_only_machine_is_kept_for_little_work(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    add_team(fixture, "team-c", 0, 0);
    replace_leader(fixture, 2, 3);
    job_spec_t spec = make_job("j-000001", "team-c", 1);
    spec.may_use_spot = true;
    set_idle_machine(fixture, 0, "zone-a", 16);
    add_job(fixture, &spec);
    assert_null(next_scale_in(fixture, autoscaler));
    leader_remove_job(fixture->leader, "j-000001");
    assert_string_equal(next_scale_in(fixture, autoscaler), "m-zone-a");
}

/* Gives the partition three machines in zone-b that have been silent for long, and makes the
 * autoscaler look at the zones every second from NOW_MS to until. The first machine may be draining
 * and not silent. */
static void observe_silent_zone(leader_fixture_t *fixture, autoscaler_t *autoscaler, msec_t until,
                                bool is_first_draining)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < 4; i++) {
        machine_summary_t summary = {
            .type = "t", .zone = "zone-b", .silent_ms = 9000, .total = {16, 0, 999}};
        g_snprintf(summary.machine, sizeof summary.machine, "m-%06u", i);
        if (i == 0 && is_first_draining) {
            summary.is_draining = true;
            summary.silent_ms = 100;
        }
        g_array_append_val(summaries, summary);
    }
    leader_set_summaries(fixture->leader, 1, summaries);
    for (msec_t now = NOW_MS; now <= until; now += MS_PER_S)
        g_ptr_array_unref(autoscaler_update_zones(autoscaler, fixture->leader, 6000, now));
}

/* Returns whether machines are scaled out in zone-b at this time. */
static bool is_scaled_out_in_silent_zone(const leader_fixture_t *fixture,
                                         const autoscaler_t *autoscaler, msec_t now)
{
    g_autoptr(GArray) machine_types = machine_types_new();
    scale_out_request_t request = {0};
    return autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types, now, WALL_CLOCK_MS,
                                     &request) &&
           strcmp(request.zone, "zone-b") == 0;
}

/* Guards against a job that waits without an end for a zone that counts as unreachable, although it
 * can run nowhere else: its machines may have failed, and each look at them extended the state. */
static void test_work_bound_to_an_unreachable_zone_gets_a_machine_in_time(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    g_strlcpy(spec.zone, "zone-b", sizeof spec.zone);
    set_idle_machine(fixture, 0, "zone-a", 16);
    add_job(fixture, &spec);
    const msec_t allowed_at = NOW_MS + UNREACHABLE_ZONE_CONFINED_MS;
    observe_silent_zone(fixture, autoscaler, allowed_at, false);
    assert_false(is_scaled_out_in_silent_zone(fixture, autoscaler, allowed_at - 1));
    assert_true(is_scaled_out_in_silent_zone(fixture, autoscaler, allowed_at));
}

/* Guards against a wait without an end if all zones count as unreachable: work that no other zone
 * can take gets machines, as if the zone were reachable. */
static void test_work_gets_machines_although_all_zones_stay_unreachable(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    job_spec_t spec = make_job("j-000001", "team-b", 1);
    char *only_zone[] = {"zone-b", NULL};
    machine_type_t type = {
        .name = "t", .capacity = {16, 0, 999}, .price = 3, .spot_price = 1, .zones = only_zone};
    g_autoptr(GArray) machine_types = g_array_new(FALSE, FALSE, sizeof(machine_type_t));
    g_array_append_val(machine_types, type);
    add_job(fixture, &spec);
    observe_silent_zone(fixture, autoscaler, NOW_MS + UNREACHABLE_ZONE_MS, false);
    scale_out_request_t request;
    assert_false(autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types,
                                           NOW_MS + UNREACHABLE_ZONE_MS - 1, WALL_CLOCK_MS,
                                           &request));
    assert_true(autoscaler_next_scale_out(autoscaler, fixture->leader, machine_types,
                                          NOW_MS + UNREACHABLE_ZONE_MS, WALL_CLOCK_MS, &request));
}

/* Guards against a zone that counts as unreachable although a draining machine there acknowledges.
 */
static void test_a_draining_machine_shows_that_its_zone_is_reachable(void **state)
{
    leader_fixture_t *fixture = *state;
    g_autoptr(autoscaler_t) autoscaler = autoscaler_new();
    observe_silent_zone(fixture, autoscaler, NOW_MS, true);
    assert_false(autoscaler_is_zone_unreachable(autoscaler, "zone-b", NOW_MS));
    observe_silent_zone(fixture, autoscaler, NOW_MS, false);
    assert_true(autoscaler_is_zone_unreachable(autoscaler, "zone-b", NOW_MS));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_a_job_that_can_use_no_machine_gets_one, set_up_leader,
                                        tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_full_machines_in_the_zone_of_a_job_are_supplemented_once, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_gang_gets_machines_for_all_of_its_tasks_at_once,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_the_only_machine_of_a_job_is_not_scaled_in,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_job_does_not_keep_a_machine_that_it_cannot_use,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_little_work_without_machines_gets_an_on_demand_machine,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_the_only_machine_is_kept_for_little_work,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(
            test_work_bound_to_an_unreachable_zone_gets_a_machine_in_time, set_up_leader,
            tear_down_leader),
        cmocka_unit_test_setup_teardown(test_work_gets_machines_although_all_zones_stay_unreachable,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_a_draining_machine_shows_that_its_zone_is_reachable,
                                        set_up_leader, tear_down_leader),
        cmocka_unit_test_setup_teardown(test_only_the_drain_of_a_usable_machine_is_cancelled,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("constrained_demand", tests, NULL, NULL);
}
