/* view/number in the key-value store: the number, the leader, the members. */
#ifndef PEPPERPULLEY_VIEW_H
#define PEPPERPULLEY_VIEW_H

#include "controller/controller.h"

json_t *view_build(const view_t *view);
bool view_parse(const json_t *value, uint64_t revision, view_t *view);
/* Sets view/number to next, if it still is as at `revision`, and adopts it. Lock not held. lease:
 * also takes view/lease, as at lease_revision, attached to this lease (0: leaves it). */
kv_result_t view_change(controller_t *controller, http_client_t *client, view_t *next,
                        uint64_t revision, uint64_t lease, uint64_t lease_revision);
/* Moves the fencing token on, leader and members as they are; false: try again or look again. */
bool view_advance_fencing_token(controller_t *controller, http_client_t *client);
/* Reads view/number and adopts it if it is newer. */
void view_refresh(controller_t *controller, http_client_t *client);

/* The loop that watches view/; data is the controller_t. Never returns. */
void *view_run(void *data);

#endif
