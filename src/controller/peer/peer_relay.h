/** @file
 * The exchange by relay: messages as values in the key-value store, for partitions that can't reach
 * the leader by socket. See io/relay.h for their form.
 *
 * A partition writes its message to the leader's inbox, waits, and reads the partitions' inbox. The
 * leader reads its inbox while a member has not called by socket for a while, and answers each
 * message once.
 */
#ifndef PEPPERPULLEY_PEER_RELAY_H
#define PEPPERPULLEY_PEER_RELAY_H

#include "controller/controller.h"

/** The thread's loop of the leader's side. @p data is the controller_t. Takes the lock. Never
 * returns. */
void *peer_relay_run(void *data);

/** The partition's side: writes @p frame, a message to the leader, and handles the answers that are
 * found after a while. Does nothing more if the message can't be written. @p http is the caller's.
 * Takes the lock for each answer. */
void peer_relay_exchange(controller_t *controller, http_client_t *http, const GByteArray *frame);

#endif
