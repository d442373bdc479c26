/* Stories of a node without the state service: outage, refused alone, or cut off from everybody. */
#include "core/contact.h"
#include "story.h"

static void outage_of_all_is_waited_for(void **state)
{
    (void)state;
    contact_t contact = {.state = 10000, .siblings = 10100, .heard = 19000};
    assert_int_equal(contact_judge(&contact, 12000), CONTACT_GOOD);
    assert_int_equal(contact_judge(&contact, 20000), CONTACT_OUTAGE);
    contact.heard = 99000;
    assert_true(contact_may_hold(&contact, 100000)); /* other bounds end it */
}

static void refused_alone_is_told_by_a_sibling(void **state)
{
    (void)state;
    contact_t contact = {.state = 10000, .siblings = 19500, .heard = 19500};
    assert_int_equal(contact_judge(&contact, 20000), CONTACT_REFUSED);
}

/* Neither state service nor siblings, but workers: it may have been replaced, and its workers are
 * given up by the others soon after. It lets them go before that, and takes no users. */
static void cut_off_node_lets_its_workers_go(void **state)
{
    (void)state;
    contact_t contact = {.state = 10000, .siblings = 10000, .heard = 10000};
    assert_int_equal(contact_judge(&contact, 14000), CONTACT_OUTAGE);
    assert_int_equal(contact_judge(&contact, 16000), CONTACT_NONE);
    assert_true(contact_may_hold(&contact, 16000));
    assert_false(contact_may_hold(&contact, 10000 + HOLD_ALONE_MS));
    contact.state = 30000; /* back */
    assert_true(contact_may_hold(&contact, 30100));
}

static void node_without_siblings_is_not_cut_off_by_their_silence(void **state)
{
    (void)state;
    contact_t contact = {.state = 10000, .lone = true};
    assert_int_equal(contact_judge(&contact, 60000), CONTACT_OUTAGE);
    assert_true(contact_may_hold(&contact, 60000));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(outage_of_all_is_waited_for),
        cmocka_unit_test(refused_alone_is_told_by_a_sibling),
        cmocka_unit_test(cut_off_node_lets_its_workers_go),
        cmocka_unit_test(node_without_siblings_is_not_cut_off_by_their_silence),
    };
    return cmocka_run_group_tests_name("contact", tests, NULL, NULL);
}
