/** @file
 * Which controller leads, and which members the next view has: what a controller decides from the
 * keys below view/ of the key-value store.
 *
 * The election holds what was last read of these keys. A process that restarts within a moment has
 * the name of the earlier process and nothing else in common with it, so processes are compared by
 * incarnation.
 *
 * Pure: no input, output or clock. The caller holds the lock that guards the election.
 */
#ifndef PEPPERPULLEY_ELECTION_H
#define PEPPERPULLEY_ELECTION_H

#include "core/membership/ownership.h"
#include "core/types.h"

/** A view, as view/number in the key-value store holds it. A value without owned memory. */
typedef struct view {
    uint64_t number;   /**< The view's number, which is the fencing token; 0: no view is known. */
    uint64_t revision; /**< The revision of view/number. */
    char leader[ID_BYTES];               /**< The leader's name. */
    uint64_t incarnation;                /**< The leader's incarnation. */
    member_t members[MEMBERS_MAX_COUNT]; /**< The live members, sorted by name. */
    guint count;                         /**< Entries used in members. */
} view_t;

/** What was last read of view/lease and view/members/, and the exclusions of members. */
typedef struct election {
    member_t self;             /**< This controller; does not change. */
    GHashTable *present;       /**< Name (char *, borrowed from the value) -> member_t *, owned: the
                                  members       that hold a live lease. */
    GHashTable *excluded;      /**< Leader only. Name (char *, owned) -> msec_t *, owned: the moment
                                  until      which the member owns no machines. */
    msec_t present_changed_at; /**< When `present` last changed. */
    uint64_t lease_revision;   /**< The revision of view/lease; 0: nobody leads. */
    char lease_holder[ID_BYTES]; /**< The name of the controller that holds view/lease. */
    uint64_t lease_incarnation;  /**< The incarnation of that controller. */
} election_t;

/** Makes an election in which no key was read yet. @p self is copied. */
void election_init(election_t *election, const member_t *self);

/** Forgets the keys, before all of them are read again. */
void election_clear(election_t *election);

/** Records that a member's key holds @p member (copied) at the moment @p now; NULL: the key is
 * gone.
 */
void election_record_member(election_t *election, const char *name, const member_t *member,
                            msec_t now);

/** Records that view/lease at @p revision names @p holder; NULL: the key is gone. Does nothing if a
 * newer revision was recorded. */
void election_record_lease(election_t *election, const char *holder, uint64_t incarnation,
                           uint64_t revision);

/** Returns whether this controller may try to lead: nobody holds the lease, or an earlier process
 * with this controller's name does, which is gone since the name is in use here. */
bool election_is_vacant(const election_t *election);

/** Returns whether a controller of another name holds the lease. */
bool election_is_taken(const election_t *election);

/** Fills in the members of the next view, sorted by name, with the exclusions that hold at @p now.
 * This controller is always among them. */
void election_fill_members(const election_t *election, view_t *view, msec_t now);

/** Returns whether both views have the same members: names, incarnations and exclusions. */
bool election_same_members(const view_t *left, const view_t *right);

/** Returns whether the leader of @p view may act outside the key-value store, which alone checks
 * the view's number. @p highest_view_seen: the highest view number that another controller named.
 * @p complete_until: every view made before this moment is known. */
bool election_may_act(const view_t *view, uint64_t highest_view_seen, msec_t complete_until,
                      msec_t now);

/** Returns whether the key of this controller's member is missing or names another incarnation. */
bool election_is_displaced(const election_t *election);

#endif
