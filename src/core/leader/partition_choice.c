/* Choice of a partition: the first step of projected least-loaded placement. */
#include "core/leader/demand.h"
#include "core/leader/leader_internal.h"

#include <math.h>
#include <string.h>

/* Returns whether the machine can take one task of the job now. The constraints between the tasks
 * of the job (same zone, spread) are not considered. */
static bool is_eligible(const machine_summary_t *summary, const job_spec_t *spec)
{
    return summary->accepts_starts && (int)spec->priority >= summary->claim_priority &&
           job_spec_allows(spec, summary->type, summary->zone, summary->is_spot) &&
           resources_fit(spec->need, summary->free);
}

static bool has_outstanding_outside(const job_t *job, const char *zone)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, job->zone_outstanding);
    while (g_hash_table_iter_next(&iter, &key, &value))
        if (GPOINTER_TO_INT(value) > 0 && strcmp(key, zone) != 0)
            return true;
    return false;
}

bool leader_job_admits_zone(const job_t *job, const char *zone)
{
    if (job->spec.needs_same_zone && has_outstanding_outside(job, zone))
        return false;
    if (!job->spec.needs_spread)
        return true;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_outstanding, zone));
    return count + 1 <= (int)((job->spec.tasks + 1) / 2);
}

/* Returns the projected load of the machine with one more task of the job: the fraction in use of
 * its cpus or of its memory, whichever is higher. */
static double projected_load(const machine_summary_t *summary, const job_t *job)
{
    double cpus = summary->free.cpus - job->spec.need.cpus;
    double memory = summary->free.memory - job->spec.need.memory;
    return MAX(1 - cpus / MAX(summary->total.cpus, RESOURCE_EPSILON),
               1 - memory / MAX(summary->total.memory, RESOURCE_EPSILON));
}

/* Returns the partition's machine that admits a task of the job and has the lowest projected load
 * with it, or NULL if no machine admits it. summaries is NULL if the partition has sent none yet.
 * free_cpus receives the sum of the free cpus of all machines that admit the task. */
static machine_summary_t *choose_in_partition(const job_t *job, GArray *summaries,
                                              double *free_cpus)
{
    bool has_zone_constraint = job->spec.needs_same_zone || job->spec.needs_spread;
    double lowest = INFINITY;
    machine_summary_t *best = NULL;
    *free_cpus = 0;
    for (guint i = 0; summaries && i < summaries->len; i++) {
        machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        if (!is_eligible(summary, &job->spec))
            continue;
        if (has_zone_constraint && !leader_job_admits_zone(job, summary->zone))
            continue;
        *free_cpus += summary->free.cpus;
        double load = projected_load(summary, job);
        if (load >= lowest)
            continue;
        lowest = load;
        best = summary;
    }
    return best;
}

machine_summary_t *leader_choose_summary(leader_t *leader, const job_t *job, guint *partition)
{
    machine_summary_t *chosen = NULL;
    double max_free_cpus = -1;
    if (!resources_fit(job->spec.need, leader->round.max_free))
        return NULL;
    for (guint i = 0; i < leader->summaries->len; i++) {
        double free_cpus = 0;
        GArray *summaries = g_ptr_array_index(leader->summaries, i);
        machine_summary_t *best = choose_in_partition(job, summaries, &free_cpus);
        leader->round.summaries_examined += summaries ? summaries->len : 0;
        if (!best || free_cpus <= max_free_cpus)
            continue;
        max_free_cpus = free_cpus;
        chosen = best;
        *partition = i;
    }
    return chosen;
}

/* Returns the total cpus, free or in use, of the partition's machines that accept starts, that the
 * job allows and that are large enough for one of its tasks. */
static double allowed_cpus(const GArray *summaries, const job_spec_t *spec)
{
    double cpus = 0;
    for (guint i = 0; summaries && i < summaries->len; i++) {
        const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, i);
        if (summary->accepts_starts && resources_fit(spec->need, summary->total) &&
            job_spec_allows(spec, summary->type, summary->zone, summary->is_spot))
            cpus += summary->total.cpus;
    }
    return cpus;
}

guint leader_largest_partition(const leader_t *leader, const job_spec_t *spec)
{
    guint largest = G_MAXUINT;
    double max_cpus = 0;
    for (guint i = 0; i < leader->summaries->len; i++) {
        double cpus = allowed_cpus(g_ptr_array_index(leader->summaries, i), spec);
        if (cpus <= max_cpus)
            continue;
        max_cpus = cpus;
        largest = i;
    }
    return largest;
}
