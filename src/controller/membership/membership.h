/* What a controller knows of the view: its number, leader and members, and its own place in it.
 * Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_MEMBERSHIP_H
#define PEPPERPULLEY_MEMBERSHIP_H

#include <pthread.h>

#include "controller/controller_type.h"
#include "core/membership/election.h"
#include "core/membership/redirection.h"

typedef struct membership {
    view_t view; /* the installed view */
    bool is_view_synced;
    msec_t views_complete_until; /* every view made before this moment is known here */
    uint64_t highest_view_seen;  /* the highest view number named by another controller */
    election_t election;
    bool is_leader;         /* of the installed view */
    msec_t leader_since_at; /* without a break, over however many views */
    guint own_index;        /* among the members; G_MAXUINT: not a member */
    guint leader_index;
    pthread_cond_t changed;     /* broadcast when view/ changes; the member loop waits for it */
    redirection_t *redirection; /* owned; workers of other owners that send heartbeats here */
} membership_t;

/* Installs a newer view; all data of the older one become void. Called with the lock held. */
void membership_install_view(controller_t *controller, const view_t *view);
/* Index of the machine's owner among the members of the view, which must have some. Called with the
 * lock held. */
guint membership_owner_index(const controller_t *controller, const char *machine, const char *zone);

#endif
