/* Tests of the client of the key-value store against the fake on loopback. */
#include "fake_kv_server.h"
#include "io/http_client.h"
#include "unit_test.h"

#include <stdio.h>
#include <unistd.h>

/* Guards against records that are never loaded. A list of several pages continues after the last
 * key of a page, and the keys of further pages of a shard contain a plus sign, which stands for a
 * space in a query unless it is escaped. The list then returned the last key again, without an end.
 */
static void test_a_list_continues_after_a_key_with_a_plus_sign(void **state)
{
    enum { KEYS = KEYS_PAGE_COUNT + 2 };
    (void)state;
    fake_kv_server_t *server = fake_kv_server_new();
    kv_txn_t txn = kv_txn_new();
    for (guint i = 0; i < KEYS; i++) {
        char key[KV_KEY_BYTES];
        g_snprintf(key, sizeof key, "machines/zone.03+%04u", i);
        kv_txn_put(&txn, key, json_integer(i), 0);
    }
    assert_int_equal(fake_kv_server_apply(server, txn), KV_OK);
    char address[ADDRESS_BYTES];
    kv_store_t kv_store;
    g_snprintf(address, sizeof address, "127.0.0.1:%u", server->ports[0]);
    kv_store_init(&kv_store, address);
    http_client_t *client = http_client_new(1);
    g_autoptr(GArray) entries = kv_entries_new();
    uint64_t revision = 0;
    assert_int_equal(kv_list(&kv_store, client, "machines/", entries, &revision), KV_OK);
    assert_int_equal(entries->len, KEYS);
    assert_int_equal(revision, 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_a_list_continues_after_a_key_with_a_plus_sign),
    };
    http_client_init_library();
    int failed = cmocka_run_group_tests_name("kv_store", tests, NULL, NULL);
    if (fflush(NULL) != 0)
        return 1;
    _exit(failed); /* the fake's threads do not end */
}
