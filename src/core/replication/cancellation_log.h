/** @file
 * Cancellations that this controller and its siblings have confirmed to users.
 *
 * A cancellation is *confirmed* to a user by any answer that says that the job is cancelled. From
 * then on no task of the job may run for longer than cancel_s. A worker's lease may therefore be
 * renewed only while this controller knows every cancellation that any controller has confirmed, so
 * that it can stop the tasks concerned. This module computes the time up to which that holds,
 * called "complete until" below (safety argument 14 of docs/design.md):
 *
 * - The watch of jobs/ yields times up to which every cancellation is known. In an outage of the
 *   key-value store it yields no new ones.
 * - If a sibling answers a heartbeat with everything that it has confirmed since such a time, this
 *   controller knows everything that the sibling confirmed before it answered. The views of the two
 *   do not matter. If all siblings do so, "complete until" advances to the earliest time at which
 *   they can have made these answers: the time at which the heartbeat was sent, plus the time for
 *   which the sibling delayed its answer. The jobs that the siblings name are stopped by command;
 *   otherwise they would run until their workers' leases expire.
 * - A lost or repeated answer does not advance it, and a late one advances it no further than to
 *   the time at which the answer can have been made. An answer after a gap (the sibling's process
 *   was restarted, or its log dropped entries that were not fetched in time) counts only after the
 *   watch has yielded a time after the gap.
 * - A controller appends an entry to its own log before it sends the answer that confirms the
 *   cancellation, regardless of what the answer is for: a first or repeated abort, an abort whose
 *   commit had no answer, a status read or a repeated submission.
 *
 * A log holds the cancellations that this controller has confirmed, in the order of their first
 * confirmation and numbered consecutively from 1. It also holds a replica of each sibling's log. A
 * replica records only how much of the sibling's log is known, not the jobs, because the caller
 * stops these. The caller holds the controller's lock; no input or output. All times are of this
 * controller's steady clock, in ms. Where a time is uncertain, the more conservative bound is used.
 */
#ifndef PEPPERPULLEY_CANCELLATION_LOG_H
#define PEPPERPULLEY_CANCELLATION_LOG_H

#include "core/membership/ownership.h"

/** A range of entries that one controller sends another from its log. */
typedef struct cancellation_update {
    uint64_t incarnation; /**< Incarnation of the controller that keeps the log. */
    uint64_t after_index; /**< The number of the entry before the range. */
    uint64_t last_index;  /**< The number of the range's last entry; after_index if it is empty. */
    bool is_complete;     /**< Whether the log had no later entries when the update was made. */
    msec_t complete_since_age_ms; /**< Age of the time since which the log has dropped no entry; at
                                       most the age of the process. */
    GPtrArray *jobs; /**< Job ids (char *), owned: the entries in order. NULL: the message has none.
                      */
} cancellation_update_t;

/** What this controller knows of one sibling's log. */
typedef struct cancellation_replica {
    uint64_t incarnation;  /**< Incarnation of the sibling whose log this describes; 0: the sibling
                              has not answered yet. */
    uint64_t last_index;   /**< All entries since complete_since up to this number are known. */
    msec_t complete_since; /**< Start of the period that is known without a gap. */
    msec_t complete_until; /**< End of that period: everything that the sibling confirmed between
                                complete_since and this time is known. */
} cancellation_replica_t;

/** The log of this controller, and the replicas of its siblings' logs. */
typedef struct cancellation_log {
    uint64_t incarnation;  /**< Incarnation of this controller. */
    GQueue *entries;       /**< Job ids (char *), owned; oldest first. */
    GHashTable *listed;    /**< Set of the same job ids (char *), borrowed from the entries. */
    uint64_t newest;       /**< Number of the newest entry; 0: none so far. */
    msec_t complete_since; /**< No entry confirmed since this time has been dropped. */
    cancellation_replica_t siblings[MEMBERS_MAX_COUNT]; /**< One for each sibling, in the order of
                                                             the settings. */
} cancellation_log_t;

/** Initializes the log of a controller that starts at @p now with this @p incarnation. */
void cancellation_log_init(cancellation_log_t *log, uint64_t incarnation, msec_t now);

/** Frees what @p log owns. */
void cancellation_log_clear(cancellation_log_t *log);

/** Appends @p job, whose cancellation is about to be confirmed to a user. Does nothing if the job
 * is listed already. Drops the oldest entry if the log is full. */
void cancellation_log_append(cancellation_log_t *log, const char *job, msec_t now);

/** Returns the update for a sibling that knows the log of @p incarnation up to @p last_index
 * (transfer full). It has at most CANCELLATION_UPDATE_COUNT entries: those after @p last_index, or
 * the oldest ones if the sibling knows the log of another incarnation. */
cancellation_update_t cancellation_log_update(const cancellation_log_t *log, uint64_t incarnation,
                                              uint64_t last_index, msec_t now);

/** Frees what @p update owns. A second call does nothing. */
void cancellation_update_clear(cancellation_update_t *update);

/** Applies the @p update that @p sibling made at @p made_at or later. The caller must have recorded
 * the update's jobs as cancelled before, so that they are stopped. @p sibling: index of the sibling
 * in the settings. */
void cancellation_log_apply(cancellation_log_t *log, guint sibling,
                            const cancellation_update_t *update, msec_t made_at, msec_t now);

/** Returns the time up to which every cancellation confirmed by any controller is known here.
 * @p siblings: number of all siblings in the settings, members of the view or not.
 * @p jobs_complete_until: the time up to which the watch of jobs/ is complete. */
msec_t cancellation_log_complete_until(const cancellation_log_t *log, guint siblings,
                                       msec_t jobs_complete_until);

#endif
