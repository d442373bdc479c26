/* What the key-value store says of a job, read for users. */
#include "controller/api/api_internal.h"

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

bool api_acquire_client(request_t *request)
{
    controller_t *controller = request->controller;
    msec_t now = clock_steady();
    pthread_mutex_lock(&controller->lock);
    while (!request->client && controller->kv_clients.free_count == 0 &&
           now < request->wait_deadline) {
        controller_wait(controller, &controller->kv_clients.available,
                        request->wait_deadline - now);
        now = clock_steady();
    }
    if (!request->client && controller->kv_clients.free_count > 0)
        request->client = controller->kv_clients.clients[--controller->kv_clients.free_count];
    pthread_mutex_unlock(&controller->lock);
    return request->client != NULL;
}

void api_release_client(request_t *request)
{
    controller_t *controller = request->controller;
    if (!request->client)
        return;
    pthread_mutex_lock(&controller->lock);
    controller->kv_clients.clients[controller->kv_clients.free_count++] = request->client;
    request->client = NULL;
    pthread_cond_signal(&controller->kv_clients.available);
    pthread_mutex_unlock(&controller->lock);
}

/* How long the next call to the key-value store may take; 0: it is not worth asking. */
static long call_ms(const request_t *request)
{
    return (long)CLAMP(request->deadline - clock_steady(), 0, API_TIMEOUT_MS);
}

kv_result_t api_commit(request_t *request, const kv_txn_t *txn, GPtrArray *failed)
{
    controller_t *controller = request->controller;
    long timeout_ms = call_ms(request);
    if (timeout_ms == 0)
        return KV_NOT_EXECUTED;
    rate_limiter_charge(&controller->api_request_limiter, 1, clock_steady());
    return kv_commit(&controller->kv_store, request->client, txn, timeout_ms, NULL, failed);
}

job_state_t api_record_terminal_state(controller_t *controller, const char *id, bool done)
{
    pthread_mutex_lock(&controller->lock);
    job_directory_record_terminal(controller, id, done);
    pthread_mutex_unlock(&controller->lock);
    return done ? JOB_DONE : JOB_CANCELLED;
}

kv_result_t api_read_key(request_t *request, const char *prefix, const char *id, kv_entry_t *entry)
{
    char key[KV_KEY_BYTES];
    long timeout_ms = call_ms(request);
    if (timeout_ms == 0)
        return KV_NOT_EXECUTED;
    g_snprintf(key, sizeof key, "%s/%s", prefix, id);
    rate_limiter_charge(&request->controller->api_request_limiter, 1, clock_steady());
    return kv_get(&request->controller->kv_store, request->client, key, timeout_ms, entry);
}

void api_entry_clear(kv_entry_t *entry)
{
    g_free(entry->key);
    json_decref(entry->value);
    *entry = (kv_entry_t){0};
}

static job_state_t read_terminal_state(request_t *request, const char *id)
{
    kv_entry_t entry = {0};
    kv_result_t result = api_read_key(request, "ended", id, &entry);
    if (result == KV_NOT_FOUND)
        return JOB_NEVER;
    if (result != KV_OK)
        return JOB_UNKNOWN;
    bool done = codec_is_ended_done(entry.value);
    api_entry_clear(&entry);
    return api_record_terminal_state(request->controller, id, done);
}

static job_state_t read_live(request_t *request, const char *id)
{
    kv_entry_t entry = {0};
    kv_result_t result = api_read_key(request, "jobs", id, &entry);
    api_entry_clear(&entry);
    return result == KV_OK ? JOB_LIVE : result == KV_NOT_FOUND ? JOB_NEVER : JOB_UNKNOWN;
}

job_state_t api_look_up(request_t *request, const char *id, bool likely_live)
{
    job_state_t state = likely_live ? JOB_NEVER : read_terminal_state(request, id);
    if (state == JOB_NEVER)
        state = read_live(request, id);
    if (state == JOB_NEVER)
        state = read_terminal_state(request, id);
    return state;
}

job_state_t api_known_state(controller_t *controller, const char *id, bool *likely_live)
{
    pthread_mutex_lock(&controller->lock);
    terminal_state_t ended = (terminal_state_t)GPOINTER_TO_INT(
        g_hash_table_lookup(controller->jobs.terminal_states, id));
    *likely_live = g_hash_table_contains(controller->jobs.live, id);
    pthread_mutex_unlock(&controller->lock);
    return ended == TERMINAL_UNKNOWN ? JOB_UNKNOWN
           : ended == TERMINAL_DONE  ? JOB_DONE
                                     : JOB_CANCELLED;
}
