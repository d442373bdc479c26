#include "controller/metrics.h"

#include <pthread.h>
#include <sys/resource.h>

#include <gsl/gsl_histogram.h>

#include "controller/threads.h"

static const char *const count_names[COUNT_LAST] = {
    [COUNT_SUBMITTED] = "submissions_accepted",
    [COUNT_REFUSED] = "requests_refused",
    [COUNT_RETRY_LATER] = "requests_put_off",
    [COUNT_WORKER_HEARTBEATS] = "worker_heartbeats",
    [COUNT_WORKER_HEARTBEATS_NOT_OWNED] = "worker_heartbeats_not_owned",
    [COUNT_COMMITS] = "commits",
    [COUNT_COMMITS_FAILED] = "commits_failed",
    [COUNT_RELOADS] = "reloads",
    [COUNT_VIEWS] = "views",
    [COUNT_PUSHES] = "pushes",
    [COUNT_PUSHES_UNANSWERED] = "pushes_unanswered",
    [COUNT_PUSHES_REFUSED] = "pushes_refused",
    [COUNT_COMMANDS_RUN] = "commands_run",
    [COUNT_COMMANDS_STOP] = "commands_stop",
    [COUNT_COMMANDS_FORGET] = "commands_forget",
    [COUNT_UNRECORDED_STOPS] = "unrecorded_stops",
    [COUNT_FENCING_TOKENS_RAISED] = "fencing_tokens_raised",
    [COUNT_PLACEMENTS] = "placements",
    [COUNT_PLACEMENTS_REFUSED] = "placements_refused",
    [COUNT_SCALED_OUT] = "machines_scaled_out",
    [COUNT_SCALED_IN] = "machines_scaled_in",
};

static const char *const gauge_names[GAUGE_LAST] = {
    [GAUGE_EXITED_ATTEMPTS] = "exited_attempts",
    [GAUGE_EXITED_ATTEMPTS_OLDEST_MS] = "exited_attempts_oldest_ms",
};

static const char *const time_names[TIME_LAST] = {
    [TIME_COMMIT] = "commit_ms",
    [TIME_SUBMIT] = "submit_ms",
    [TIME_STATUS] = "status_ms",
    [TIME_PUSH] = "push_ms",
};

/* Bin edges of the histograms, in ms. Each is twice the previous one, because the order of
 * magnitude of a latency matters (5, 50 or 500 ms), not its exact value. */
static const double histogram_edges_ms[] = {0,   1,   2,   4,    8,    16,   32, 64,
                                            128, 256, 512, 1024, 2048, 4096, 1e9};

struct metrics {
    pthread_mutex_t lock;
    guint64 counts[COUNT_LAST];           /* guarded by lock */
    guint64 gauges[GAUGE_LAST];           /* guarded by lock */
    gsl_histogram *histograms[TIME_LAST]; /* owned; guarded by lock */
};

metrics_t *metrics_new(void)
{
    metrics_t *metrics = g_new0(metrics_t, 1);
    pthread_mutex_init(&metrics->lock, NULL);
    for (int i = 0; i < TIME_LAST; i++) {
        metrics->histograms[i] = gsl_histogram_alloc(G_N_ELEMENTS(histogram_edges_ms) - 1);
        gsl_histogram_set_ranges(metrics->histograms[i], histogram_edges_ms,
                                 G_N_ELEMENTS(histogram_edges_ms));
    }
    return metrics;
}

void metrics_count(metrics_t *metrics, metric_count_t which, guint64 by)
{
    pthread_mutex_lock(&metrics->lock);
    metrics->counts[which] += by;
    pthread_mutex_unlock(&metrics->lock);
}

void metrics_set(metrics_t *metrics, metric_gauge_t which, guint64 value)
{
    pthread_mutex_lock(&metrics->lock);
    metrics->gauges[which] = value;
    pthread_mutex_unlock(&metrics->lock);
}

void metrics_time(metrics_t *metrics, metric_time_t which, msec_t ms)
{
    pthread_mutex_lock(&metrics->lock);
    gsl_histogram_increment(metrics->histograms[which], (double)MAX(ms, 0));
    pthread_mutex_unlock(&metrics->lock);
}

/* Writes the total count, and a line for each bin that is not empty. */
static void write_histogram(GString *text, const char *name, const gsl_histogram *histogram)
{
    g_string_append_printf(text, "%s_count %.0f\n", name, gsl_histogram_sum(histogram));
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++)
        if (gsl_histogram_get(histogram, i) > 0)
            g_string_append_printf(text, "%s_below{ms=\"%g\"} %.0f\n", name,
                                   histogram_edges_ms[i + 1], gsl_histogram_get(histogram, i));
}

/* Writes the resource usage of the whole process. The context switches are the voluntary ones: one
 * for each time that a thread blocks. */
static void write_usage(GString *text)
{
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    g_string_append_printf(text, "context_switches %ld\nmemory_peak_kib %ld\n", usage.ru_nvcsw,
                           usage.ru_maxrss);
}

char *metrics_text(metrics_t *metrics)
{
    GString *text = g_string_new(NULL);
    pthread_mutex_lock(&metrics->lock);
    for (int i = 0; i < COUNT_LAST; i++)
        g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n", count_names[i],
                               metrics->counts[i]);
    for (int i = 0; i < GAUGE_LAST; i++)
        g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n", gauge_names[i],
                               metrics->gauges[i]);
    for (int i = 0; i < TIME_LAST; i++)
        write_histogram(text, time_names[i], metrics->histograms[i]);
    pthread_mutex_unlock(&metrics->lock);
    write_usage(text);
    threads_write(text);
    return g_string_free(text, FALSE);
}
