#include "controller/kv_watch_loop.h"

#include "io/clock.h"

typedef struct kv_watch_loop {
    controller_t *controller;
    const kv_watch_t *watch;
    http_client_t *client;
    uint64_t revision; /* all changes up to this one were applied */
} kv_watch_loop_t;

static bool read_all(kv_watch_loop_t *loop)
{
    controller_t *controller = loop->controller;
    g_autoptr(GArray) entries = kv_entries_new();
    msec_t sent_at = clock_steady();
    rate_limiter_charge(&controller->loop_request_limiter, 1, sent_at);
    kv_result_t result =
        kv_list(&controller->kv_store, loop->client, loop->watch->prefix, entries, &loop->revision);
    if (result != KV_OK)
        return false;
    pthread_mutex_lock(&controller->lock);
    loop->watch->apply_all(controller, entries, (kv_coverage_t){loop->revision, sent_at});
    pthread_mutex_unlock(&controller->lock);
    return true;
}

/* Waits for changes for at most KV_WATCH_BLOCK_MS and applies them. */
static kv_result_t watch_changes(kv_watch_loop_t *loop)
{
    controller_t *controller = loop->controller;
    g_autoptr(GArray) changes = kv_entries_new();
    msec_t sent_at = clock_steady();
    rate_limiter_charge(&controller->loop_request_limiter, 1, sent_at);
    kv_result_t result = kv_watch(&controller->kv_store, loop->client, loop->watch->prefix,
                                  KV_WATCH_BLOCK_MS, &loop->revision, changes);
    if (result == KV_OK) {
        pthread_mutex_lock(&controller->lock);
        loop->watch->apply_changes(controller, changes, (kv_coverage_t){loop->revision, sent_at});
        pthread_mutex_unlock(&controller->lock);
    } else if (result == KV_COMPACTED && loop->watch->handle_compaction) {
        pthread_mutex_lock(&controller->lock);
        loop->watch->handle_compaction(controller);
        pthread_mutex_unlock(&controller->lock);
    }
    return result;
}

void kv_watch_loop_run(controller_t *controller, const kv_watch_t *watch)
{
    kv_watch_loop_t loop = {.controller = controller, .watch = watch, .client = http_client_new(2)};
    bool is_synced = false;
    for (;;) {
        if (!is_synced) {
            is_synced = read_all(&loop);
            if (!is_synced)
                controller_sleep(KV_RETRY_DELAY_MS);
            continue;
        }
        kv_result_t result = watch_changes(&loop);
        if (result == KV_COMPACTED)
            is_synced = false;
        else if (result != KV_OK)
            controller_sleep(KV_RETRY_DELAY_MS);
    }
}
