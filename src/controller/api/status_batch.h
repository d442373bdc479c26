/** @file
 * Status batches: status reads of live jobs that arrive within STATUS_BATCH_DELAY_MS are checked
 * together, with one request to the key-value store for as many jobs as a transaction takes.
 *
 * The thread of the read that opens a batch runs it. The other reads wait for its result.
 */
#ifndef PEPPERPULLEY_STATUS_BATCH_H
#define PEPPERPULLEY_STATUS_BATCH_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

struct request;

/** One batch. Owned jointly by its requests; the last one to leave frees it. Guarded by the
 * controller's lock, with one exception: after the batch is closed and until is_done is set, only
 * the thread that runs it uses its tables, without the lock. */
typedef struct status_batch {
    GHashTable *unanswered; /**< Jobs without a result: id (char *, owned) -> revision of
                               jobs/`<id>` (pointer-sized). Jobs that remain when the batch is done
                               got no answer from the key-value store. */
    GHashTable *live;       /**< Set of the ids (char *, owned) of the jobs found to be live. */
    bool is_done;           /**< The tables do not change any more. */
    guint waiter_count;     /**< Requests that have joined the batch and not left it. */
} status_batch_t;

/** The status batches of a controller. Guarded by the controller's lock. */
typedef struct status_batches {
    status_batch_t *open;    /**< The batch that reads may still join, transfer none;
                                NULL: the next read opens one. */
    pthread_cond_t finished; /**< Broadcast when a batch is done; its requests wait for it. */
} status_batches_t;

/** The result of checking whether a job is live. */
typedef enum {
    LIVE_CHECK_LIVE,      /**< The job was live at some moment after the check began. */
    LIVE_CHECK_CHANGED,   /**< The job may have ended: its state must be read. */
    LIVE_CHECK_UNANSWERED /**< The key-value store refused the check or did not answer by the
                             request's deadline; the client should retry later. */
} live_check_t;

/** Checks whether the job @p id is live, in a batch with other status reads. Waits for the result
 * until the request's deadline. Called without the lock, by the thread that serves the request. */
live_check_t status_batch_check(struct request *request, const char *id);

#endif
