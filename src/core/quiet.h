/* What a node knows about aborts while the state service can't be asked.
 *
 * A worker may be kept alive only for so long after the last moment at which every abort accepted
 * anywhere was known here. Following jobs/ gives such moments; in an outage none come. But a
 * controller that says "I have accepted no abort since A" speaks for all of its time up to saying
 * so: where all siblings say that of a time before our last moment, the moment moves on to when
 * they said it. One that can't be heard, or started since, says nothing, and the moment stays.
 *
 * All times are of this node's clock, in ms; where one is uncertain, the bound that proves less. */
#ifndef PEPPERPULLEY_QUIET_H
#define PEPPERPULLEY_QUIET_H

#include "core/owner.h"

typedef struct {
    msec_t own_abort;           /* we accepted one; or our start */
    msec_t aborts[MEMBERS_MAX]; /* no later than this, the member's newest */
    msec_t said[MEMBERS_MAX];   /* no earlier than this, when it said so; 0: not heard */
    msec_t told_abort;          /* a part: the same of all others, as the leader told */
    msec_t told_until;          /* 0: not told */
} quiet_t;

/* A new view: what others said is void. */
void quiet_reset(quiet_t *quiet);
/* The leader heard a member: composed after `echo`, received at `now`. */
void quiet_hear(quiet_t *quiet, guint member, msec_t abort_age, msec_t echo, msec_t now);
/* What the leader can tell: the newest abort of all, and the moment up to which that holds; false:
 * some member of `count` was not heard. */
bool quiet_sum(const quiet_t *quiet, guint own, guint count, msec_t now, msec_t *abort,
               msec_t *until);
/* A part was told: it asked at `asked` and is answered at `now`. */
void quiet_told(quiet_t *quiet, msec_t abort_age, msec_t quiet_age, msec_t asked, msec_t now);
/* The moment up to which every abort is known, given that of the jobs followed. `whole`: every
 * controller of the settings is a member of the view. */
msec_t quiet_proof(const quiet_t *quiet, msec_t followed, bool leading, guint own, guint count,
                   bool whole, msec_t now);

#endif
