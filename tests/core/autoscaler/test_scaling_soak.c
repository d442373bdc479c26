/* A random test of scaling: jobs with all kinds of constraints arrive, fail and are cancelled,
 * while machines are lost and the cloud refuses some of them. When the troubles are over, every job
 * must run in bounded time, and all machines must be returned in the end. The seed is fixed;
 * SOAK_DAYS sets the number of simulated days, and SOAK_SEED another first seed. */
#include "scaling_day.h"
#include "soak_setting.h"
#include "unit_test.h"

#include <stdio.h>

enum {
    DEFAULT_DAYS = 150,
    DEFAULT_SEED = 34,
    /* The stated bound: no job is left waiting for 90 s once the troubles are over. */
    WAIT_MAX_S = 90,
    /* The stated bound for the largest jobs: a gang needs machines for all of its tasks at once. */
    GANG_WAIT_MAX_S = 240,
    DAY_S = 3000 /* by then, all work must be done and all machines returned */
};

static void print_waiting_job(const day_t *day, const simulated_job_t *job, guint seed)
{
    const job_spec_t *spec = &job->spec;
    printf("seed %u at %" G_GINT64_FORMAT " s: %s waits since %" G_GINT64_FORMAT
           " s: tasks %u kind %d cpus %g gpus %g zone '%s' type '%s' spot %d same %d spread %d\n",
           seed, day->now / MS_PER_S, spec->id, job->active_at / MS_PER_S, spec->tasks, spec->kind,
           spec->need.cpus, spec->need.gpus, spec->zone, spec->types ? spec->types[0] : "",
           spec->may_use_spot, spec->needs_same_zone, spec->needs_spread);
}

/* Checks that no job has waited for longer than the stated bound since the troubles ended. */
static void check_waits(day_t *day, guint seed)
{
    for (guint i = 0; i < day->jobs->len; i++) {
        simulated_job_t *job = g_ptr_array_index(day->jobs, i);
        if (leader_job_counts(day->leader, job->spec.id).outstanding > 0)
            job->active_at = day->now;
        msec_t since = MAX(job->active_at, TROUBLES_S * (msec_t)MS_PER_S);
        msec_t bound_s = job->spec.kind == KIND_GANG ? GANG_WAIT_MAX_S : WAIT_MAX_S;
        if (day->now - since <= bound_s * MS_PER_S)
            continue;
        print_waiting_job(day, job, seed);
        fail();
    }
}

static void play_day(leader_fixture_t *fixture, guint seed)
{
    day_t day = day_new(fixture, seed);
    while (day.now < DAY_S * (msec_t)MS_PER_S &&
           (!day_are_troubles_over(&day) || day.jobs->len > 0 || day.machines->len > 0)) {
        day_play_second(&day);
        check_waits(&day, seed);
    }
    if (day.jobs->len > 0 || day.machines->len > 0)
        printf("seed %u: %u jobs and %u machines are left\n", seed, day.jobs->len,
               day.machines->len);
    assert_int_equal(day.jobs->len, 0);
    assert_int_equal(day.machines->len, 0);
    day_clear(&day);
}

/* Guards against jobs that wait without an end because of their own constraints, and against
 * machines that are kept without work, in random mixtures of jobs, losses and refusals. */
static void test_every_job_runs_and_every_machine_is_returned(void **state)
{
    leader_fixture_t *fixture = *state;
    guint days = soak_setting("SOAK_DAYS", DEFAULT_DAYS);
    guint first_seed = soak_setting("SOAK_SEED", DEFAULT_SEED);
    add_team(fixture, "team-c", 0, 0);
    for (guint i = 0; i < days; i++)
        play_day(fixture, first_seed + i);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_every_job_runs_and_every_machine_is_returned,
                                        set_up_leader, tear_down_leader),
    };
    return cmocka_run_group_tests_name("scaling_soak", tests, NULL, NULL);
}
