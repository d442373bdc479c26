/** @file
 * The loop with which a partition calls the leader: by socket or, while that fails, by relay.
 */
#ifndef PEPPERPULLEY_PEER_CLIENT_H
#define PEPPERPULLEY_PEER_CLIENT_H

/** The thread's loop. While another controller leads, it exchanges messages with that leader.
 * @p data is the controller_t. Takes the lock. Never returns. */
void *peer_client_run(void *data);

#endif
