/* What the state service says of a job, read for users. */
#include "app/api_internal.h"

#include "io/clock.h"
#include "log.h"

http_client_t *api_client_take(node_t *node)
{
    http_client_t *client = NULL;
    pthread_mutex_lock(&node->lock);
    msec_t until = clock_steady() + API_TIMEOUT_MS;
    while (node->api_clients_free == 0 && clock_steady() < until)
        node_wait(node, &node->clients, API_TIMEOUT_MS);
    if (node->api_clients_free > 0)
        client = node->api_clients[--node->api_clients_free];
    pthread_mutex_unlock(&node->lock);
    return client;
}

void api_client_return(node_t *node, http_client_t *client)
{
    pthread_mutex_lock(&node->lock);
    node->api_clients[node->api_clients_free++] = client;
    pthread_cond_signal(&node->clients);
    pthread_mutex_unlock(&node->lock);
}

job_state_t api_remember_ended(node_t *node, const char *id, bool done)
{
    pthread_mutex_lock(&node->lock);
    node_remember(node, id, done);
    pthread_mutex_unlock(&node->lock);
    return done ? JOB_DONE : JOB_CANCELLED;
}

state_result_t api_read_key(node_t *node, http_client_t *client, const char *prefix, const char *id,
                            state_entry_t *entry)
{
    char key[STATE_KEY_BYTES];
    g_snprintf(key, sizeof key, "%s/%s", prefix, id);
    rate_limiter_charge(&node->api_rps, 1, clock_steady());
    return state_get(&node->state, client, key, API_TIMEOUT_MS, entry);
}

void api_entry_clear(state_entry_t *entry)
{
    g_free(entry->key);
    json_decref(entry->value);
    *entry = (state_entry_t){0};
}

static job_state_t read_ended(node_t *node, http_client_t *client, const char *id)
{
    state_entry_t entry = {0};
    state_result_t result = api_read_key(node, client, "ended", id, &entry);
    if (result == STATE_ABSENT)
        return JOB_NEVER;
    if (result != STATE_OK)
        return JOB_UNKNOWN;
    const char *state = json_string_value(json_object_get(entry.value, "Trim"));
    bool done = g_strcmp0(state, "done") == 0;
    api_entry_clear(&entry);
    return api_remember_ended(node, id, done);
}

static job_state_t read_live(node_t *node, http_client_t *client, const char *id)
{
    state_entry_t entry = {0};
    state_result_t result = api_read_key(node, client, "jobs", id, &entry);
    api_entry_clear(&entry);
    return result == STATE_OK ? JOB_LIVE : result == STATE_ABSENT ? JOB_NEVER : JOB_UNKNOWN;
}

job_state_t api_look_up(node_t *node, http_client_t *client, const char *id, bool likely_live)
{
    job_state_t state = likely_live ? JOB_NEVER : read_ended(node, client, id);
    if (state == JOB_NEVER)
        state = read_live(node, client, id);
    if (state == JOB_NEVER)
        state = read_ended(node, client, id);
    return state;
}

job_state_t api_known_state(node_t *node, const char *id, bool *likely_live)
{
    pthread_mutex_lock(&node->lock);
    ended_t ended = (ended_t)GPOINTER_TO_INT(g_hash_table_lookup(node->ended, id));
    *likely_live = g_hash_table_contains(node->jobs, id);
    pthread_mutex_unlock(&node->lock);
    return ended == ENDED_UNKNOWN ? JOB_UNKNOWN : ended == ENDED_DONE ? JOB_DONE : JOB_CANCELLED;
}
