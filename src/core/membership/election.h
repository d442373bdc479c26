/* Who leads, and who is in the next view: what a controller decides from view/ in the key-value
 * store.
 *
 * Owns: what it has followed there. A process that is back within a moment has the name of the one
 * before and nothing else of it: everything goes by incarnation. */
#ifndef PEPPERPULLEY_ELECTION_H
#define PEPPERPULLEY_ELECTION_H

#include "core/membership/ownership.h"
#include "core/types.h"

/* The view as a controller last read it. */
typedef struct view {
    uint64_t number;   /* 0: none known */
    uint64_t revision; /* of view/number */
    char leader[ID_BYTES];
    uint64_t incarnation; /* of the leader */
    member_t members[MEMBERS_MAX_COUNT];
    guint count;
} view_t;

typedef struct election {
    member_t self;
    GHashTable *present;     /* name -> member_t, owned: who has a live lease */
    GHashTable *excluded;    /* leader: name -> msec_t *, owned: owns no machines until then */
    msec_t present_since;    /* last change of present */
    uint64_t lease_revision; /* of view/lease; 0: nobody leads */
    char lease_holder[ID_BYTES];
    uint64_t lease_incarnation;
} election_t;

void election_init(election_t *election, const member_t *self);
/* Everything is about to be read again. */
void election_clear(election_t *election);
/* A member's key as it now is; NULL: gone. */
void election_take_member(election_t *election, const char *name, const member_t *member,
                          msec_t now);
/* The lease as it now is, held by `holder` (NULL: by nobody). News older than what is known does
 * nothing. */
void election_take_lease(election_t *election, const char *holder, uint64_t incarnation,
                         uint64_t revision);
/* Whether we may try to lead: nobody does, or one whose process is gone, since we have its name. */
bool election_is_vacant(const election_t *election);
/* Whether someone else holds the lease. */
bool election_is_taken(const election_t *election);
/* Fills in the members of the next view; we ourselves always are. */
void election_members(const election_t *election, view_t *view, msec_t now);
bool election_same_members(const view_t *left, const view_t *right);
/* Whether the leader of the view may act for all outside the key-value store, where nothing checks
 * its number: `proof`: all views made before it are known; `superseded`: the highest number heard
 * of. */
bool election_may_act(const view_t *view, uint64_t highest_view_seen, msec_t complete_until,
                      msec_t now);
/* Our member's key is not ours. */
bool election_is_displaced(const election_t *election);

#endif
