/** @file
 * Iterates over the leader's machine summaries of all partitions.
 *
 * The controller's lock must be held, and the summaries must not be replaced, during the whole
 * iteration.
 */
#ifndef PEPPERPULLEY_MACHINE_SUMMARY_ITER_H
#define PEPPERPULLEY_MACHINE_SUMMARY_ITER_H

#include "core/leader/leader.h"

/** The position of an iteration; initialize it with `{.leader = leader}`. */
typedef struct machine_summary_iter {
    const leader_t *leader; /**< The leader whose summaries are read; transfer none. */
    guint partition;        /**< Index of the partition of the summary that was returned last. */
    guint next;             /**< Index within that partition of the summary to return next. */
} machine_summary_iter_t;

/** Returns the next summary, or NULL if none is left; transfer none. The order is that of the
 * partitions and, within a partition, that in which it sent its summaries. */
static inline machine_summary_t *machine_summary_iter_next(machine_summary_iter_t *iter)
{
    for (; iter->partition < iter->leader->summaries->len; iter->partition++) {
        /* Array of machine_summary_t, owned by the leader; NULL if none were received yet. */
        GArray *summaries = g_ptr_array_index(iter->leader->summaries, iter->partition);
        if (summaries && iter->next < summaries->len)
            return &g_array_index(summaries, machine_summary_t, iter->next++);
        iter->next = 0;
    }
    return NULL;
}

#endif
