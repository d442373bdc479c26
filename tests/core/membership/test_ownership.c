/* Tests of the assignment of machines to the members of a view. */
#include "core/membership/ownership.h"
#include "unit_test.h"

static const member_t members[] = {{.name = "controller-0", .zone = "zone-a"},
                                   {.name = "controller-1", .zone = "zone-b"},
                                   {.name = "controller-2", .zone = "zone-a"}};

static void test_owner_is_in_the_zone_of_the_machine(void **state)
{
    (void)state;
    for (int i = 0; i < 50; i++) {
        char machine[ID_BYTES];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        assert_int_equal(owner_of(members, 3, machine, "zone-b"), 1);
        assert_int_not_equal(owner_of(members, 3, machine, "zone-a"), 1);
    }
}

static void test_loss_of_a_member_moves_only_its_machines(void **state)
{
    (void)state;
    guint moved = 0;
    guint owned = 0;
    for (int i = 0; i < 200; i++) {
        char machine[ID_BYTES];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        guint before = owner_of(members, 3, machine, "zone-d");
        guint after = owner_of(members, 2, machine, "zone-d");
        owned += before == 2;
        moved += before != after;
        assert_true(before == 2 || before == after);
    }
    assert_int_equal(moved, owned);
    assert_true(owned > 30 && owned < 110);
}

static void test_excluded_member_owns_nothing(void **state)
{
    (void)state;
    member_t with_excluded[3];
    memcpy(with_excluded, members, sizeof with_excluded);
    with_excluded[1].is_excluded = true;
    for (int i = 0; i < 50; i++) {
        char machine[ID_BYTES];
        g_snprintf(machine, sizeof machine, "m-%06d", i);
        assert_int_not_equal(owner_of(with_excluded, 3, machine, "zone-b"), 1);
    }
    with_excluded[0].is_excluded = with_excluded[2].is_excluded = true;
    assert_int_equal(owner_of(with_excluded, 3, "m-000001", "zone-b"), 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_owner_is_in_the_zone_of_the_machine),
        cmocka_unit_test(test_excluded_member_owns_nothing),
        cmocka_unit_test(test_loss_of_a_member_moves_only_its_machines),
    };
    return cmocka_run_group_tests_name("ownership", tests, NULL, NULL);
}
