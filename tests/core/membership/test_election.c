/* Tests of elections: a process that restarts within a moment is a new one under a known name. */
#include "core/membership/election.h"
#include "unit_test.h"

/* The election of controller-1, whose process is incarnation 200. */
static int set_up(void **state)
{
    member_t self = {.name = "controller-1", .zone = "zone-a", .incarnation = 200};
    election_t *election = g_new(election_t, 1);
    election_init(election, &self);
    *state = election;
    return 0;
}

static int tear_down(void **state)
{
    election_t *election = *state;
    g_hash_table_unref(election->present);
    g_hash_table_unref(election->excluded);
    g_free(election);
    return 0;
}

static void record_member(election_t *election, const char *name, uint64_t incarnation, msec_t now)
{
    member_t member = {.zone = "zone-a", .incarnation = incarnation};
    g_strlcpy(member.name, name, sizeof member.name);
    election_record_member(election, name, &member, now);
}

static uint64_t incarnation_in(const view_t *view, const char *name)
{
    for (guint i = 0; i < view->count; i++)
        if (strcmp(view->members[i].name, name) == 0)
            return view->members[i].incarnation;
    return 0;
}

/* The leader restarts before its lease expires. The lease bears its name and an incarnation that is
 * gone: it need not wait, and it must not conclude that it leads. */
static void test_leader_back_at_once_takes_its_lease_over(void **state)
{
    election_t *election = *state;
    election_record_lease(election, "controller-1", 100, 50);
    assert_true(election_is_vacant(election));
    assert_false(election_is_taken(election));
    election_record_lease(election, "controller-1", 200, 60); /* ours now */
    assert_false(election_is_vacant(election));
}

/* A candidate that was slower by a moment sees the lease taken. The end of the earlier lease, which
 * arrives late, does not free it. */
static void test_late_news_does_not_free_a_taken_lease(void **state)
{
    election_t *election = *state;
    assert_true(election_is_vacant(election));
    election_record_lease(election, "controller-2", 300, 60);
    assert_true(election_is_taken(election));
    election_record_lease(election, NULL, 0, 55);
    election_record_lease(election, "controller-1", 100, 50);
    assert_true(election_is_taken(election));
    assert_false(election_is_vacant(election));
    election_record_lease(election, NULL, 0, 70);
    assert_true(election_is_vacant(election));
}

/* A member that restarts within a moment makes a new view: its partition's placement requests,
 * reservations and messages were those of another process. */
static void test_member_back_at_once_makes_a_new_view(void **state)
{
    election_t *election = *state;
    view_t view = {0};
    view_t next = {0};
    record_member(election, "controller-0", 10, 1000);
    record_member(election, "controller-2", 30, 1000);
    election_fill_members(election, &view, 2000);
    assert_int_equal(view.count, 3);
    assert_int_equal(incarnation_in(&view, "controller-1"), 200);
    record_member(election, "controller-2", 31, 3000);
    election_fill_members(election, &next, 4000);
    assert_false(election_same_members(&view, &next));
    assert_int_equal(incarnation_in(&next, "controller-2"), 31);
}

/* The request by which the earlier incarnation wrote its member's key is carried out after ours:
 * the key would name a process that is gone, and then be gone itself. */
static void test_late_entry_of_an_earlier_incarnation_is_noticed(void **state)
{
    election_t *election = *state;
    assert_true(election_is_displaced(election));
    record_member(election, "controller-1", 200, 1000);
    assert_false(election_is_displaced(election));
    record_member(election, "controller-1", 100, 2000);
    assert_true(election_is_displaced(election));
    view_t view = {0};
    election_fill_members(election, &view, 3000);
    assert_int_equal(incarnation_in(&view, "controller-1"),
                     200); /* a leader lists itself by its own incarnation */
}

/* A leader that was refused alone for 30 s was replaced. When it was answered again, its summaries
 * showed all its machines silent, and it scaled in 48 working ones in the moment before it received
 * the new view. */
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
