/** @file
 * The leader's side of the exchange with the partitions: handles the messages that the other
 * members of the view send, by socket or by relay.
 */
#ifndef PEPPERPULLEY_LEADER_EXCHANGE_H
#define PEPPERPULLEY_LEADER_EXCHANGE_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/** Handles a partition's @p message: its attempt results if they are a new batch, and its machine
 * summaries. Wakes the placement loop if either changed anything. May move cpus_being_preempted out
 * of @p message.
 *
 * Returns true and sets @p member to the sender's index in the view, which is valid while the lock
 * is held. Returns false if this controller does not lead or has no records loaded, if the message
 * belongs to another view, or if its sender is not another member of this view. The message is
 * then ignored, apart from what it reports about its sender (peer_exchange_observe_sender()).
 * Called with the lock held. */
bool leader_exchange_receive(controller_t *controller, peer_message_t *message, guint *member);

/** Returns the leader's end of the channel to the partition with index @p member in the view, valid
 * while the lock is held (transfer none). Called with the lock held, after
 * leader_exchange_receive() returned true. */
channel_t *leader_exchange_channel(const controller_t *controller, guint member);

#endif
