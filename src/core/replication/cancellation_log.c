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

void cancellation_log_append(cancellation_log_t *cancellations, const char *job, msec_t now)
{
    if (g_hash_table_contains(cancellations->listed, job))
        return;
    if (g_queue_get_length(cancellations->entries) >= CANCELLATION_LOG_COUNT) {
        char *oldest = g_queue_pop_head(cancellations->entries);
        g_hash_table_remove(cancellations->listed, oldest);
        g_free(oldest);
        cancellations->complete_since = now; /* it was told before now */
    }
    char *id = g_strdup(job);
    g_queue_push_tail(cancellations->entries, id);
    g_hash_table_add(cancellations->listed, id);
    cancellations->newest++;
}

cancellation_update_t cancellation_log_update(const cancellation_log_t *cancellations,
                                              uint64_t incarnation, uint64_t last_index, msec_t now)
{
    uint64_t dropped = cancellations->newest - g_queue_get_length(cancellations->entries);
    bool known = incarnation == cancellations->incarnation && last_index <= cancellations->newest;
    cancellation_update_t update = {.incarnation = cancellations->incarnation,
                                    .after_index = known ? MAX(last_index, dropped) : dropped,
                                    .complete_since_age_ms = now - cancellations->complete_since,
                                    .jobs = g_ptr_array_new_with_free_func(g_free)};
    update.last_index = MIN(cancellations->newest, update.after_index + CANCELLATION_UPDATE_COUNT);
    update.is_complete = update.last_index == cancellations->newest;
    for (const GList *at =
             g_queue_peek_nth_link(cancellations->entries, (guint)(update.after_index - dropped));
         at && update.jobs->len < update.last_index - update.after_index; at = at->next)
        g_ptr_array_add(update.jobs, g_strdup(at->data));
    return update;
}

void cancellation_update_clear(cancellation_update_t *update)
{
    g_clear_pointer(&update->jobs, g_ptr_array_unref);
}

void cancellation_log_apply(cancellation_log_t *cancellations, guint sibling,
                            const cancellation_update_t *update, msec_t asked, msec_t now)
{
    cancellation_replica_t *replica = &cancellations->siblings[sibling];
    if (replica->incarnation != update->incarnation || update->after_index > replica->last_index) {
        /* What an earlier incarnation told, or what was dropped, was told before this moment, and
         * may be missing here. Clocks drift apart: the age is stretched towards now. */
        *replica = (cancellation_replica_t){.incarnation = update->incarnation};
        replica->complete_since = now - update->complete_since_age_ms +
                                  update->complete_since_age_ms / CLOCK_DRIFT_DIVISOR + 1;
    }
    replica->last_index = MAX(replica->last_index, update->last_index);
    if (update->is_complete)
        replica->complete_until = MAX(replica->complete_until, asked);
}

msec_t cancellation_log_complete_until(const cancellation_log_t *cancellations, guint siblings,
                                       msec_t jobs_complete_until)
{
    msec_t known = 0;
    for (guint i = 0; i < siblings; i++) {
        const cancellation_replica_t *replica = &cancellations->siblings[i];
        bool joined = replica->incarnation != 0 && replica->complete_since <= jobs_complete_until;
        msec_t until =
            joined ? MAX(jobs_complete_until, replica->complete_until) : jobs_complete_until;
        known = i == 0 ? until : MIN(known, until);
    }
    return siblings ? known : jobs_complete_until;
}
