/** @file
 * Reads and changes the view in the key-value store.
 *
 * view/number holds the view: its number, which is the fencing token, its leader and its members.
 * view/lease is attached to the leader's lease, view/members/NAME to each controller's own lease.
 * Every change is conditional on the revision of view/number, so that a change which is carried out
 * late, after a newer one, fails.
 *
 * The calling thread must not hold the controller's lock, and brings its own client.
 */
#ifndef PEPPERPULLEY_VIEW_STORE_H
#define PEPPERPULLEY_VIEW_STORE_H

#include "controller/controller.h"

/** Sets view/number to @p next if it still has @p revision, and installs the view. On any other
 * result but KV_NOT_EXECUTED it reads the view, which then is another controller's, or this one if
 * the answer was lost.
 *
 * @p next gets the new revision. @p lease: also takes view/lease, if that still has
 * @p lease_revision (0: does not exist), and attaches it to this lease of the key-value store; 0:
 * leaves view/lease as it is. */
kv_result_t view_change(controller_t *controller, http_client_t *client, view_t *next,
                        uint64_t revision, uint64_t lease, uint64_t lease_revision);

/** Increments the fencing token; leader and members stay. Returns whether the installed view now
 * has a higher number than before; false: try again. */
bool view_advance_fencing_token(controller_t *controller, http_client_t *client);

/** Reads view/number and installs the view if it is newer. */
void view_refresh(controller_t *controller, http_client_t *client);

#endif
