/** @file
 * Counters and latency histograms of one process, readable at GET /metrics.
 *
 * The metrics have a lock of their own: any thread may call, with or without the controller's lock.
 */
#ifndef PEPPERPULLEY_METRICS_H
#define PEPPERPULLEY_METRICS_H

#include <glib.h>

#include "core/types.h"

/** What is counted since the start of the process. */
typedef enum {
    COUNT_SUBMITTED,                   /**< Submissions answered 201. */
    COUNT_REFUSED,                     /**< Requests answered with a 4xx other than 421 and 429. */
    COUNT_RETRY_LATER,                 /**< Requests answered 429 or 503. */
    COUNT_WORKER_HEARTBEATS,           /**< Heartbeats received from workers. */
    COUNT_WORKER_HEARTBEATS_NOT_OWNED, /**< Those of workers that another controller owns. */
    COUNT_COMMITS,        /**< Transactions of the placement loop that were executed. */
    COUNT_COMMITS_FAILED, /**< Those that were not, or may not have been. */
    COUNT_RELOADS,        /**< Times that the loaded records were discarded, to be loaded again. */
    COUNT_VIEWS,          /**< Views installed. */
    COUNT_PUSHES,         /**< Pushes of commands that a worker answered. */
    COUNT_PUSHES_UNANSWERED,  /**< Pushes of commands without an answer. */
    COUNT_PLACEMENTS,         /**< Placement requests that a partition accepted. */
    COUNT_PLACEMENTS_REFUSED, /**< Placement requests that a partition refused. */
    COUNT_SCALED_OUT,         /**< Machines scaled out. */
    COUNT_SCALED_IN,          /**< Machines scaled in. */
    COUNT_LAST                /**< The number of counters; none itself. */
} metric_count_t;

/** Whose latency is measured. */
typedef enum {
    TIME_COMMIT, /**< Transactions of the placement loop. */
    TIME_SUBMIT, /**< Submissions. */
    TIME_STATUS, /**< Look-ups of a job for a status read. */
    TIME_PUSH,   /**< Pushes of commands to workers. */
    TIME_LAST    /**< The number of histograms; none itself. */
} metric_time_t;

/** The counters and histograms. Opaque. */
typedef struct metrics metrics_t;

/** Returns metrics with all counters at 0 (transfer full; they live as long as the process). */
metrics_t *metrics_new(void);

/** Adds @p by to a counter. */
void metrics_count(metrics_t *metrics, metric_count_t which, guint64 by);

/** Records a latency of @p ms. */
void metrics_time(metrics_t *metrics, metric_time_t which, msec_t ms);

/** Returns all metrics as text, a value a line, with those of the process and its threads (transfer
 * full; g_free). */
char *metrics_text(metrics_t *metrics);

#endif
