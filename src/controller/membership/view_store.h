/** @file
 * Reads and changes the view in the key-value store.
 *
 * The key view/number holds the view: its number, which is the fencing token, its leader and its
 * members. The key view/lease names the leader and is attached to the leader's lease. Each key
 * view/members/NAME is attached to the lease of the controller with that name. Every change of
 * the view is conditional on the revision of view/number, so it fails if the key-value store
 * executes it late, after a newer one.
 *
 * The calling thread must not hold the controller's lock, and passes an HTTP client of its own.
 */
#ifndef PEPPERPULLEY_VIEW_STORE_H
#define PEPPERPULLEY_VIEW_STORE_H

#include "controller/controller.h"

/** Sets view/number to @p next if the key still has @p revision, and installs the view with its new
 * revision, which is also stored in @p next. Returns the result of the transaction. On any result
 * other than KV_OK and KV_NOT_EXECUTED, reads view/number and installs what it holds: the view
 * that another change made or, if only the answer was lost, this one.
 *
 * If @p lease is not 0, the same transaction also takes view/lease and attaches it to @p lease, a
 * lease id of the key-value store. That requires view/lease to have @p lease_revision still, or not
 * to exist if @p lease_revision is 0. If @p lease is 0, view/lease stays as it is. */
kv_result_t view_change(controller_t *controller, http_client_t *client, view_t *next,
                        uint64_t revision, uint64_t lease, uint64_t lease_revision);

/** Installs a view with the next number and the same leader and members. All its fencing tokens are
 * higher than those of the views before. Returns whether the installed view has a higher number
 * than before. If not, the caller may try again. */
bool view_advance_number(controller_t *controller, http_client_t *client);

/** Reads view/number and installs the view if it is newer. */
void view_refresh(controller_t *controller, http_client_t *client);

#endif
