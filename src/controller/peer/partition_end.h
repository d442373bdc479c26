/** @file
 * The partition's end of the exchange with the leader: handles what the leader sent, by socket or
 * by relay.
 */
#ifndef PEPPERPULLEY_PARTITION_END_H
#define PEPPERPULLEY_PARTITION_END_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/** Handles the leader's @p message: carries out its items if they are a new batch. Of a message of
 * another view, or while this controller has no data loaded, only what it reports of its sender
 * is recorded. Called with the lock held. */
void partition_end_receive(controller_t *controller, const peer_message_t *message);

#endif
