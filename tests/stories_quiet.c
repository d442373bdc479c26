/* Stories of aborts in an outage: how long workers may be kept alive. */
#include "core/quiet.h"
#include "story.h"

/* We lead as member 0 of three; the last followed moment is 1000. */
static msec_t proof(const quiet_t *quiet, msec_t now)
{
    return quiet_proof(quiet, 1000, true, 0, 3, true, now);
}

static void siblings_without_aborts_move_the_moment(void **state)
{
    (void)state;
    quiet_t quiet = {.own_abort = 100};
    quiet_hear(&quiet, 1, 2000, 1900, 2000);
    assert_int_equal(proof(&quiet, 2000), 1000); /* one is not heard */
    quiet_hear(&quiet, 2, 2000, 1800, 2000);
    assert_int_equal(proof(&quiet, 2000), 1800);
}

static void an_abort_since_ends_it(void **state)
{
    (void)state;
    quiet_t quiet = {.own_abort = 100};
    quiet_hear(&quiet, 1, 2000, 1900, 2000);
    quiet_hear(&quiet, 2, 500, 1800, 2000); /* at 1500 */
    assert_int_equal(proof(&quiet, 2000), 1000);
    quiet_t own = {.own_abort = 1500};
    quiet_hear(&own, 1, 2000, 1900, 2000);
    quiet_hear(&own, 2, 2000, 1900, 2000);
    assert_int_equal(proof(&own, 2000), 1000);
}

/* A message held back in a cut speaks for the time before it was composed, not before it came. */
static void late_word_proves_no_more_than_its_echo(void **state)
{
    (void)state;
    quiet_t quiet = {.own_abort = 100};
    quiet_hear(&quiet, 1, 2000, 1200, 60000);
    quiet_hear(&quiet, 2, 60000, 59900, 60000);
    assert_int_equal(quiet.said[1], 1200);
    assert_int_equal(proof(&quiet, 60000), 1000); /* its abort may be as late as 58000 */
}

static void a_new_view_or_a_missing_member_voids_it(void **state)
{
    (void)state;
    quiet_t quiet = {.own_abort = 100};
    quiet_hear(&quiet, 1, 2000, 1900, 2000);
    quiet_hear(&quiet, 2, 2000, 1900, 2000);
    assert_int_equal(quiet_proof(&quiet, 1000, true, 0, 3, false, 2000), 1000);
    quiet_reset(&quiet);
    assert_int_equal(proof(&quiet, 2000), 1000);
    assert_int_equal(quiet.own_abort, 100);
}

static void a_part_trusts_what_the_leader_heard(void **state)
{
    (void)state;
    quiet_t quiet = {.own_abort = 100};
    quiet_told(&quiet, 5000, 300, 5000, 5200);
    assert_int_equal(quiet_proof(&quiet, 1000, false, 1, 3, true, 5200), 4700);
    quiet_told(&quiet, 100, 300, 6000, 6200);
    assert_int_equal(quiet_proof(&quiet, 1000, false, 1, 3, true, 6200), 1000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(siblings_without_aborts_move_the_moment),
        cmocka_unit_test(an_abort_since_ends_it),
        cmocka_unit_test(late_word_proves_no_more_than_its_echo),
        cmocka_unit_test(a_new_view_or_a_missing_member_voids_it),
        cmocka_unit_test(a_part_trusts_what_the_leader_heard),
    };
    return cmocka_run_group_tests_name("quiet", tests, NULL, NULL);
}
