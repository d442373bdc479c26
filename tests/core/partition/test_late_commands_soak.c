/* A random test of late copies of pushed commands. The seed is fixed; SOAK_EVENTS sets the number
 * of events of each cluster, SOAK_DAYS the number of clusters and SOAK_SEED another first seed. */
#include "copies_world.h"
#include "soak_setting.h"
#include "unit_test.h"

#include <stdio.h>

enum { DEFAULT_EVENTS = 20000, DEFAULT_CLUSTERS = 100, DEFAULT_SEED = 1204 };

static void play_cluster(const partition_fixture_t *fixture, guint seed, guint events)
{
    world_t *world = world_new(fixture, seed);
    while (world->step < events)
        world_play_step(world);
    assert_true(world->copies_delivered > 0 && world->attempts_started > 0);
    world_free(world);
}

static void test_late_copies_start_no_attempt_again(void **state)
{
    guint clusters = soak_setting("SOAK_DAYS", DEFAULT_CLUSTERS);
    guint events = soak_setting("SOAK_EVENTS", DEFAULT_EVENTS);
    guint first_seed = soak_setting("SOAK_SEED", DEFAULT_SEED);
    for (guint i = 0; i < clusters; i++)
        play_cluster(*state, first_seed + i, events);
    printf("%u clusters of %u events, first seed %u\n", clusters, events, first_seed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_late_copies_start_no_attempt_again,
                                        partition_fixture_set_up, partition_fixture_tear_down),
    };
    return cmocka_run_group_tests_name("late_commands_soak", tests, NULL, NULL);
}
