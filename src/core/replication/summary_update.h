/** @file
 * Incremental updates of machine summaries, which a partition sends to the leader.
 *
 * Most summaries of a partition do not change between two updates, apart from ages that grow with
 * time. The partition therefore sends only the differences from the version that the leader has
 * acknowledged, and the leader advances the ages in all other summaries. If the leader does not
 * have that version, for whatever reason, the next update has all summaries. The caller holds the
 * controller's lock; no input or output. Times are of the calling controller's steady clock, in ms.
 */
#ifndef PEPPERPULLEY_SUMMARY_UPDATE_H
#define PEPPERPULLEY_SUMMARY_UPDATE_H

#include "core/leader/leader.h"

/** The update that a message carries. Owns its arrays. */
typedef struct summary_update {
    uint64_t base;     /**< Version to which the update applies; 0: the update has all summaries. */
    uint64_t version;  /**< Version that results from the update. */
    GArray *summaries; /**< machine_summary_t: the summaries that are new or have changed. NULL: the
                            message has no update. */
    GPtrArray *terminated; /**< Ids (char *, owned) of the machines of the base version that no
                                longer exist. */
} summary_update_t;

/** Frees what @p update owns. A second call does nothing. */
void summary_update_clear(summary_update_t *update);

/** All summaries of a partition at one time. Owns them. */
typedef struct summary_version {
    uint64_t version;  /**< Number of the version; 0: no version. */
    GArray *summaries; /**< machine_summary_t; NULL: no version. */
    msec_t updated_at; /**< When the summaries were created or, at the leader, received. */
} summary_version_t;

/** The state of the sender, which is the partition. */
typedef struct summary_sender {
    summary_version_t acknowledged; /**< Version that the leader has; base of the next update. */
    summary_version_t sent;         /**< The version sent last, which is not acknowledged yet. */
    uint64_t last_version;          /**< Number of the newest version. */
} summary_sender_t;

/** Discards what is known of the leader's version, so that the next update has all summaries. */
void summary_sender_reset(summary_sender_t *sender);

/** Returns the next update (transfer full). @p current: array of machine_summary_t, all summaries
 * of the partition (transfer full). */
summary_update_t summary_sender_next(summary_sender_t *sender, GArray *current, msec_t now);

/** Handles the leader's answer that it has @p version. If that is neither the version sent last nor
 * the one acknowledged before, the next update has all summaries. */
void summary_sender_acknowledge(summary_sender_t *sender, uint64_t version);

/** The state of the receiver, which is the leader: the summaries of one partition. */
typedef summary_version_t summary_replica_t;

/** Frees what @p replica owns, and leaves it without a version. */
void summary_replica_clear(summary_replica_t *replica);

/** Applies @p update, which is only read. Returns false and changes nothing if the update applies
 * to another version than the replica's or is not newer than the replica. */
bool summary_replica_apply(summary_replica_t *replica, const summary_update_t *update, msec_t now);

#endif
