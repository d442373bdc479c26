/** @file
 * The exchange by relay. A partition that cannot reach the leader by socket exchanges messages with
 * it through values in the key-value store. io/relay.h defines their format.
 *
 * A partition writes its message to the leader's inbox, waits, and reads the partitions' inbox. The
 * leader reads its inbox while any member has not called by socket for RELAY_AFTER_MS, and answers
 * each message once.
 */
#ifndef PEPPERPULLEY_PEER_RELAY_H
#define PEPPERPULLEY_PEER_RELAY_H

#include "controller/controller.h"

/** The thread's loop on the leader's side: answers relayed messages while this controller leads.
 * @p data is the controller_t. Takes the lock. Never returns. */
void *peer_relay_run(void *data);

/** Makes one exchange on the partition's side: writes @p frame, a message to the leader, waits for
 * RELAY_GAP_MS, and handles the answer that is then in the partitions' inbox, which may be the
 * answer to an earlier message. Returns at once if the message cannot be written. @p http is the
 * caller's own client. Takes the lock to handle the answer, so the caller must not hold it. */
void peer_relay_exchange(controller_t *controller, http_client_t *http, const GByteArray *frame);

#endif
