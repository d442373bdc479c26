#include "core/replication/job_counts.h"

void job_counts_update_clear(job_counts_update_t *update)
{
    g_clear_pointer(&update->jobs, g_array_unref);
}

void job_counts_replica_init(job_counts_replica_t *replica)
{
    *replica = (job_counts_replica_t){0};
    replica->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void job_counts_replica_set(job_counts_replica_t *replica, const job_counts_t *counts)
{
    job_counts_t *copy = g_new(job_counts_t, 1);
    *copy = *counts;
    g_hash_table_replace(replica->jobs, copy->job, copy);
}

void job_counts_replica_apply(job_counts_replica_t *replica, const job_counts_update_t *update)
{
    if (update->epoch == 0)
        return;
    if (update->epoch != replica->epoch)
        g_hash_table_remove_all(replica->jobs);
    replica->epoch = update->epoch;
    replica->version = update->version;
    for (guint i = 0; update->jobs && i < update->jobs->len; i++)
        job_counts_replica_set(replica, &g_array_index(update->jobs, job_counts_t, i));
}

void job_counts_replica_remove(job_counts_replica_t *replica, const char *job)
{
    g_hash_table_remove(replica->jobs, job);
}

job_counts_t job_counts_replica_get(const job_counts_replica_t *replica, const char *job)
{
    const job_counts_t *counts = g_hash_table_lookup(replica->jobs, job);
    return counts ? *counts : (job_counts_t){0};
}
