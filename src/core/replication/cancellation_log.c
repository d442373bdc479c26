#include "core/replication/cancellation_log.h"

void cancellation_log_init(cancellation_log_t *cancellations, uint64_t incarnation, msec_t now)
{
    *cancellations = (cancellation_log_t){.incarnation = incarnation, .complete_since = now};
    cancellations->entries = g_queue_new();
    cancellations->listed = g_hash_table_new(g_str_hash, g_str_equal);
}

void cancellation_log_clear(cancellation_log_t *cancellations)
{
    g_hash_table_unref(cancellations->listed);
    g_queue_free_full(cancellations->entries, g_free);
}

static void drop_oldest(cancellation_log_t *cancellations, msec_t now)
{
    char *oldest = g_queue_pop_head(cancellations->entries);
    g_hash_table_remove(cancellations->listed, oldest);
    g_free(oldest);
    /* It was confirmed at some moment before now. */
    cancellations->complete_since = now;
}

void cancellation_log_append(cancellation_log_t *cancellations, const char *job, msec_t now)
{
    if (g_hash_table_contains(cancellations->listed, job))
        return;
    if (g_queue_get_length(cancellations->entries) >= CANCELLATION_LOG_COUNT)
        drop_oldest(cancellations, now);
    char *id = g_strdup(job);
    g_queue_push_tail(cancellations->entries, id);
    g_hash_table_add(cancellations->listed, id);
    cancellations->newest++;
}

/* Copies of so many entries after the oldest `skip` ones. Array of strings that owns them; transfer
 * full. */
static GPtrArray *copy_entries(const cancellation_log_t *cancellations, guint skip, guint count)
{
    GPtrArray *jobs = g_ptr_array_new_with_free_func(g_free);
    const GList *entry = g_queue_peek_nth_link(cancellations->entries, skip);
    while (entry && jobs->len < count) {
        g_ptr_array_add(jobs, g_strdup(entry->data));
        entry = entry->next;
    }
    return jobs;
}

cancellation_update_t cancellation_log_update(const cancellation_log_t *cancellations,
                                              uint64_t incarnation, uint64_t last_index, msec_t now)
{
    uint64_t dropped = cancellations->newest - g_queue_get_length(cancellations->entries);
    bool is_known =
        incarnation == cancellations->incarnation && last_index <= cancellations->newest;
    uint64_t after_index = is_known ? MAX(last_index, dropped) : dropped;
    uint64_t update_end = MIN(cancellations->newest, after_index + CANCELLATION_UPDATE_COUNT);
    return (cancellation_update_t){
        .incarnation = cancellations->incarnation,
        .after_index = after_index,
        .last_index = update_end,
        .is_complete = update_end == cancellations->newest,
        .complete_since_age_ms = now - cancellations->complete_since,
        .jobs = copy_entries(cancellations, (guint)(after_index - dropped),
                             (guint)(update_end - after_index)),
    };
}

void cancellation_update_clear(cancellation_update_t *update)
{
    g_clear_pointer(&update->jobs, g_ptr_array_unref);
}

/* Whether entries that the replica does not have come before those of the update. */
static bool has_gap(const cancellation_replica_t *replica, const cancellation_update_t *update)
{
    return replica->incarnation != update->incarnation || update->after_index > replica->last_index;
}

/* Starts the replica anew after a gap. What an earlier incarnation confirmed, or what was dropped,
 * was confirmed before complete_since and may be missing here. Clocks drift apart: the age is
 * shortened, so that complete_since is not too early. */
static void restart_replica(cancellation_replica_t *replica, const cancellation_update_t *update,
                            msec_t now)
{
    msec_t age_ms = update->complete_since_age_ms;
    *replica = (cancellation_replica_t){.incarnation = update->incarnation};
    replica->complete_since = now - age_ms + age_ms / CLOCK_DRIFT_DIVISOR + 1;
}

void cancellation_log_apply(cancellation_log_t *cancellations, guint sibling,
                            const cancellation_update_t *update, msec_t made_at, msec_t now)
{
    cancellation_replica_t *replica = &cancellations->siblings[sibling];
    if (has_gap(replica, update))
        restart_replica(replica, update, now);
    replica->last_index = MAX(replica->last_index, update->last_index);
    if (update->is_complete)
        replica->complete_until = MAX(replica->complete_until, made_at);
}

/* The moment up to which every cancellation that the sibling confirmed is known: its replica counts
 * only if it continues what the watch of jobs/ has made known, without a gap between. */
static msec_t sibling_complete_until(const cancellation_replica_t *replica,
                                     msec_t jobs_complete_until)
{
    bool is_continuous =
        replica->incarnation != 0 && replica->complete_since <= jobs_complete_until;
    return is_continuous ? MAX(jobs_complete_until, replica->complete_until) : jobs_complete_until;
}

msec_t cancellation_log_complete_until(const cancellation_log_t *cancellations, guint siblings,
                                       msec_t jobs_complete_until)
{
    if (siblings == 0)
        return jobs_complete_until;
    msec_t complete_until = G_MAXINT64;
    for (guint i = 0; i < siblings; i++) {
        const cancellation_replica_t *replica = &cancellations->siblings[i];
        complete_until = MIN(complete_until, sibling_complete_until(replica, jobs_complete_until));
    }
    return complete_until;
}
