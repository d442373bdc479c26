/** @file
 * The partition's side of the exchange with the leader: handles the messages that the leader sends,
 * by socket or by relay.
 */
#ifndef PEPPERPULLEY_PARTITION_EXCHANGE_H
#define PEPPERPULLEY_PARTITION_EXCHANGE_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/** Handles the leader's @p message: carries out its items if they are a new batch. If the message
 * is not from the leader of the installed view, or this controller has no records loaded, the
 * message is ignored apart from what it reports about its sender (peer_exchange_observe_sender()).
 * Called with the lock held. */
void partition_exchange_receive(controller_t *controller, const peer_message_t *message);

#endif
