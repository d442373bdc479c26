/** @file
 * Cancellations that users were given as confirmed, by this controller and by its siblings.
 *
 * A cancellation is *confirmed* to a user by any answer that says that the job is cancelled. From
 * then on no task of the job may run for longer than cancel_s. A worker's lease may therefore be
 * renewed only as long as every cancellation that any controller has confirmed is known here, so
 * that the tasks concerned can be stopped. This module works out the moment up to which that holds
 * (safety argument 14 of docs/design.md):
 *
 * - The watch of jobs/ yields moments up to which every cancellation is known. In an outage of the
 *   key-value store it yields no new ones.
 * - A sibling that answers a heartbeat with everything it confirmed since such a moment makes known
 *   here everything that it confirmed before it answered, whatever the view. Where all siblings do
 *   so, the moment moves on to the earliest time at which they can have made these answers: when
 *   the heartbeat was sent, plus the time for which the answer was held back. The jobs that they
 *   name are stopped by command instead of running until their workers' leases end.
 * - An answer that is lost, late or repeated does not move the moment. An answer after a gap (the
 *   sibling's process was restarted, or its log dropped entries that were not fetched in time)
 *   counts only once the watch has yielded a moment after the gap.
 * - A controller's own entries are made before the answer that confirms them can leave, whatever
 *   it answers: a first abort, a repeated one, one whose commit had no answer, a status read or a
 *   repeated submission.
 *
 * A log holds the cancellations that this controller confirmed, in the order of their first
 * confirmation and numbered from 1 without gaps, and a replica of each sibling's log, of which only
 * the extent is kept: the caller stops the jobs. The caller holds the controller's lock; no input
 * or output. All times are of this controller's steady clock, in ms; an uncertain one is replaced
 * by the bound that proves less.
 */
#ifndef PEPPERPULLEY_CANCELLATION_LOG_H
#define PEPPERPULLEY_CANCELLATION_LOG_H

#include "core/membership/ownership.h"

/** What one controller sends another: the entries of its log after one number, up to another. */
typedef struct cancellation_update {
    uint64_t incarnation; /**< Incarnation of the controller that keeps the log. */
    uint64_t after_index; /**< The number before the first entry. */
    uint64_t last_index;  /**< The number of the last entry; after_index if there is none. */
    bool is_complete;     /**< Whether the log had no later entry when this update was made. */
    msec_t complete_since_age_ms; /**< Age of the moment since when the log has dropped no entry: at
                                       most since the start of the process. */
    GPtrArray *jobs; /**< Job ids (char *), owned: the entries in order. NULL: the message has none.
                      */
} cancellation_update_t;

/** What is known of one sibling's log. */
typedef struct cancellation_replica {
    uint64_t incarnation;  /**< Incarnation of the sibling to which the rest belongs; 0: it has not
                                answered yet. */
    uint64_t last_index;   /**< Every entry up to this number is known, from complete_since on. */
    msec_t complete_since; /**< The start of what is known without a gap. */
    msec_t complete_until; /**< Everything that the sibling confirmed from complete_since up to this
                                moment is known. */
} cancellation_replica_t;

/** The log of this controller and the replicas of its siblings' logs. */
typedef struct cancellation_log {
    uint64_t incarnation;  /**< Incarnation of this controller. */
    GQueue *entries;       /**< Job ids (char *), owned; oldest first. */
    GHashTable *listed;    /**< Set of the same job ids (char *), borrowed from the entries. */
    uint64_t newest;       /**< Number of the newest entry; 0: none so far. */
    msec_t complete_since; /**< Nothing that was confirmed since then has been dropped. */
    cancellation_replica_t siblings[MEMBERS_MAX_COUNT]; /**< One for each sibling, in the order of
                                                             the settings. */
} cancellation_log_t;

/** Initializes @p cancellations for a controller of this @p incarnation that starts now. */
void cancellation_log_init(cancellation_log_t *cancellations, uint64_t incarnation, msec_t now);

/** Frees what @p cancellations owns. */
void cancellation_log_clear(cancellation_log_t *cancellations);

/** Records that a user is about to receive the confirmation that @p job is cancelled. Does nothing
 * if the job is listed already. Drops the oldest entry if the log is full. */
void cancellation_log_append(cancellation_log_t *cancellations, const char *job, msec_t now);

/** Returns the update for a sibling that has the log of @p incarnation up to @p last_index
 * (transfer full): at most CANCELLATION_UPDATE_COUNT entries after that, or the oldest ones if the
 * sibling has another incarnation's log. */
cancellation_update_t cancellation_log_update(const cancellation_log_t *cancellations,
                                              uint64_t incarnation, uint64_t last_index,
                                              msec_t now);

/** Frees what @p update owns. A second call does nothing. */
void cancellation_update_clear(cancellation_update_t *update);

/** Applies the @p update that @p sibling made at @p made_at or later, and whose jobs the caller has
 * recorded as cancelled, so that they are stopped. */
void cancellation_log_apply(cancellation_log_t *cancellations, guint sibling,
                            const cancellation_update_t *update, msec_t made_at, msec_t now);

/** Returns the moment up to which every cancellation that any controller confirmed is known here.
 * @p siblings: number of all siblings in the settings, members of the view or not.
 * @p jobs_complete_until: the moment up to which the watch of jobs/ is complete. */
msec_t cancellation_log_complete_until(const cancellation_log_t *cancellations, guint siblings,
                                       msec_t jobs_complete_until);

#endif
