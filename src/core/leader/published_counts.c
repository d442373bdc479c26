/* Published counts: the task counts of the live jobs that the leader sends to the replicas. */
#include "core/leader/leader_internal.h"

static gint compare_counts_versions(gconstpointer left, gconstpointer right)
{
    uint64_t first = (*(job_t *const *)left)->counts_version;
    uint64_t second = (*(job_t *const *)right)->counts_version;
    return (first > second) - (first < second);
}

static void update_counts(leader_t *leader, job_t *job)
{
    if (job->counts.done == job->done_count && job->counts.outstanding == job->outstanding_count)
        return;
    g_strlcpy(job->counts.job, job->spec.id, sizeof job->counts.job);
    job->counts.done = job->done_count;
    job->counts.outstanding = job->outstanding_count;
    job->counts_version = ++leader->counts_version;
}

/* Returns an array of job_t, borrowed: the jobs whose counts changed after the given version,
 * oldest change first. */
static GPtrArray *changed_jobs(leader_t *leader, uint64_t version)
{
    GPtrArray *changed = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        update_counts(leader, job);
        if (job->counts_version > version)
            g_ptr_array_add(changed, job);
    }
    g_ptr_array_sort(changed, compare_counts_versions);
    return changed;
}

job_counts_update_t leader_job_counts_since(leader_t *leader, uint64_t epoch, uint64_t version,
                                            guint max_jobs)
{
    if (epoch != leader->counts_epoch)
        version = 0;
    job_counts_update_t update = {.epoch = leader->counts_epoch, .version = version};
    g_autoptr(GPtrArray) changed = changed_jobs(leader, version);
    update.jobs = g_array_new(FALSE, FALSE, sizeof(job_counts_t));
    for (guint i = 0; i < MIN(changed->len, max_jobs); i++) {
        const job_t *job = g_ptr_array_index(changed, i);
        g_array_append_val(update.jobs, job->counts);
        update.version = job->counts_version;
    }
    return update;
}
