/** @file
 * Peer heartbeats: every controller sends every sibling heartbeats, whatever the view, and receives
 * in answer the cancellations that the sibling has confirmed to users (see cancellation_log.h), the
 * job counts if the sibling leads, its health and its view number.
 *
 * In an outage of the key-value store nothing else carries these cancellations. And a controller
 * that the key-value store refuses alone learns of a higher view only here: otherwise it would keep
 * the leases of its workers although it was replaced.
 */
#ifndef PEPPERPULLEY_PEER_HEARTBEAT_H
#define PEPPERPULLEY_PEER_HEARTBEAT_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/** Starts a thread for each sibling of the settings, which sends it heartbeats. The threads take
 * the lock and never end. */
void peer_heartbeat_start(controller_t *controller);

/** Returns the answer to a sibling's heartbeat @p message, encoded (transfer full). Waits up to
 * PEER_HEARTBEAT_HOLD_MS for a cancellation that the sibling does not have. Takes the lock, and
 * releases it while it waits. */
GByteArray *peer_heartbeat_answer(controller_t *controller, const peer_message_t *message);

#endif
