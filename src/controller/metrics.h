/* Counters and latency histograms of one process, readable at GET /metrics. Owns its own lock. */
#ifndef PEPPERPULLEY_METRICS_H
#define PEPPERPULLEY_METRICS_H

#include <glib.h>

#include "core/types.h"

typedef enum {
    COUNT_SUBMITTED,   /* answered 201 */
    COUNT_REFUSED,     /* answered 4xx for good */
    COUNT_RETRY_LATER, /* answered 429 or 503 */
    COUNT_WORKER_HEARTBEATS,
    COUNT_WORKER_HEARTBEATS_NOT_OWNED, /* reports of workers that another controller owns */
    COUNT_COMMITS,
    COUNT_COMMITS_FAILED, /* a condition did not hold, or the service refused */
    COUNT_RELOADS,
    COUNT_VIEWS,
    COUNT_PUSHES,
    COUNT_PUSHES_UNANSWERED,
    COUNT_PLACEMENTS,
    COUNT_PLACEMENTS_REFUSED,
    COUNT_SCALED_OUT,
    COUNT_SCALED_IN,
    COUNT_LAST
} metric_count_t;

typedef enum { TIME_COMMIT, TIME_SUBMIT, TIME_STATUS, TIME_PUSH, TIME_LAST } metric_time_t;

typedef struct metrics metrics_t;

metrics_t *metrics_new(void);
void metrics_count(metrics_t *metrics, metric_count_t which, guint64 by);
void metrics_time(metrics_t *metrics, metric_time_t which, msec_t ms);
/* One line a value; g_free it. */
char *metrics_text(metrics_t *metrics);

#endif
