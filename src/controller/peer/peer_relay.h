/* The exchange by relay: messages as values in the key-value store, where sockets fail. */
#ifndef PEPPERPULLEY_PEER_RELAY_H
#define PEPPERPULLEY_PEER_RELAY_H

#include "controller/controller.h"

/* The leader's loop; data is the controller_t. Never returns. */
void *peer_relay_run(void *data);
/* The partition's side: writes a message to the leader and handles the one that lies there in
 * return. */
void peer_relay_exchange(controller_t *controller, http_client_t *client, const GByteArray *frame);

#endif
