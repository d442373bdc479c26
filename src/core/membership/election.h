/** @file
 * Leader election and the members of the next view, as a controller decides them from the keys
 * below view/ of the key-value store.
 *
 * The election holds what was last read of these keys. A controller that restarts keeps its name
 * but none of the state of its earlier process, so processes are compared by incarnation.
 *
 * Pure: no input, output or clock. The caller holds the lock that guards the election.
 */
#ifndef PEPPERPULLEY_ELECTION_H
#define PEPPERPULLEY_ELECTION_H

#include "core/membership/ownership.h"
#include "core/types.h"

/** A view, as view/number in the key-value store holds it. A value without owned memory. */
typedef struct view {
    uint64_t number; /**< The view's number, also used as the fencing token; 0: no view is known. */
    uint64_t revision;                   /**< The revision of the key view/number. */
    char leader[ID_BYTES];               /**< The leader's name. */
    uint64_t incarnation;                /**< The leader's incarnation. */
    member_t members[MEMBERS_MAX_COUNT]; /**< The live members, sorted by name. */
    guint count;                         /**< Entries used in members. */
} view_t;

/** The values last read from view/lease and view/members/, and the exclusions of members. */
typedef struct election {
    member_t self;            /**< This controller; does not change. */
    GHashTable *live_members; /**< Name (char *, borrowed from the value) -> member_t *, owned: the
                                 members that hold a live lease. */
    GHashTable *excluded; /**< Leader only. Name (char *, owned) -> msec_t *, owned: the time until
                             which the member owns no machines. */
    msec_t live_members_changed_at; /**< When live_members last changed. */
    uint64_t lease_revision;        /**< The revision of view/lease; 0: no controller holds it. */
    char lease_holder[ID_BYTES];    /**< The name of the controller that holds view/lease. */
    uint64_t lease_incarnation;     /**< The incarnation of that controller. */
} election_t;

/** Initializes an election for which no key has been read yet. @p self is copied. */
void election_init(election_t *election, const member_t *self);

/** Discards the recorded members and the lease, before all keys are read again. Keeps the
 * exclusions. */
void election_clear(election_t *election);

/** Records at @p now that the key of the member @p name holds @p member (copied), or that the key
 * was deleted if @p member is NULL. */
void election_record_member(election_t *election, const char *name, const member_t *member,
                            msec_t now);

/** Records that view/lease at @p revision names @p holder, or that the key was deleted if @p holder
 * is NULL. Does nothing if a newer revision has been recorded. */
void election_record_lease(election_t *election, const char *holder, uint64_t incarnation,
                           uint64_t revision);

/** Returns whether this controller may try to become the leader: no controller holds the lease, or
 * an earlier process of this controller does. That process no longer exists, because this one has
 * its name. */
bool election_lease_is_vacant(const election_t *election);

/** Returns whether the lease is held under the name of another controller. */
bool election_lease_is_taken(const election_t *election);

/** Fills in the members of the next view, sorted by name, with the exclusions in effect at @p now.
 * This controller is always one of them. */
void election_fill_members(const election_t *election, view_t *view, msec_t now);

/** Returns whether both views have the same members: names, incarnations and exclusions. */
bool election_same_members(const view_t *left, const view_t *right);

/** Returns whether the leader of @p view may take actions outside the key-value store. Only the
 * key-value store checks the view's number, so for other actions the leader itself must have recent
 * evidence that no newer view exists. @p highest_view_seen: the highest view number received from
 * another controller. @p complete_until: every view made before this time is known here. */
bool election_may_act(const view_t *view, uint64_t highest_view_seen, msec_t complete_until,
                      msec_t now);

/** Returns whether this controller's member key is missing or names another incarnation. */
bool election_has_lost_member_key(const election_t *election);

#endif
