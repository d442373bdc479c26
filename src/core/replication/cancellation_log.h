/* Cancellations that users were told of, here and by the siblings.
 *
 * Owns: the list of those that this controller told, in the order in which it told them first, and
 * what it has of each sibling's list. The caller holds the lock of the controller; no input or
 * output.
 *
 * A worker may be kept alive only as long as every cancellation that anybody was told of is known
 * here, so that its tasks can be stopped. Following jobs/ gives moments up to which that holds; in
 * an outage none come. But a sibling that answers with all it told since such a moment makes known
 * all that it told before it answered, whatever the view: where all siblings do, the moment moves
 * on to when they were asked, and what they named is stopped instead of dying with its lease. A
 * list that is lost, late or doubled moves nothing; one that has a gap (its replica began anew, or
 * dropped what was not fetched in time) counts only from a followed moment after the gap.
 *
 * Own entries are made before the answer can leave, by whatever road it was found: a first abort, a
 * repeated one, one whose commit went unanswered, a status, a repeated submission.
 *
 * All times are of this controller's clock, in ms; where one is uncertain, the bound that proves
 * less. */
#ifndef PEPPERPULLEY_CANCELLATION_LOG_H
#define PEPPERPULLEY_CANCELLATION_LOG_H

#include "core/membership/ownership.h"

/* What one controller tells another: what it told users of after one number, up to another. */
typedef struct cancellation_update {
    uint64_t incarnation; /* of the controller that keeps the log */
    uint64_t after_index;
    uint64_t last_index;
    bool is_complete;             /* nothing else was told before this was put together */
    msec_t complete_since_age_ms; /* of the moment since when nothing was dropped; at most since its
                                     start */
    GPtrArray *jobs;              /* ids, owned */
} cancellation_update_t;

typedef struct cancellation_replica {
    uint64_t incarnation; /* of which the rest holds; 0: never heard */
    uint64_t last_index;  /* all it told from `base` on, up to this number, is here */
    msec_t complete_since;
    msec_t complete_until; /* all that it told from `base` to then is here */
} cancellation_replica_t;

typedef struct cancellation_log {
    uint64_t incarnation;
    GQueue *entries;       /* job ids, owned; oldest first */
    GHashTable *listed;    /* those, borrowed */
    uint64_t newest;       /* number of the last; they are numbered from 1 without gaps */
    msec_t complete_since; /* nothing told since then was dropped */
    cancellation_replica_t siblings[MEMBERS_MAX_COUNT];
} cancellation_log_t;

void cancellation_log_init(cancellation_log_t *cancellations, uint64_t incarnation, msec_t now);
void cancellation_log_clear(cancellation_log_t *cancellations);
/* A user is about to be told. */
void cancellation_log_append(cancellation_log_t *cancellations, const char *job, msec_t now);
/* For one that knows our list up to `last_index` of that incarnation. The update is the caller's.
 */
cancellation_update_t cancellation_log_update(const cancellation_log_t *cancellations,
                                              uint64_t incarnation, uint64_t last_index,
                                              msec_t now);
void cancellation_update_clear(cancellation_update_t *update);
/* A sibling was asked at `asked` and its answer is here. Its jobs are the caller's to stop. */
void cancellation_log_apply(cancellation_log_t *cancellations, guint sibling,
                            const cancellation_update_t *update, msec_t asked, msec_t now);
/* The moment up to which every cancellation told anywhere is known, given that of the jobs
 * followed. siblings: all others that the settings name, in the view or not. */
msec_t cancellation_log_complete_until(const cancellation_log_t *cancellations, guint siblings,
                                       msec_t jobs_complete_until);

#endif
