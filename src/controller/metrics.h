/** @file
 * Counters and latency histograms of one process, readable at GET /metrics.
 *
 * Thread-safe: the metrics have a lock of their own, so any thread may call these functions with or
 * without the controller's lock.
 */
#ifndef PEPPERPULLEY_METRICS_H
#define PEPPERPULLEY_METRICS_H

#include <glib.h>

#include "core/types.h"

/** The counters. Each starts at 0 when the process starts. */
typedef enum {
    COUNT_SUBMITTED,                   /**< Submissions answered 201. */
    COUNT_REFUSED,                     /**< Requests answered with a 4xx other than 421 and 429. */
    COUNT_RETRY_LATER,                 /**< Requests answered 429 or 503. */
    COUNT_WORKER_HEARTBEATS,           /**< Heartbeats received from workers. */
    COUNT_WORKER_HEARTBEATS_NOT_OWNED, /**< Those from workers that another controller owns. */
    COUNT_COMMITS,           /**< Transactions of the placement loop that were committed. */
    COUNT_COMMITS_FAILED,    /**< Transactions of the placement loop that failed or whose result is
                                unknown. */
    COUNT_RELOADS,           /**< Times that the loaded records were discarded and had to be loaded
                                again. */
    COUNT_VIEWS,             /**< Views installed. */
    COUNT_PUSHES,            /**< Command pushes that a worker answered. */
    COUNT_PUSHES_UNANSWERED, /**< Command pushes without an answer. */
    COUNT_PUSHES_REFUSED,    /**< Command pushes that a worker refused. */
    COUNT_COMMANDS_RUN,      /**< Start commands sent, including repeated ones. */
    COUNT_COMMANDS_STOP,     /**< Stop commands sent, including repeated ones. */
    COUNT_COMMANDS_FORGET,   /**< Commands to forget an attempt. */
    COUNT_UNRECORDED_STOPS,  /**< Stop commands for attempts that no record names. */
    COUNT_FENCING_TOKENS_RAISED, /**< Answers to heartbeats that raised the worker's fencing token.
                                  */
    COUNT_PLACEMENTS,            /**< Placement requests that a partition accepted. */
    COUNT_PLACEMENTS_REFUSED,    /**< Placement requests that a partition refused. */
    COUNT_SCALED_OUT,            /**< Machines scaled out. */
    COUNT_SCALED_IN,             /**< Machines scaled in. */
    COUNT_LAST                   /**< The number of counters; not a counter itself. */
} metric_count_t;

/** The gauges, which are set when the metrics are read. */
typedef enum {
    GAUGE_EXITED_ATTEMPTS,           /**< Exited attempts that workers of this partition list. */
    GAUGE_EXITED_ATTEMPTS_OLDEST_MS, /**< For how long the oldest of them has been listed. */
    GAUGE_LAST                       /**< The number of gauges; not a gauge itself. */
} metric_gauge_t;

/** The latency histograms, by the operation that is timed. */
typedef enum {
    TIME_COMMIT, /**< Transactions of the placement loop. */
    TIME_SUBMIT, /**< Job submissions. */
    TIME_STATUS, /**< Lookups of a job for a status read. */
    TIME_PUSH,   /**< Command pushes to workers. */
    TIME_LAST    /**< The number of histograms; not a histogram itself. */
} metric_time_t;

/** The counters and histograms. Opaque. */
typedef struct metrics metrics_t;

/** Returns new metrics with all counters at 0 (transfer full; they live as long as the process). */
metrics_t *metrics_new(void);

/** Adds @p by to a counter. */
void metrics_count(metrics_t *metrics, metric_count_t which, guint64 by);

/** Sets a gauge. */
void metrics_set(metrics_t *metrics, metric_gauge_t which, guint64 value);

/** Records a latency of @p ms. */
void metrics_time(metrics_t *metrics, metric_time_t which, msec_t ms);

/** Returns all metrics as text, one value per line, including the resource usage of the process and
 * of its threads (transfer full; g_free). */
char *metrics_text(metrics_t *metrics);

#endif
