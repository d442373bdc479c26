/** @file
 * What a controller knows of the view: its number, leader and members, and its own place in it.
 */
#ifndef PEPPERPULLEY_MEMBERSHIP_H
#define PEPPERPULLEY_MEMBERSHIP_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "core/membership/election.h"
#include "core/membership/redirection.h"

/** The membership's state. Guarded by the controller's lock. Times are of the steady clock, in ms.
 */
typedef struct membership {
    view_t view;                 /**< The installed view. */
    bool is_view_synced;         /**< view/ was read whole and is watched. */
    msec_t views_complete_until; /**< Every view made before this moment is known. */
    uint64_t highest_view_seen;  /**< The highest view number that another controller named. */
    election_t election;         /**< The candidates and the lease, as view/ has them. */
    bool is_leader;              /**< This controller leads the installed view. */
    msec_t leader_since_at; /**< Leader only: since when it has led without interruption, over any
                               number of views. */
    guint own_index;        /**< This controller's index in the view's members; G_MAXUINT: it is not
                               a member. */
    guint leader_index;     /**< The leader's index in the view's members. */
    pthread_cond_t changed; /**< Broadcast when a key below view/, the installed view or the
                               excluded members change; the member loop waits for it. */
    redirection_t *redirection; /**< Workers of other owners that send heartbeats here; owned. */
} membership_t;

/** Installs a view if it is newer than the installed one: the channels are replaced, and the data
 * loaded for the older view count as not loaded. Wakes the placement loop, the member loop and the
 * peer client. Called with the lock held. */
void membership_install_view(controller_t *controller, const view_t *view);

/** Returns the index of the machine's owner among the members of the view, of which there must be
 * at least one. Called with the lock held. */
guint membership_owner_index(const controller_t *controller, const char *machine, const char *zone);

#endif
