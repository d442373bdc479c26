/* What both ends of the exchange between controllers share: peer_client.c, peer_server.c,
 * peer_relay.c, heartbeat.c. */
#ifndef PEPPERPULLEY_PEER_EXCHANGE_H
#define PEPPERPULLEY_PEER_EXCHANGE_H

#include "controller/controller.h"
#include "io/peer_protocol.h"
#include "io/peer_socket.h"

/* With the lock held: what every message of this controller begins with. peer_message_clear it. */
peer_message_t peer_exchange_message(const controller_t *controller);
/* With the lock held: one message of the exchange, encoded; the caller's. channel: whose batch goes
 * with it; NULL: none. summaries: taken over; NULL: none are told. */
GByteArray *peer_exchange_compose(const controller_t *controller, channel_t *channel,
                                  const summary_update_t *summaries);
/* With the lock held: what counts whoever says it, and in whatever view. */
void peer_exchange_receive_any(controller_t *controller, const peer_message_t *message);
/* Sends a message and takes its answer; false: none came, and the connection is of no more use. */
bool peer_exchange_converse(int fd, const GByteArray *frame, peer_message_t *message);

/* With the lock held: takes what a partition sent. Returns the leader's end of its channel, valid
 * while the lock is held; NULL: it is not of this view, so nothing of it counts. */
channel_t *peer_server_receive(controller_t *controller, peer_message_t *message);
/* With the lock held: takes what the leader answered. */
void peer_client_receive(controller_t *controller, const peer_message_t *message);

#endif
