/** @file
 * The exited attempts that the worker of one machine lists, and since when.
 *
 * The table belongs to the machine. Called with the controller's lock held.
 */
#ifndef PEPPERPULLEY_EXITED_ATTEMPTS_H
#define PEPPERPULLEY_EXITED_ATTEMPTS_H

#include "core/types.h"

/** One exited attempt. */
typedef struct exited_attempt {
    task_ref_t ref;     /**< The attempt, which is also the key in the table. */
    msec_t since_at;    /**< When a heartbeat first listed it as exited. */
    uint64_t listed_by; /**< Number of the last heartbeat that listed it. */
} exited_attempt_t;

/** Returns an empty table: task_ref_t to exited_attempt_t, which it owns (transfer full). */
GHashTable *exited_attempts_new(void);

/** Records an exited attempt that heartbeat number @p listed_by lists at @p now. */
void exited_attempts_record(GHashTable *exited, const reported_attempt_t *listed,
                            uint64_t listed_by, msec_t now);

/** Removes the attempts that the heartbeat with number @p listed_by does not list: the worker has
 * forgotten them. */
void exited_attempts_remove_unlisted(GHashTable *exited, uint64_t listed_by);

#endif
