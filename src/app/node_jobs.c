/* The jobs that a node knows: the live ones, those that are over, and what users were told of them.
 */
#include "app/node.h"

#include "io/clock.h"

void node_add_job(node_t *node, const job_spec_t *spec, uint64_t revision)
{
    if (g_hash_table_contains(node->jobs, spec->id) ||
        g_hash_table_contains(node->terminal_jobs, spec->id))
        return;
    known_job_t *job = g_new0(known_job_t, 1);
    job->spec = *spec;
    job->spec.types = g_strdupv(spec->types);
    job->revision = revision;
    g_hash_table_insert(node->jobs, job->spec.id, job);
    if (node->is_loaded && node->is_leader)
        leader_add_job(node->leader, spec, revision);
    node_notify_placement(node);
}

static void cache_terminal_job(node_t *node, const char *id)
{
    if (g_hash_table_contains(node->terminal_jobs, id))
        return;
    if (g_queue_get_length(node->terminal_job_order) >= TERMINAL_JOBS_COUNT)
        g_hash_table_remove(node->terminal_jobs, g_queue_pop_head(node->terminal_job_order));
    char *copy = g_strdup(id);
    g_hash_table_add(node->terminal_jobs, copy);
    g_queue_push_tail(node->terminal_job_order, copy);
}

void node_remove_job(node_t *node, const char *id)
{
    cache_terminal_job(node, id);
    if (node->partition)
        partition_end_job(node->partition, id);
    if (node->leader)
        leader_end_job(node->leader, id);
    job_counts_replica_remove(&node->job_counts, id);
    g_hash_table_remove(node->jobs, id);
    node_notify_dispatchers(node);
    node_notify_placement(node);
}

void node_record_terminal_state(node_t *node, const char *id, bool done)
{
    /* Noted for the siblings before another thread can find it, or this one can tell it. */
    if (!done) {
        cancellation_log_append(&node->cancellations, id, clock_steady());
        pthread_cond_broadcast(&node->cancellation);
    }
    if (g_hash_table_size(node->terminal_states) >= TERMINAL_STATE_CACHE_COUNT)
        g_hash_table_remove_all(node->terminal_states);
    g_hash_table_insert(node->terminal_states, g_strdup(id),
                        GINT_TO_POINTER(done ? TERMINAL_DONE : TERMINAL_CANCELLED));
    /* The change in jobs/ may never come here: in an outage that began just after the commit this
     * node alone went on running what it had cancelled. */
    if (!g_hash_table_contains(node->terminal_jobs, id))
        node_remove_job(node, id);
}
