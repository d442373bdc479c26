#include "controller/metrics.h"

#include <pthread.h>
#include <sys/resource.h>

#include <gsl/gsl_histogram.h>

#include "controller/threads.h"

static const char *const count_names[COUNT_LAST] = {"submissions_accepted",
                                                    "requests_refused",
                                                    "requests_put_off",
                                                    "worker_heartbeats",
                                                    "worker_heartbeats_not_owned",
                                                    "commits",
                                                    "commits_failed",
                                                    "reloads",
                                                    "views",
                                                    "pushes",
                                                    "pushes_unanswered",
                                                    "placements",
                                                    "placements_refused",
                                                    "machines_scaled_out",
                                                    "machines_scaled_in"};

static const char *const time_names[TIME_LAST] = {"commit_ms", "submit_ms", "status_ms", "push_ms"};

/* Edges in ms, doubling: what matters is whether an answer took 5, 50 or 500. */
static const double edges[] = {0, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 1e9};

struct metrics {
    pthread_mutex_t lock;
    guint64 count[COUNT_LAST];
    gsl_histogram *time[TIME_LAST];
};

metrics_t *metrics_new(void)
{
    metrics_t *metrics = g_new0(metrics_t, 1);
    pthread_mutex_init(&metrics->lock, NULL);
    for (int i = 0; i < TIME_LAST; i++) {
        metrics->time[i] = gsl_histogram_alloc(G_N_ELEMENTS(edges) - 1);
        gsl_histogram_set_ranges(metrics->time[i], edges, G_N_ELEMENTS(edges));
    }
    return metrics;
}

void metrics_count(metrics_t *metrics, metric_count_t which, guint64 by)
{
    pthread_mutex_lock(&metrics->lock);
    metrics->count[which] += by;
    pthread_mutex_unlock(&metrics->lock);
}

void metrics_time(metrics_t *metrics, metric_time_t which, msec_t ms)
{
    pthread_mutex_lock(&metrics->lock);
    gsl_histogram_increment(metrics->time[which], (double)MAX(ms, 0));
    pthread_mutex_unlock(&metrics->lock);
}

static void write_histogram(GString *text, const char *name, const gsl_histogram *histogram)
{
    g_string_append_printf(text, "%s_count %.0f\n", name, gsl_histogram_sum(histogram));
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++)
        if (gsl_histogram_get(histogram, i) > 0)
            g_string_append_printf(text, "%s_below{ms=\"%g\"} %.0f\n", name, edges[i + 1],
                                   gsl_histogram_get(histogram, i));
}

/* What the process as a whole has used. A voluntary context switch is a wait of a thread. */
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
                               metrics->count[i]);
    for (int i = 0; i < TIME_LAST; i++)
        write_histogram(text, time_names[i], metrics->time[i]);
    pthread_mutex_unlock(&metrics->lock);
    write_usage(text);
    threads_write(text);
    return g_string_free(text, FALSE);
}
