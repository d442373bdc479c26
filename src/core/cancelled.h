/* Cancellations that users were told of, here and by the siblings.
 *
 * Owns: the list of those that this node told, in the order in which it told them first, and what
 * it has of each sibling's list. The caller holds the lock of the node; no input or output.
 *
 * A worker may be kept alive only as long as every cancellation that anybody was told of is known
 * here, so that its tasks can be stopped. Following jobs/ gives moments up to which that holds; in
 * an outage none come. But a sibling that answers with all it told since such a moment makes known
 * all that it told before it answered, whatever the view: where all siblings do, the moment moves
 * on to when they were asked, and what they named is stopped instead of dying with its lease. A
 * list that is lost, late or doubled moves nothing; one that has a gap (its teller began anew, or
 * dropped what was not fetched in time) counts only from a followed moment after the gap.
 *
 * Own entries are made before the answer can leave, by whatever road it was found: a first abort, a
 * repeated one, one whose commit went unanswered, a status, a repeated submission.
 *
 * All times are of this node's clock, in ms; where one is uncertain, the bound that proves less. */
#ifndef PEPPERPULLEY_CANCELLED_H
#define PEPPERPULLEY_CANCELLED_H

#include "core/owner.h"

/* What one node tells another: what it told users of after one number, up to another. */
typedef struct {
    uint64_t incarnation; /* of the teller */
    uint64_t after;
    uint64_t through;
    bool whole;      /* nothing else was told before this was put together */
    msec_t base_age; /* of the moment since when nothing was dropped; at most since its start */
    GPtrArray *jobs; /* ids, owned */
} notice_t;

typedef struct {
    uint64_t incarnation; /* of which the rest holds; 0: never heard */
    uint64_t through;     /* all it told from `base` on, up to this number, is here */
    msec_t base;
    msec_t until; /* all that it told from `base` to then is here */
} teller_t;

typedef struct {
    uint64_t incarnation;
    GQueue *told;       /* job ids, owned; oldest first */
    GHashTable *listed; /* those, borrowed */
    uint64_t newest;    /* number of the last; they are numbered from 1 without gaps */
    msec_t base;        /* nothing told since then was dropped */
    teller_t siblings[MEMBERS_MAX];
} cancelled_t;

void cancelled_init(cancelled_t *cancelled, uint64_t incarnation, msec_t now);
void cancelled_clear(cancelled_t *cancelled);
/* A user is about to be told. */
void cancelled_tell(cancelled_t *cancelled, const char *job, msec_t now);
/* For one that knows our list up to `through` of that incarnation. The notice is the caller's. */
notice_t cancelled_notice(const cancelled_t *cancelled, uint64_t incarnation, uint64_t through,
                          msec_t now);
void notice_clear(notice_t *notice);
/* A sibling was asked at `asked` and its answer is here. Its jobs are the caller's to stop. */
void cancelled_hear(cancelled_t *cancelled, guint sibling, const notice_t *notice, msec_t asked,
                    msec_t now);
/* The moment up to which every cancellation told anywhere is known, given that of the jobs
 * followed. siblings: all others that the settings name, in the view or not. */
msec_t cancelled_known(const cancelled_t *cancelled, guint siblings, msec_t followed);

#endif
