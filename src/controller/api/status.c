/* Users' questions about jobs. */
#include "controller/api/api_internal.h"

#include <string.h>

#include "io/clock.h"
#include "io/codec/codec.h"

/* With the lock held: for display, as the leader counts now or counted a moment ago. */
static job_counts_t job_counts(const controller_t *controller, const char *id)
{
    if (!controller->membership.is_leader || !controller->placement.is_loaded)
        return job_counts_replica_get(&controller->jobs.counts, id);
    return leader_job_counts(controller->placement.leader, id);
}

reply_t api_status_reply(controller_t *controller, const char *id, job_state_t state,
                         unsigned live_status)
{
    if (state == JOB_DONE || state == JOB_CANCELLED)
        return (reply_t){
            .status = HTTP_OK,
            .body = codec_build_status(id, state == JOB_DONE ? "done" : "cancelled", 0, 0)};
    if (state == JOB_NEVER)
        return api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    if (state == JOB_UNKNOWN)
        return api_retry_later();
    pthread_mutex_lock(&controller->lock);
    job_counts_t counts = job_counts(controller, id);
    pthread_mutex_unlock(&controller->lock);
    return (reply_t){.status = live_status,
                     .body = codec_build_status(id, counts.outstanding ? "running" : "queued",
                                                counts.done, counts.outstanding)};
}

/* Compares the revisions of all that is asked, in as few requests as go. A job's key is written
 * once, so one whose revision still holds is live; one that fails may have ended and is left to be
 * looked up. */
static void compare_live(request_t *request, status_batch_t *status_batch)
{
    guint most = 4 * request->controller->settings->txn_ops;
    bool more = g_hash_table_size(status_batch->unanswered) > 0;
    while (more) {
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        GHashTableIter iter;
        gpointer id;
        gpointer revision;
        kv_txn_t txn = kv_txn_new();
        g_hash_table_iter_init(&iter, status_batch->unanswered);
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
            g_hash_table_add(status_batch->live, g_strdup(key + strlen("jobs/")));
            g_hash_table_remove(status_batch->unanswered, key + strlen("jobs/"));
        }
        for (guint i = 0; i < failed->len; i++)
            g_hash_table_remove(status_batch->unanswered,
                                (char *)g_ptr_array_index(failed, i) + strlen("jobs/"));
        more = (result == KV_OK || (result == KV_CONFLICT && failed->len > 0)) &&
               g_hash_table_size(status_batch->unanswered) > 0;
        kv_txn_free(&txn);
        g_ptr_array_unref(failed);
    }
}

static void run_status_batch(request_t *request, status_batch_t *status_batch)
{
    controller_t *controller = request->controller;
    controller_sleep(STATUS_BATCH_DELAY_MS);
    pthread_mutex_lock(&controller->lock);
    controller->status_batches.open = NULL; /* later questions must be asked later */
    pthread_mutex_unlock(&controller->lock);
    if (api_acquire_client(request))
        compare_live(request, status_batch);
    pthread_mutex_lock(&controller->lock);
    status_batch->is_done = true;
    pthread_cond_broadcast(&controller->status_batches.finished);
    pthread_mutex_unlock(&controller->lock);
}

/* With the lock held: an status batch that still takes questions, with this one. */
static status_batch_t *join_status_batch(controller_t *controller, const live_job_t *job)
{
    if (!controller->status_batches.open) {
        controller->status_batches.open = g_new0(status_batch_t, 1);
        controller->status_batches.open->unanswered =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        controller->status_batches.open->live =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    status_batch_t *status_batch = controller->status_batches.open;
    g_hash_table_insert(status_batch->unanswered, g_strdup(job->spec.id),
                        GSIZE_TO_POINTER(job->revision));
    status_batch->waiter_count++;
    return status_batch;
}

static void leave_status_batch(status_batch_t *status_batch)
{
    if (--status_batch->waiter_count > 0)
        return;
    g_hash_table_unref(status_batch->unanswered);
    g_hash_table_unref(status_batch->live);
    g_free(status_batch);
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
    controller_t *controller = request->controller;
    pthread_mutex_lock(&controller->lock);
    const live_job_t *job = g_hash_table_lookup(controller->jobs.live, id);
    if (!job) {
        pthread_mutex_unlock(&controller->lock);
        return LIVE_CHECK_CHANGED;
    }
    bool first = controller->status_batches.open == NULL;
    status_batch_t *status_batch = join_status_batch(controller, job);
    pthread_mutex_unlock(&controller->lock);
    if (first)
        run_status_batch(request, status_batch);
    pthread_mutex_lock(&controller->lock);
    msec_t now = clock_steady();
    while (!status_batch->is_done && now < request->deadline) {
        controller_wait(controller, &controller->status_batches.finished, request->deadline - now);
        now = clock_steady();
    }
    live_check_t result = LIVE_CHECK_CHANGED;
    if (!status_batch->is_done || g_hash_table_contains(status_batch->unanswered, id))
        result = LIVE_CHECK_UNANSWERED;
    else if (g_hash_table_contains(status_batch->live, id))
        result = LIVE_CHECK_LIVE;
    leave_status_batch(status_batch);
    pthread_mutex_unlock(&controller->lock);
    return result;
}

bool api_answer_at_once(const request_t *request, const char *id, bool *likely_live, reply_t *reply)
{
    controller_t *controller = request->controller;
    job_state_t state =
        codec_is_job_id(id) ? api_known_state(controller, id, likely_live) : JOB_NEVER;
    if (state == JOB_NEVER)
        *reply = api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    else if (state != JOB_UNKNOWN)
        *reply = api_status_reply(controller, id, state, HTTP_OK);
    else if (api_must_shed(controller))
        *reply = api_retry_later();
    else
        return false;
    return true;
}

reply_t api_get_status(request_t *request, const char *id)
{
    controller_t *controller = request->controller;
    bool live;
    reply_t reply;
    if (api_answer_at_once(request, id, &live, &reply))
        return reply;
    live_check_t check = live ? check_live(request, id) : LIVE_CHECK_CHANGED;
    if (check == LIVE_CHECK_LIVE)
        return api_status_reply(controller, id, JOB_LIVE, HTTP_OK);
    if (check == LIVE_CHECK_UNANSWERED)
        return api_retry_later();
    if (!rate_limiter_take(&controller->api_request_limiter, 1, clock_steady()))
        return api_refuse(HTTP_TOO_MANY_REQUESTS, "too many requests", 2);
    if (!api_acquire_client(request))
        return api_retry_later();
    msec_t begun = clock_steady();
    job_state_t state = api_look_up(request, id, live);
    metrics_time(controller->metrics, TIME_STATUS, clock_steady() - begun);
    return api_status_reply(controller, id, state, HTTP_OK);
}
