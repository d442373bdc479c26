/** @file
 * The loop of a partition that calls its leader, by socket or, where that fails, by relay.
 */
#ifndef PEPPERPULLEY_PEER_CLIENT_H
#define PEPPERPULLEY_PEER_CLIENT_H

/** The thread's loop: exchanges messages with the leader while another controller leads. @p data is
 * the controller_t. Takes the lock. Never returns. */
void *peer_client_run(void *data);

#endif
