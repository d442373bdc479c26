/* Checks in batches whether jobs are live.
 *
 * The key of a job in jobs/ is written once and deleted when the job ends. A job whose key still
 * has the known revision is therefore live. A job whose condition fails may have ended, and its
 * state is read separately. */
#include "controller/api/status_batch.h"

#include <string.h>

#include "controller/api/kv_access.h"
#include "controller/controller.h"
#include "io/clock.h"

/* Adds a condition on the revision of each unanswered job, up to max_conditions. */
static void require_revisions(kv_txn_t *txn, GHashTable *unanswered, guint max_conditions)
{
    GHashTableIter iter;
    gpointer id;
    gpointer revision;
    g_hash_table_iter_init(&iter, unanswered);
    while (json_array_size(txn->conditions) < max_conditions &&
           g_hash_table_iter_next(&iter, &id, &revision)) {
        char key[KV_KEY_BYTES];
        g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
        kv_txn_require_revision(txn, key, GPOINTER_TO_SIZE(revision));
    }
}

/* Records the jobs in the transaction's conditions as live, because all its conditions hold. */
static void record_live(status_batch_t *batch, const kv_txn_t *txn)
{
    for (size_t i = 0; i < json_array_size(txn->conditions); i++) {
        const char *id = kv_txn_required_key(txn, i) + strlen("jobs/");
        g_hash_table_add(batch->live, g_strdup(id));
        g_hash_table_remove(batch->unanswered, id);
    }
}

/* Records that the jobs whose conditions failed may have ended: they are neither live nor
 * unanswered. */
static void record_changed(status_batch_t *batch, const GPtrArray *failed_keys)
{
    for (guint i = 0; i < failed_keys->len; i++) {
        const char *key = g_ptr_array_index(failed_keys, i);
        g_hash_table_remove(batch->unanswered, key + strlen("jobs/"));
    }
}

/* Checks some of the unanswered jobs with one transaction. Returns true if it gave a result for at
 * least one of them. */
static bool check_next_jobs(request_t *request, status_batch_t *batch)
{
    g_autoptr(GPtrArray) failed_keys = g_ptr_array_new_with_free_func(g_free); /* char *, owned */
    kv_txn_t txn = kv_txn_new();
    require_revisions(&txn, batch->unanswered, 4 * request->controller->settings->txn_ops);
    kv_result_t result = api_commit(request, &txn, failed_keys);
    if (result == KV_OK)
        record_live(batch, &txn);
    record_changed(batch, failed_keys);
    kv_txn_free(&txn);
    return result == KV_OK || (result == KV_CONFLICT && failed_keys->len > 0);
}

static void check_all_jobs(request_t *request, status_batch_t *batch)
{
    bool may_continue = true;
    while (may_continue && g_hash_table_size(batch->unanswered) > 0)
        may_continue = check_next_jobs(request, batch);
}

/* Waits for more status reads to join the batch, then closes it, checks its jobs and wakes the
 * requests that wait for the result. */
static void run_batch(request_t *request, status_batch_t *batch)
{
    controller_t *controller = request->controller;
    controller_sleep(STATUS_BATCH_DELAY_MS);
    pthread_mutex_lock(&controller->lock);
    /* A status read that arrives from now on must not join, because it could get a result that was
     * read before it arrived. */
    controller->status_batches.open = NULL;
    pthread_mutex_unlock(&controller->lock);
    if (api_acquire_kv_client(request))
        check_all_jobs(request, batch);
    pthread_mutex_lock(&controller->lock);
    batch->is_done = true;
    pthread_cond_broadcast(&controller->status_batches.finished);
    pthread_mutex_unlock(&controller->lock);
}

static status_batch_t *batch_new(void)
{
    status_batch_t *batch = g_new0(status_batch_t, 1);
    batch->unanswered = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    batch->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return batch;
}

/* Adds a status read of the job to the open batch, or to a new one if none is open. */
static status_batch_t *join_batch_locked(controller_t *controller, const live_job_t *job)
{
    if (!controller->status_batches.open)
        controller->status_batches.open = batch_new();
    status_batch_t *batch = controller->status_batches.open;
    g_hash_table_insert(batch->unanswered, g_strdup(job->spec.id), GSIZE_TO_POINTER(job->revision));
    batch->waiter_count++;
    return batch;
}

static void leave_batch_locked(status_batch_t *batch)
{
    if (--batch->waiter_count > 0)
        return;
    g_hash_table_unref(batch->unanswered);
    g_hash_table_unref(batch->live);
    g_free(batch);
}

static void wait_for_batch_locked(const request_t *request, const status_batch_t *batch)
{
    controller_t *controller = request->controller;
    msec_t now = clock_steady();
    while (!batch->is_done && now < request->deadline) {
        controller_wait(controller, &controller->status_batches.finished, request->deadline - now);
        now = clock_steady();
    }
}

static live_check_t batch_result_locked(const status_batch_t *batch, const char *id)
{
    if (!batch->is_done || g_hash_table_contains(batch->unanswered, id))
        return LIVE_CHECK_UNANSWERED;
    return g_hash_table_contains(batch->live, id) ? LIVE_CHECK_LIVE : LIVE_CHECK_CHANGED;
}

live_check_t status_batch_check(struct request *request, const char *id)
{
    controller_t *controller = request->controller;
    pthread_mutex_lock(&controller->lock);
    const live_job_t *job = g_hash_table_lookup(controller->jobs.live, id);
    if (!job) {
        pthread_mutex_unlock(&controller->lock);
        return LIVE_CHECK_CHANGED;
    }
    bool is_first = controller->status_batches.open == NULL;
    status_batch_t *batch = join_batch_locked(controller, job);
    pthread_mutex_unlock(&controller->lock);
    if (is_first)
        run_batch(request, batch);
    pthread_mutex_lock(&controller->lock);
    wait_for_batch_locked(request, batch);
    live_check_t result = batch_result_locked(batch, id);
    leave_batch_locked(batch);
    pthread_mutex_unlock(&controller->lock);
    return result;
}
