/** @file
 * Iterates over the machine summaries of all partitions, as the leader holds them.
 *
 * Called with the lock of the controller held; the summaries must not be replaced meanwhile.
 */
#ifndef PEPPERPULLEY_MACHINE_SUMMARY_ITER_H
#define PEPPERPULLEY_MACHINE_SUMMARY_ITER_H

#include "core/leader/leader.h"

/** The position of an iteration. Begins as `{.leader = leader}`. */
typedef struct machine_summary_iter {
    const leader_t *leader; /**< Whose summaries are read; transfer none. */
    guint partition;        /**< The partition of the summary that was returned last. */
    guint next;             /**< The index in that partition of the summary to return next. */
} machine_summary_iter_t;

/** Returns the next summary, partition by partition in the order in which they were handed in;
 * NULL: there is none left. Transfer none. */
static inline machine_summary_t *machine_summary_iter_next(machine_summary_iter_t *iter)
{
    for (; iter->partition < iter->leader->summaries->len; iter->partition++) {
        /* Array of machine_summary_t, owned by the leader; NULL: none were handed in yet. */
        GArray *summaries = g_ptr_array_index(iter->leader->summaries, iter->partition);
        if (summaries && iter->next < summaries->len)
            return &g_array_index(summaries, machine_summary_t, iter->next++);
        iter->next = 0;
    }
    return NULL;
}

#endif
