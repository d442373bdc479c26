/* Guests: workers that report to this node, which does not own them.
 *
 * Owns: what each of them said last, and which of an owner's workers was sent to try it. A guest is
 * sent to its owner; one that comes right back can't reach it and is kept alive here, without
 * starts, until a new try. A worker that comes when the owners have stood for a while had one and
 * lost it: of those one is sent as a scout, and the others are kept until it is back or has stayed
 * away. Each of them would try every controller for 5 s, and lose its lease on the way. The leader
 * is told of those kept, so that it does not take them for dead. */
#ifndef PEPPERPULLEY_GUEST_H
#define PEPPERPULLEY_GUEST_H

#include "core/types.h"

typedef struct guests guests_t;

typedef enum {
    GUEST_HOME,    /* to be sent to its owner */
    GUEST_KEPT,    /* to be answered */
    GUEST_OLD,     /* a copy of what came before: nothing follows from it */
    GUEST_UNPROVEN /* written before these owners were known there, so perhaps a late copy: to be
                      answered, which brings its worker the token, but nothing follows from it */
} guest_verdict_t;

guests_t *guests_new(void);
void guests_free(guests_t *guests);
/* The owners changed: everybody is sent home anew, but to owners that could not be reached of late.
 * token: of the view that changed them; reports below it were written before. */
void guests_clear(guests_t *guests, uint64_t token, msec_t now);
/* owner: the controller it belongs to, by name and incarnation. */
guest_verdict_t guests_report(guests_t *guests, const report_t *report, const char *owner,
                              msec_t now);
/* Stops for all that the report lists of jobs that are not among the live ones (keys: ids). calls:
 * array of call_t to append to. */
void guests_stop_gone(const report_t *report, GHashTable *live_jobs, GArray *calls);
/* Machines kept here that showed of late that our answers reach them: a worker's reports alone,
 * late copies among them, are no sign that it lives. Array of strings, owned by the array. Forgets
 * those long gone. */
GPtrArray *guests_kept(guests_t *guests, msec_t now);

#endif
