/* Calls the key-value store on behalf of a request. */
#include "controller/api/kv_access.h"

#include "controller/controller.h"
#include "io/clock.h"

bool api_acquire_kv_client(request_t *request)
{
    if (!request->kv_client)
        request->kv_client = kv_client_pool_acquire(request->controller, request->wait_deadline);
    return request->kv_client != NULL;
}

void api_release_kv_client(request_t *request)
{
    if (!request->kv_client)
        return;
    kv_client_pool_release(request->controller, request->kv_client);
    request->kv_client = NULL;
}

/* Returns how long the next call may take, at most API_TIMEOUT_MS. Returns 0 if the request's
 * deadline has passed, in which case no call may be made. */
static long call_timeout_ms(const request_t *request)
{
    return (long)CLAMP(request->deadline - clock_steady(), 0, API_TIMEOUT_MS);
}

kv_result_t api_commit(request_t *request, const kv_txn_t *txn, GPtrArray *failed)
{
    controller_t *controller = request->controller;
    long timeout_ms = call_timeout_ms(request);
    if (timeout_ms == 0)
        return KV_NOT_EXECUTED;
    rate_limiter_charge(&controller->api_request_limiter, 1, clock_steady());
    return kv_commit(&controller->kv_store, request->kv_client, txn, timeout_ms, NULL, failed);
}

kv_result_t api_read_key(request_t *request, const char *prefix, const char *id, kv_entry_t *entry)
{
    controller_t *controller = request->controller;
    char key[KV_KEY_BYTES];
    long timeout_ms = call_timeout_ms(request);
    if (timeout_ms == 0)
        return KV_NOT_EXECUTED;
    g_snprintf(key, sizeof key, "%s/%s", prefix, id);
    rate_limiter_charge(&controller->api_request_limiter, 1, clock_steady());
    return kv_get(&controller->kv_store, request->kv_client, key, timeout_ms, entry);
}

void api_entry_clear(kv_entry_t *entry)
{
    g_free(entry->key);
    json_decref(entry->value);
    *entry = (kv_entry_t){0};
}
