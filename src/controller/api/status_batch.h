/** @file
 * Status batches: status reads of live jobs that arrive within STATUS_BATCH_DELAY_MS are checked
 * by one request to the key-value store.
 *
 * The read that opens a batch runs it; the others wait for its result.
 */
#ifndef PEPPERPULLEY_STATUS_BATCH_H
#define PEPPERPULLEY_STATUS_BATCH_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

struct request;

/** One batch. Owned by the requests that wait for it; the last one frees it. Guarded by the
 * controller's lock, but while it runs (from when it is closed until is_done) its tables belong to
 * the request that runs it. */
typedef struct status_batch {
    GHashTable *unanswered; /**< Jobs that are not checked yet: id (char *, owned) -> revision of
                               jobs/`<id>` (pointer-sized). What is left when it is done got no
                               answer. */
    GHashTable *live;       /**< Set of the ids (char *, owned) that were found unchanged. */
    bool is_done;           /**< The result stands. */
    guint waiter_count;     /**< Requests that hold it. */
} status_batch_t;

/** The batch that still takes reads, and who waits for one. Guarded by the controller's lock. */
typedef struct status_batches {
    status_batch_t *open;    /**< Transfer none; NULL: the next read opens one. */
    pthread_cond_t finished; /**< Broadcast when a batch is done. */
} status_batches_t;

/** The result of a check. */
typedef enum {
    LIVE_CHECK_LIVE,      /**< The job was live at some moment after the call began. */
    LIVE_CHECK_CHANGED,   /**< It may be over: it has to be looked up. */
    LIVE_CHECK_UNANSWERED /**< The key-value store refused, or didn't answer by the request's
                             deadline; clients should retry later. */
} live_check_t;

/** Checks whether the job @p id is live, in a batch with others; waits for the result, at most
 * until the request's deadline. Called without the lock. */
live_check_t status_batch_check(struct request *request, const char *id);

#endif
