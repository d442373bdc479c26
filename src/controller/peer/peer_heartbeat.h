/* Heartbeats between controllers. */
#ifndef PEPPERPULLEY_PEER_HEARTBEAT_H
#define PEPPERPULLEY_PEER_HEARTBEAT_H

#include "controller/controller.h"
#include "io/peer_protocol.h"

/* Starts a thread for each sibling. */
void peer_heartbeat_start(controller_t *controller);
/* The answer to a sibling's heartbeat, encoded; transfer full. Takes the lock. */
GByteArray *peer_heartbeat_answer(controller_t *controller, const peer_message_t *message);

#endif
