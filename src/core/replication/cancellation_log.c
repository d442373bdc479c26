#include "core/replication/cancellation_log.h"

void cancellation_log_init(cancellation_log_t *log, uint64_t incarnation, msec_t now)
{
    *log = (cancellation_log_t){.incarnation = incarnation, .complete_since = now};
    log->entries = g_queue_new();
    log->listed = g_hash_table_new(g_str_hash, g_str_equal);
}

void cancellation_log_clear(cancellation_log_t *log)
{
    g_hash_table_unref(log->listed);
    g_queue_free_full(log->entries, g_free);
}

static void drop_oldest(cancellation_log_t *log, msec_t now)
{
    char *oldest = g_queue_pop_head(log->entries);
    g_hash_table_remove(log->listed, oldest);
    g_free(oldest);
    /* The dropped cancellation was confirmed before now; its exact time is not kept. */
    log->complete_since = now;
}

void cancellation_log_append(cancellation_log_t *log, const char *job, msec_t now)
{
    if (g_hash_table_contains(log->listed, job))
        return;
    if (g_queue_get_length(log->entries) >= CANCELLATION_LOG_COUNT)
        drop_oldest(log, now);
    char *id = g_strdup(job);
    g_queue_push_tail(log->entries, id);
    g_hash_table_add(log->listed, id);
    log->newest++;
}

/* Returns copies of up to `count` entries after the oldest `skip` ones: an array of strings that
 * owns them (transfer full). */
static GPtrArray *copy_entries(const cancellation_log_t *log, guint skip, guint count)
{
    GPtrArray *jobs = g_ptr_array_new_with_free_func(g_free);
    const GList *entry = g_queue_peek_nth_link(log->entries, skip);
    while (entry && jobs->len < count) {
        g_ptr_array_add(jobs, g_strdup(entry->data));
        entry = entry->next;
    }
    return jobs;
}

cancellation_update_t cancellation_log_update(const cancellation_log_t *log, uint64_t incarnation,
                                              uint64_t last_index, msec_t now)
{
    uint64_t dropped = log->newest - g_queue_get_length(log->entries);
    bool is_known = incarnation == log->incarnation && last_index <= log->newest;
    uint64_t after_index = is_known ? MAX(last_index, dropped) : dropped;
    uint64_t update_end = MIN(log->newest, after_index + CANCELLATION_UPDATE_COUNT);
    return (cancellation_update_t){
        .incarnation = log->incarnation,
        .after_index = after_index,
        .last_index = update_end,
        .is_complete = update_end == log->newest,
        .complete_since_age_ms = now - log->complete_since,
        .jobs =
            copy_entries(log, (guint)(after_index - dropped), (guint)(update_end - after_index)),
    };
}

void cancellation_update_clear(cancellation_update_t *update)
{
    g_clear_pointer(&update->jobs, g_ptr_array_unref);
}

/* Returns whether the log has entries before those of the update that the replica does not know. */
static bool has_gap(const cancellation_replica_t *replica, const cancellation_update_t *update)
{
    return replica->incarnation != update->incarnation || update->after_index > replica->last_index;
}

/* Restarts the replica after a gap. Entries that an earlier incarnation confirmed or that the log
 * has dropped were confirmed before complete_since and may be unknown here. Because clocks drift
 * apart, the age is shortened, so that complete_since is not too early. */
static void restart_replica(cancellation_replica_t *replica, const cancellation_update_t *update,
                            msec_t now)
{
    msec_t age_ms = update->complete_since_age_ms;
    *replica = (cancellation_replica_t){.incarnation = update->incarnation};
    replica->complete_since = now - age_ms + age_ms / CLOCK_DRIFT_DIVISOR + 1;
}

void cancellation_log_apply(cancellation_log_t *log, guint sibling,
                            const cancellation_update_t *update, msec_t made_at, msec_t now)
{
    cancellation_replica_t *replica = &log->siblings[sibling];
    if (has_gap(replica, update))
        restart_replica(replica, update, now);
    replica->last_index = MAX(replica->last_index, update->last_index);
    if (update->is_complete)
        replica->complete_until = MAX(replica->complete_until, made_at);
}

/* Returns the time up to which every cancellation that the sibling confirmed is known. The replica
 * counts only if there is no gap between the time up to which the watch of jobs/ is complete and
 * the start of the replica. */
static msec_t sibling_complete_until(const cancellation_replica_t *replica,
                                     msec_t jobs_complete_until)
{
    bool is_continuous =
        replica->incarnation != 0 && replica->complete_since <= jobs_complete_until;
    return is_continuous ? MAX(jobs_complete_until, replica->complete_until) : jobs_complete_until;
}

msec_t cancellation_log_complete_until(const cancellation_log_t *log, guint siblings,
                                       msec_t jobs_complete_until)
{
    if (siblings == 0)
        return jobs_complete_until;
    msec_t complete_until = G_MAXINT64;
    for (guint i = 0; i < siblings; i++) {
        const cancellation_replica_t *replica = &log->siblings[i];
        complete_until = MIN(complete_until, sibling_complete_until(replica, jobs_complete_until));
    }
    return complete_until;
}
