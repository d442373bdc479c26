/* Users' questions about jobs. */
#include "app/api_internal.h"

#include <string.h>

#include "io/clock.h"
#include "io/wire.h"

reply_t api_status_reply(node_t *node, const char *id, job_state_t state, unsigned live_status)
{
    uint32_t done = 0;
    uint32_t running = 0;
    if (state == JOB_DONE || state == JOB_CANCELLED)
        return (reply_t){.status = HTTP_OK,
                         .body =
                             wire_build_status(id, state == JOB_DONE ? "done" : "cancelled", 0, 0)};
    if (state == JOB_NEVER)
        return api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    if (state == JOB_UNKNOWN)
        return api_come_back();
    pthread_mutex_lock(&node->lock);
    const job_t *job =
        node->loaded && node->leading ? g_hash_table_lookup(node->leader->jobs, id) : NULL;
    if (job) {
        done = job->done_count;
        running = job->outstanding_count;
    }
    pthread_mutex_unlock(&node->lock);
    return (reply_t){.status = live_status,
                     .body = wire_build_status(id, running ? "running" : "queued", done, running)};
}

/* Compares the revisions of all that is asked, in as few requests as go. A job's key is written
 * once, so one whose revision still holds is live; one that fails may have ended and is left to be
 * looked up. */
static void compare_live(node_t *node, http_client_t *client, inquiry_t *inquiry)
{
    guint most = 4 * node->settings->txn_ops;
    bool more = g_hash_table_size(inquiry->asked) > 0;
    while (more) {
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        GHashTableIter iter;
        gpointer id;
        gpointer revision;
        txn_t txn = txn_new();
        g_hash_table_iter_init(&iter, inquiry->asked);
        while (json_array_size(txn.conditions) < most &&
               g_hash_table_iter_next(&iter, &id, &revision)) {
            char key[STATE_KEY_BYTES];
            g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
            txn_if(&txn, key, GPOINTER_TO_SIZE(revision));
        }
        rate_limiter_charge(&node->api_rps, 1, clock_steady());
        state_result_t result =
            state_commit(&node->state, client, &txn, API_TIMEOUT_MS, NULL, failed);
        for (size_t i = 0; result == STATE_OK && i < json_array_size(txn.conditions); i++) {
            const char *key =
                json_string_value(json_object_get(json_array_get(txn.conditions, i), "K"));
            g_hash_table_add(inquiry->live, g_strdup(key + strlen("jobs/")));
            g_hash_table_remove(inquiry->asked, key + strlen("jobs/"));
        }
        for (guint i = 0; i < failed->len; i++)
            g_hash_table_remove(inquiry->asked,
                                (char *)g_ptr_array_index(failed, i) + strlen("jobs/"));
        more = (result == STATE_OK || (result == STATE_FAILED && failed->len > 0)) &&
               g_hash_table_size(inquiry->asked) > 0;
        txn_free(&txn);
        g_ptr_array_unref(failed);
    }
}

static void run_inquiry(node_t *node, inquiry_t *inquiry)
{
    node_sleep(STATUS_GATHER_MS);
    pthread_mutex_lock(&node->lock);
    node->inquiry = NULL; /* later questions must be asked later */
    pthread_mutex_unlock(&node->lock);
    http_client_t *client = api_client_take(node);
    if (client) {
        compare_live(node, client, inquiry);
        api_client_return(node, client);
    }
    pthread_mutex_lock(&node->lock);
    inquiry->done = true;
    pthread_cond_broadcast(&node->inquiries);
    pthread_mutex_unlock(&node->lock);
}

/* Whether the job is live, asked of the state service after the call began, with others at once;
 * false: not known to be. */
static bool is_live(node_t *node, const char *id)
{
    pthread_mutex_lock(&node->lock);
    const known_job_t *job = g_hash_table_lookup(node->jobs, id);
    if (!job) {
        pthread_mutex_unlock(&node->lock);
        return false;
    }
    bool first = node->inquiry == NULL;
    if (first) {
        node->inquiry = g_new0(inquiry_t, 1);
        node->inquiry->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        node->inquiry->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    inquiry_t *inquiry = node->inquiry;
    g_hash_table_insert(inquiry->asked, g_strdup(id), GSIZE_TO_POINTER(job->revision));
    inquiry->waiting++;
    pthread_mutex_unlock(&node->lock);
    if (first)
        run_inquiry(node, inquiry);
    pthread_mutex_lock(&node->lock);
    while (!inquiry->done)
        node_wait(node, &node->inquiries, API_TIMEOUT_MS);
    bool live = g_hash_table_contains(inquiry->live, id);
    bool last = --inquiry->waiting == 0;
    pthread_mutex_unlock(&node->lock);
    if (last) {
        g_hash_table_unref(inquiry->asked);
        g_hash_table_unref(inquiry->live);
        g_free(inquiry);
    }
    return live;
}

reply_t api_get_status(node_t *node, const char *id)
{
    bool live;
    if (!wire_id_valid(id))
        return api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    job_state_t state = api_known_state(node, id, &live);
    if (state != JOB_UNKNOWN)
        return api_status_reply(node, id, state, HTTP_OK);
    if (api_must_turn_away(node))
        return api_come_back();
    if (live && is_live(node, id))
        return api_status_reply(node, id, JOB_LIVE, HTTP_OK);
    if (!rate_limiter_take(&node->api_rps, 1, clock_steady()))
        return api_refuse(HTTP_TOO_MANY_REQUESTS, "too many requests", 2);
    http_client_t *client = api_client_take(node);
    if (!client)
        return api_come_back();
    msec_t begun = clock_steady();
    state = api_look_up(node, client, id, live);
    metrics_time(node->metrics, TIME_STATUS, clock_steady() - begun);
    api_client_return(node, client);
    return api_status_reply(node, id, state, HTTP_OK);
}

reply_t api_look_up_reply(node_t *node, const char *id, unsigned live_status)
{
    http_client_t *client = api_must_turn_away(node) ? NULL : api_client_take(node);
    if (!client)
        return api_come_back();
    job_state_t state = api_look_up(node, client, id, true);
    api_client_return(node, client);
    return api_status_reply(node, id, state, live_status);
}
