/** @file
 * What both ends of the exchange between controllers share: composing a message, recording what
 * every message reports of its sender, and a call over a socket.
 *
 * Each partition calls the leader over and over: what it has to send goes with the call, what the
 * leader has to send comes with the answer, which the leader delays for a moment while it has
 * nothing to send. The messages go by socket (peer_client.c, peer_server.c) or, where sockets fail,
 * as values in the key-value store (peer_relay.c), which a cut between zones leaves in reach.
 * Whatever is late or repeated by the relay is as harmless as on a socket: batches are numbered,
 * and the numbers are void with their view.
 */
#ifndef PEPPERPULLEY_PEER_EXCHANGE_H
#define PEPPERPULLEY_PEER_EXCHANGE_H

#include "controller/controller.h"
#include "io/peer_protocol.h"
#include "io/peer_socket.h"

/** Returns a message with the fields that every message of this controller has, and without lists
 * (transfer full). Called with the lock held. */
peer_message_t peer_exchange_new_message(const controller_t *controller);

/** Returns one message of the exchange between leader and partition, encoded (transfer full).
 *
 * @p channel: its current batch and its acknowledgement go with the message; NULL: neither does.
 * @p summaries: go with the message (transfer full); all zeros: none do. Called with the lock held.
 */
GByteArray *peer_exchange_compose(const controller_t *controller, channel_t *channel,
                                  summary_update_t summaries);

/** Records what @p message reports of its sender and of the newest view. That counts whoever sent
 * it and whatever view it is of. Called with the lock held. */
void peer_exchange_observe_sender(controller_t *controller, const peer_message_t *message);

/** Returns whether @p message is of the leader of the view that is installed here. Called with the
 * lock held. */
bool peer_exchange_is_from_leader(const controller_t *controller, const peer_message_t *message);

/** Sends @p frame and receives the answer into @p message, to be cleared by the caller. Returns
 * false, with @p message all zeros, if no valid answer came: the connection is of no more use then.
 * The lock must not be held. */
bool peer_exchange_call(int fd, const GByteArray *frame, peer_message_t *message);

#endif
