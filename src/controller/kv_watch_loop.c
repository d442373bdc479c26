/* Follows a prefix of the key-value store. */
#include "controller/kv_watch_loop.h"

void kv_watch_loop_run(controller_t *controller,
                       bool (*read)(controller_t *, http_client_t *, uint64_t *),
                       kv_result_t (*watch_changes)(controller_t *, http_client_t *, uint64_t *))
{
    http_client_t *client = http_client_new(2);
    uint64_t revision = 0;
    bool synced = false;
    for (;;) {
        if (!synced) {
            synced = read(controller, client, &revision);
            if (!synced)
                controller_sleep(ELECT_POLL_MS);
            continue;
        }
        kv_result_t result = watch_changes(controller, client, &revision);
        if (result == KV_COMPACTED)
            synced = false;
        else if (result != KV_OK)
            controller_sleep(ELECT_POLL_MS);
    }
}
