/* Batches of status reads: reads of live jobs that arrive within a moment go to the key-value store
 * as one request. Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_STATUS_BATCH_H
#define PEPPERPULLEY_STATUS_BATCH_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

/* One batch. Owned by the requests that wait for it; the last one frees it. */
typedef struct status_batch {
    GHashTable *unanswered; /* id -> revision of jobs/<id> (pointer-sized); keys owned */
    GHashTable *live;       /* ids found unchanged, so live; keys owned; set when it is done */
    bool is_done;           /* what is still in `unanswered` got no answer */
    guint waiter_count;
} status_batch_t;

/* The batch that still takes reads, and who is to be woken when one is done. */
typedef struct status_batches {
    status_batch_t *open;    /* NULL: none */
    pthread_cond_t finished; /* broadcast when a batch is done */
} status_batches_t;

#endif
