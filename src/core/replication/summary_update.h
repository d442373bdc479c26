/** @file
 * Machine summaries on their way from a partition to the leader, as changes.
 *
 * Most summaries of a partition are as they were a moment ago, apart from ages that grow with the
 * time. So the partition sends what differs from the version that the leader has acknowledged, and
 * the leader advances the ages of all others. If the leader does not have that version, for
 * whatever reason, the next update has all summaries. The caller holds the controller's lock; no
 * input or output. Times are of the own steady clock, in ms.
 */
#ifndef PEPPERPULLEY_SUMMARY_UPDATE_H
#define PEPPERPULLEY_SUMMARY_UPDATE_H

#include "core/leader/leader.h"

/** What a message carries. Owns its arrays. */
typedef struct summary_update {
    uint64_t base;         /**< The version that the update changes; 0: it has all summaries. */
    uint64_t version;      /**< The version that results. */
    GArray *summaries;     /**< machine_summary_t: those of machines that changed or are new. NULL:
                                the message has no update. */
    GPtrArray *terminated; /**< Ids (char *, owned) of the machines of the base that no longer
                                exist. */
} summary_update_t;

/** Frees what @p update owns. A second call does nothing. */
void summary_update_clear(summary_update_t *update);

/** All summaries of a partition at one moment. Owns them. */
typedef struct summary_version {
    uint64_t version;  /**< Its number; 0: there is none. */
    GArray *summaries; /**< machine_summary_t; NULL: there is none. */
    msec_t updated_at; /**< When the summaries were made or, at the leader, arrived. */
} summary_version_t;

/** The partition's side. */
typedef struct summary_sender {
    summary_version_t acknowledged; /**< What the leader has: the base of the next update. */
    summary_version_t sent;         /**< What was sent last and is not acknowledged. */
    uint64_t last_version;          /**< Number of the newest version. */
} summary_sender_t;

/** Forgets what the leader has: the next update has all summaries. */
void summary_sender_reset(summary_sender_t *sender);

/** Returns the next update (transfer full). @p current: array of machine_summary_t, all summaries
 * of the partition (transfer full). */
summary_update_t summary_sender_next(summary_sender_t *sender, GArray *current, msec_t now);

/** The leader has answered that it has @p version. */
void summary_sender_acknowledge(summary_sender_t *sender, uint64_t version);

/** The leader's side: the summaries of one partition, as the updates made them. */
typedef summary_version_t summary_replica_t;

/** Frees what @p replica owns; it has no version then. */
void summary_replica_clear(summary_replica_t *replica);

/** Applies @p update, which is only read. Returns false, with nothing changed, if it changes
 * another version than the replica's or is older than the replica. */
bool summary_replica_apply(summary_replica_t *replica, const summary_update_t *update, msec_t now);

#endif
