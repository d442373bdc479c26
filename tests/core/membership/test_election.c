/* Tests of elections: a process that is back within a moment is a stranger under a known name. */
#include "core/membership/election.h"
#include "unit_test.h"

static election_t election;

static int set_up(void **state)
{
    (void)state;
    member_t self = {.name = "controller-1", .zone = "zone-a", .incarnation = 200};
    election_init(&election, &self);
    return 0;
}

static int tear_down(void **state)
{
    (void)state;
    g_hash_table_unref(election.present);
    g_hash_table_unref(election.excluded);
    return 0;
}

static void present(const char *name, uint64_t incarnation, msec_t now)
{
    member_t member = {.zone = "zone-a", .incarnation = incarnation};
    g_strlcpy(member.name, name, sizeof member.name);
    election_take_member(&election, name, &member, now);
}

static uint64_t incarnation_in(const view_t *view, const char *name)
{
    for (guint i = 0; i < view->count; i++)
        if (strcmp(view->members[i].name, name) == 0)
            return view->members[i].incarnation;
    return 0;
}

/* The leader is back before its lease ended, which bears its name and nobody's process. It need
 * not wait, and it must not believe that it leads. */
static void test_leader_back_at_once_takes_its_lease_over(void **state)
{
    (void)state;
    election_take_lease(&election, "controller-1", 100, 50);
    assert_true(election_is_vacant(&election));
    assert_false(election_is_taken(&election));
    election_take_lease(&election, "controller-1", 200, 60); /* ours now */
    assert_false(election_is_vacant(&election));
}

/* A candidate that was slower by a moment sees the lease taken, and late news of its end, from
 * before that, does not free it. */
static void test_late_news_does_not_free_a_taken_lease(void **state)
{
    (void)state;
    assert_true(election_is_vacant(&election));
    election_take_lease(&election, "controller-2", 300, 60);
    assert_true(election_is_taken(&election));
    election_take_lease(&election, NULL, 0, 55);
    election_take_lease(&election, "controller-1", 100, 50);
    assert_true(election_is_taken(&election));
    assert_false(election_is_vacant(&election));
    election_take_lease(&election, NULL, 0, 70);
    assert_true(election_is_vacant(&election));
}

/* A member that is back within a moment makes a new view: its partitions' placement requests,
 * reservations and messages were another's. */
static void test_member_back_at_once_makes_a_new_view(void **state)
{
    (void)state;
    view_t view = {0};
    view_t next = {0};
    present("controller-0", 10, 1000);
    present("controller-2", 30, 1000);
    election_members(&election, &view, 2000);
    assert_int_equal(view.count, 3);
    assert_int_equal(incarnation_in(&view, "controller-1"), 200);
    present("controller-2", 31, 3000);
    election_members(&election, &next, 4000);
    assert_false(election_same_members(&view, &next));
    assert_int_equal(incarnation_in(&next, "controller-2"), 31);
}

/* The request by which the earlier incarnation entered itself is carried out after ours: we would
 * be listed as a process that is gone, and then not at all. */
static void test_late_entry_of_an_earlier_incarnation_is_noticed(void **state)
{
    (void)state;
    assert_true(election_is_displaced(&election));
    present("controller-1", 200, 1000);
    assert_false(election_is_displaced(&election));
    present("controller-1", 100, 2000);
    assert_true(election_is_displaced(&election));
    view_t view = {0};
    election_members(&election, &view, 3000);
    assert_int_equal(incarnation_in(&view, "controller-1"), 200); /* leading, we know better */
}

/* Refused alone for 30 s, a leader was replaced. Back in touch, its summaries showed all its
 * machines silent, and it gave 48 working ones back in the moment before it heard of the new view.
 */
static void test_replaced_leader_leaves_the_cloud_alone(void **state)
{
    (void)state;
    view_t view = {.number = 7};
    assert_true(election_may_act(&view, 7, 10000, 12000));
    assert_false(election_may_act(&view, 8, 10000, 12000));
    assert_false(election_may_act(&view, 7, 10000, 40000));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_leader_back_at_once_takes_its_lease_over, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_late_news_does_not_free_a_taken_lease, set_up,
                                        tear_down),
        cmocka_unit_test(test_replaced_leader_leaves_the_cloud_alone),
        cmocka_unit_test_setup_teardown(test_member_back_at_once_makes_a_new_view, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_late_entry_of_an_earlier_incarnation_is_noticed,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("election", tests, NULL, NULL);
}
