#include "core/cancelled.h"

void cancelled_init(cancelled_t *cancelled, uint64_t incarnation, msec_t now)
{
    *cancelled = (cancelled_t){.incarnation = incarnation, .base = now};
    cancelled->told = g_queue_new();
    cancelled->listed = g_hash_table_new(g_str_hash, g_str_equal);
}

void cancelled_clear(cancelled_t *cancelled)
{
    g_hash_table_unref(cancelled->listed);
    g_queue_free_full(cancelled->told, g_free);
}

void cancelled_tell(cancelled_t *cancelled, const char *job, msec_t now)
{
    if (g_hash_table_contains(cancelled->listed, job))
        return;
    if (g_queue_get_length(cancelled->told) >= CANCELLED_KEPT) {
        char *oldest = g_queue_pop_head(cancelled->told);
        g_hash_table_remove(cancelled->listed, oldest);
        g_free(oldest);
        cancelled->base = now; /* it was told before now */
    }
    char *id = g_strdup(job);
    g_queue_push_tail(cancelled->told, id);
    g_hash_table_add(cancelled->listed, id);
    cancelled->newest++;
}

notice_t cancelled_notice(const cancelled_t *cancelled, uint64_t incarnation, uint64_t through,
                          msec_t now)
{
    uint64_t dropped = cancelled->newest - g_queue_get_length(cancelled->told);
    bool known = incarnation == cancelled->incarnation && through <= cancelled->newest;
    notice_t notice = {.incarnation = cancelled->incarnation,
                       .after = known ? MAX(through, dropped) : dropped,
                       .base_age = now - cancelled->base,
                       .jobs = g_ptr_array_new_with_free_func(g_free)};
    notice.through = MIN(cancelled->newest, notice.after + NOTICE_JOBS);
    notice.whole = notice.through == cancelled->newest;
    for (const GList *at = g_queue_peek_nth_link(cancelled->told, (guint)(notice.after - dropped));
         at && notice.jobs->len < notice.through - notice.after; at = at->next)
        g_ptr_array_add(notice.jobs, g_strdup(at->data));
    return notice;
}

void notice_clear(notice_t *notice)
{
    g_clear_pointer(&notice->jobs, g_ptr_array_unref);
}

void cancelled_hear(cancelled_t *cancelled, guint sibling, const notice_t *notice, msec_t asked,
                    msec_t now)
{
    teller_t *teller = &cancelled->siblings[sibling];
    if (teller->incarnation != notice->incarnation || notice->after > teller->through) {
        /* What an earlier incarnation told, or what was dropped, was told before this moment, and
         * may be missing here. Clocks drift apart: the age is stretched towards now. */
        *teller = (teller_t){.incarnation = notice->incarnation};
        teller->base = now - notice->base_age + notice->base_age / CLOCK_DRIFT + 1;
    }
    teller->through = MAX(teller->through, notice->through);
    if (notice->whole)
        teller->until = MAX(teller->until, asked);
}

msec_t cancelled_known(const cancelled_t *cancelled, guint siblings, msec_t followed)
{
    msec_t known = 0;
    for (guint i = 0; i < siblings; i++) {
        const teller_t *teller = &cancelled->siblings[i];
        bool joined = teller->incarnation != 0 && teller->base <= followed;
        msec_t until = joined ? MAX(followed, teller->until) : followed;
        known = i == 0 ? until : MIN(known, until);
    }
    return siblings ? known : followed;
}
