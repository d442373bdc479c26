/* Tests of elections: a process that restarts quickly has a known name but is a new member. */
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
    g_hash_table_unref(election->live_members);
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

/* The leader restarts before its lease expires. The lease has its name and the incarnation of its
 * earlier process. The new process may take the lease over without waiting, but until then it must
 * not conclude that it leads. */
static void test_restarted_leader_may_take_over_its_own_lease(void **state)
{
    election_t *election = *state;
    election_record_lease(election, "controller-1", 100, 50);
    assert_true(election_lease_is_vacant(election));
    assert_false(election_lease_is_taken(election));
    election_record_lease(election, "controller-1", 200, 60); /* now its own */
    assert_false(election_lease_is_vacant(election));
}

/* A candidate that lost a close race sees that another controller holds the lease. The deletion of
 * the previous lease has a lower revision and arrives late; it must not make the lease vacant. */
static void test_late_lease_change_does_not_make_the_lease_vacant(void **state)
{
    election_t *election = *state;
    assert_true(election_lease_is_vacant(election));
    election_record_lease(election, "controller-2", 300, 60);
    assert_true(election_lease_is_taken(election));
    election_record_lease(election, NULL, 0, 55);
    election_record_lease(election, "controller-1", 100, 50);
    assert_true(election_lease_is_taken(election));
    assert_false(election_lease_is_vacant(election));
    election_record_lease(election, NULL, 0, 70);
    assert_true(election_lease_is_vacant(election));
}

/* A member that restarts quickly needs a new view, although the names of the members stay the same:
 * the placement requests, reservations and messages of its partition belonged to its earlier
 * process. */
static void test_restarted_member_requires_a_new_view(void **state)
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

/* The key-value store carries out the write of the member key by the earlier incarnation after that
 * by the current one. The key then names a process that no longer exists, and is deleted when that
 * process's lease expires. */
static void test_late_write_by_an_earlier_incarnation_is_detected(void **state)
{
    election_t *election = *state;
    assert_true(election_has_lost_member_key(election));
    record_member(election, "controller-1", 200, 1000);
    assert_false(election_has_lost_member_key(election));
    record_member(election, "controller-1", 100, 2000);
    assert_true(election_has_lost_member_key(election));
    view_t view = {0};
    election_fill_members(election, &view, 3000);
    assert_int_equal(incarnation_in(&view, "controller-1"),
                     200); /* a leader lists itself with its own incarnation */
}

/* Guards against scale-in by a replaced leader. The key-value store refused only the leader for
 * 30 s, and the leader was replaced. When the store answered it again, its summaries showed all its
 * machines as silent, and it scaled in 48 working machines before it received the new view. */
static void test_replaced_leader_may_not_act_on_the_cloud(void **state)
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
        cmocka_unit_test_setup_teardown(test_restarted_leader_may_take_over_its_own_lease, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_late_lease_change_does_not_make_the_lease_vacant,
                                        set_up, tear_down),
        cmocka_unit_test(test_replaced_leader_may_not_act_on_the_cloud),
        cmocka_unit_test_setup_teardown(test_restarted_member_requires_a_new_view, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_late_write_by_an_earlier_incarnation_is_detected,
                                        set_up, tear_down),
    };
    return cmocka_run_group_tests_name("election", tests, NULL, NULL);
}
