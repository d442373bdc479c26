/** @file
 * What a controller knows about the view: its number, leader and members, and the controller's own
 * place in it.
 */
#ifndef PEPPERPULLEY_MEMBERSHIP_H
#define PEPPERPULLEY_MEMBERSHIP_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "core/membership/election.h"
#include "core/membership/redirection.h"

/** The state of the membership. Guarded by the controller's lock. Times are in ms of this
 * controller's steady clock. */
typedef struct membership {
    view_t view;         /**< The installed view. */
    bool is_view_synced; /**< Whether all keys below view/ have been read and are watched. */
    msec_t views_complete_until; /**< Every view that was made before this time is known here. */
    uint64_t highest_view_seen;  /**< The highest view number that another controller reported. */
    election_t election;         /**< The keys last read from view/, and the excluded members. */
    bool is_leader;              /**< Whether this controller leads the installed view. */
    msec_t leader_since_at; /**< When the leader's uninterrupted leadership began, which may span
                               several views. Valid only while this controller leads. */
    guint own_index;    /**< This controller's index in the view's members, or G_MAXUINT if it is
                           not a member. */
    guint leader_index; /**< The leader's index in the view's members. */
    pthread_cond_t changed; /**< Broadcast when a key below view/, the installed view or the set of
                               excluded members changes. The member loop waits for it. */
    redirection_t *redirection; /**< Workers that send heartbeats here though another member owns
                               their machines; owned. */
} membership_t;

/** Installs a view if it is newer than the installed one. Replaces the channels and marks the
 * records of the older view as not loaded. Wakes the placement loop, the member loop, the peer
 * client, and the peer connections that hold an answer back. Called with the lock held. */
void membership_install_view(controller_t *controller, const view_t *view);

/** Returns the index of the machine's owner among the members of the view. The view must have
 * at least one member. Called with the lock held. */
guint membership_owner_index(const controller_t *controller, const char *machine, const char *zone);

#endif
