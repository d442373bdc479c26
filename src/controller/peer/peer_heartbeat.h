/** @file
 * Peer heartbeats: every controller sends heartbeats to every sibling, whether or not they are
 * members of the same view. The answer carries the cancellations that the sibling has confirmed to
 * users (see cancellation_log.h), its health and its view number and, if the sibling leads, the job
 * counts.
 *
 * During an outage of the key-value store nothing else carries these cancellations. If the
 * key-value store answers all controllers but one, that one learns only from peer heartbeats that a
 * newer view exists. Otherwise it would go on renewing the leases of its workers after it had been
 * replaced.
 */
#ifndef PEPPERPULLEY_PEER_HEARTBEAT_H
#define PEPPERPULLEY_PEER_HEARTBEAT_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/** Starts one thread for each sibling in the settings, which sends heartbeats to that sibling. The
 * threads take the lock and never end. */
void peer_heartbeat_start(controller_t *controller);

/** Returns the answer to a sibling's heartbeat @p message, encoded (transfer full). If the
 * sibling has every confirmed cancellation already, first waits for a new one, for
 * PEER_HEARTBEAT_HOLD_MS at most. Takes the lock, and releases it during the wait. */
GByteArray *peer_heartbeat_answer(controller_t *controller, const peer_message_t *message);

#endif
