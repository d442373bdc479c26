/** @file
 * The leader's ends of the exchange with the partitions, one for each member of the view: handles
 * what a partition sent, by socket or by relay.
 */
#ifndef PEPPERPULLEY_LEADER_END_H
#define PEPPERPULLEY_LEADER_END_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/** Handles a partition's @p message: its attempt results if they are a new batch, and its machine
 * summaries. Wakes the placement loop if either changed anything. Moves cpus_being_preempted out of
 * @p message.
 *
 * Returns true and sets @p member, the sender's index in the view, which is valid while the lock is
 * held; or returns false if the message does not count: this controller does not lead or has no
 * data loaded, or the message is of another view or not of a member of this one. Then only what it
 * reports of its sender is recorded. Called with the lock held. */
bool leader_end_receive(controller_t *controller, peer_message_t *message, guint *member);

/** Returns the leader's end of the channel to the partition of @p member, valid while the lock is
 * held (transfer none). Called with the lock held, after leader_end_receive() returned true. */
channel_t *leader_end_channel(const controller_t *controller, guint member);

#endif
