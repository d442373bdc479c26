/* Users' questions about jobs. */
#include "app/api_internal.h"

#include <string.h>

#include "io/clock.h"
#include "io/wire.h"

/* With the lock held: for display, as the leader counts now or counted a moment ago. */
static job_counts_t job_counts(const node_t *node, const char *id)
{
    if (!node->is_leader || !node->is_loaded)
        return job_counts_replica_get(&node->job_counts, id);
    const job_t *job = g_hash_table_lookup(node->leader->jobs, id);
    return job ? (job_counts_t){.done = job->done_count, .outstanding = job->outstanding_count}
               : (job_counts_t){0};
}

reply_t api_status_reply(node_t *node, const char *id, job_state_t state, unsigned live_status)
{
    if (state == JOB_DONE || state == JOB_CANCELLED)
        return (reply_t){.status = HTTP_OK,
                         .body =
                             wire_build_status(id, state == JOB_DONE ? "done" : "cancelled", 0, 0)};
    if (state == JOB_NEVER)
        return api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    if (state == JOB_UNKNOWN)
        return api_come_back();
    pthread_mutex_lock(&node->lock);
    job_counts_t counts = job_counts(node, id);
    pthread_mutex_unlock(&node->lock);
    return (reply_t){.status = live_status,
                     .body = wire_build_status(id, counts.outstanding ? "running" : "queued",
                                               counts.done, counts.outstanding)};
}

/* Compares the revisions of all that is asked, in as few requests as go. A job's key is written
 * once, so one whose revision still holds is live; one that fails may have ended and is left to be
 * looked up. */
static void compare_live(request_t *request, inquiry_t *inquiry)
{
    guint most = 4 * request->node->settings->txn_ops;
    bool more = g_hash_table_size(inquiry->asked) > 0;
    while (more) {
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        GHashTableIter iter;
        gpointer id;
        gpointer revision;
        kv_txn_t txn = kv_txn_new();
        g_hash_table_iter_init(&iter, inquiry->asked);
        while (json_array_size(txn.conditions) < most &&
               g_hash_table_iter_next(&iter, &id, &revision)) {
            char key[KV_KEY_BYTES];
            g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
            kv_txn_require_revision(&txn, key, GPOINTER_TO_SIZE(revision));
        }
        kv_result_t result = api_commit(request, &txn, failed);
        for (size_t i = 0; result == KV_OK && i < json_array_size(txn.conditions); i++) {
            const char *key =
                json_string_value(json_object_get(json_array_get(txn.conditions, i), "K"));
            g_hash_table_add(inquiry->live, g_strdup(key + strlen("jobs/")));
            g_hash_table_remove(inquiry->asked, key + strlen("jobs/"));
        }
        for (guint i = 0; i < failed->len; i++)
            g_hash_table_remove(inquiry->asked,
                                (char *)g_ptr_array_index(failed, i) + strlen("jobs/"));
        more = (result == KV_OK || (result == KV_CONFLICT && failed->len > 0)) &&
               g_hash_table_size(inquiry->asked) > 0;
        kv_txn_free(&txn);
        g_ptr_array_unref(failed);
    }
}

static void run_inquiry(request_t *request, inquiry_t *inquiry)
{
    node_t *node = request->node;
    node_sleep(STATUS_GATHER_MS);
    pthread_mutex_lock(&node->lock);
    node->inquiry = NULL; /* later questions must be asked later */
    pthread_mutex_unlock(&node->lock);
    if (api_acquire_client(request))
        compare_live(request, inquiry);
    pthread_mutex_lock(&node->lock);
    inquiry->done = true;
    pthread_cond_broadcast(&node->inquiries);
    pthread_mutex_unlock(&node->lock);
}

/* With the lock held: an inquiry that still takes questions, with this one. */
static inquiry_t *join_inquiry(node_t *node, const known_job_t *job)
{
    if (!node->inquiry) {
        node->inquiry = g_new0(inquiry_t, 1);
        node->inquiry->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        node->inquiry->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    inquiry_t *inquiry = node->inquiry;
    g_hash_table_insert(inquiry->asked, g_strdup(job->spec.id), GSIZE_TO_POINTER(job->revision));
    inquiry->waiting++;
    return inquiry;
}

static void leave_inquiry(inquiry_t *inquiry)
{
    if (--inquiry->waiting > 0)
        return;
    g_hash_table_unref(inquiry->asked);
    g_hash_table_unref(inquiry->live);
    g_free(inquiry);
}

typedef enum {
    LIVE_CHECK_LIVE,
    LIVE_CHECK_CHANGED,   /* it may be over */
    LIVE_CHECK_UNANSWERED /* refused, or no answer in time: whoever asks again had better ask later
                           */
} live_check_t;

/* Whether the job is live, asked of the key-value store after the call began, with others at once.
 */
static live_check_t check_live(request_t *request, const char *id)
{
    node_t *node = request->node;
    pthread_mutex_lock(&node->lock);
    const known_job_t *job = g_hash_table_lookup(node->jobs, id);
    if (!job) {
        pthread_mutex_unlock(&node->lock);
        return LIVE_CHECK_CHANGED;
    }
    bool first = node->inquiry == NULL;
    inquiry_t *inquiry = join_inquiry(node, job);
    pthread_mutex_unlock(&node->lock);
    if (first)
        run_inquiry(request, inquiry);
    pthread_mutex_lock(&node->lock);
    msec_t now = clock_steady();
    while (!inquiry->done && now < request->deadline) {
        node_wait(node, &node->inquiries, request->deadline - now);
        now = clock_steady();
    }
    live_check_t result = LIVE_CHECK_CHANGED;
    if (!inquiry->done || g_hash_table_contains(inquiry->asked, id))
        result = LIVE_CHECK_UNANSWERED;
    else if (g_hash_table_contains(inquiry->live, id))
        result = LIVE_CHECK_LIVE;
    leave_inquiry(inquiry);
    pthread_mutex_unlock(&node->lock);
    return result;
}

bool api_answer_at_once(const request_t *request, const char *id, bool *likely_live, reply_t *reply)
{
    node_t *node = request->node;
    job_state_t state = wire_id_valid(id) ? api_known_state(node, id, likely_live) : JOB_NEVER;
    if (state == JOB_NEVER)
        *reply = api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    else if (state != JOB_UNKNOWN)
        *reply = api_status_reply(node, id, state, HTTP_OK);
    else if (api_must_turn_away(node))
        *reply = api_come_back();
    else
        return false;
    return true;
}

reply_t api_get_status(request_t *request, const char *id)
{
    node_t *node = request->node;
    bool live;
    reply_t reply;
    if (api_answer_at_once(request, id, &live, &reply))
        return reply;
    live_check_t check = live ? check_live(request, id) : LIVE_CHECK_CHANGED;
    if (check == LIVE_CHECK_LIVE)
        return api_status_reply(node, id, JOB_LIVE, HTTP_OK);
    if (check == LIVE_CHECK_UNANSWERED)
        return api_come_back();
    if (!rate_limiter_take(&node->api_rps, 1, clock_steady()))
        return api_refuse(HTTP_TOO_MANY_REQUESTS, "too many requests", 2);
    if (!api_acquire_client(request))
        return api_come_back();
    msec_t begun = clock_steady();
    job_state_t state = api_look_up(request, id, live);
    metrics_time(node->metrics, TIME_STATUS, clock_steady() - begun);
    return api_status_reply(node, id, state, HTTP_OK);
}
