/** @file
 * What both sides of the exchange between controllers share: composing messages, recording what
 * every message reports about its sender, and making a call over a socket.
 *
 * Each partition calls the leader in a loop. The call carries what the partition has to send, and
 * the answer carries what the leader has to send. A leader with nothing to send delays its answer
 * for up to PEER_ANSWER_DELAY_MS, so that it includes an item queued in that time. Messages travel
 * by socket (peer_client.c, peer_server.c) or, while sockets fail, as values in the key-value store
 * (peer_relay.c), which stays reachable during a network partition between zones. A batch that the
 * relay delays or repeats does no harm, because batches are numbered and the numbers are valid only
 * within one view.
 */
#ifndef PEPPERPULLEY_PEER_EXCHANGE_H
#define PEPPERPULLEY_PEER_EXCHANGE_H

#include "controller/controller.h"
#include "io/peer_protocol.h"
#include "io/peer_socket.h"

/** Returns a message with the fields set that every message from this controller has, and with no
 * lists (transfer full). Called with the lock held. */
peer_message_t peer_exchange_new_message(const controller_t *controller);

/** Returns one message of the exchange between leader and partition, encoded (transfer full).
 *
 * The message carries the current batch of @p channel and the number of the last batch received
 * there, or neither if @p channel is NULL. It carries @p summaries (transfer full), or none if they
 * are all zeros. Called with the lock held. */
GByteArray *peer_exchange_compose(const controller_t *controller, channel_t *channel,
                                  summary_update_t summaries);

/** Records what @p message reports about its sender and about the newest view. This is valid for
 * every sender and every view, so it is called for every message. Called with the lock held. */
void peer_exchange_observe_sender(controller_t *controller, const peer_message_t *message);

/** Returns whether @p message comes from the leader of the view that is installed here, and was
 * sent in that view. Called with the lock held. */
bool peer_exchange_is_from_leader(const controller_t *controller, const peer_message_t *message);

/** Sends @p frame and receives the answer into @p message, which the caller clears. Returns false
 * and leaves @p message all zeros if no valid answer arrived; the connection cannot be used
 * again then. The lock must not be held. */
bool peer_exchange_call(int fd, const GByteArray *frame, peer_message_t *message);

#endif
