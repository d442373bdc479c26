/** @file
 * Answers the calls that other controllers make by socket: partitions call their leader, and all
 * siblings send heartbeats.
 */
#ifndef PEPPERPULLEY_PEER_SERVER_H
#define PEPPERPULLEY_PEER_SERVER_H

/** The thread's loop: accepts connections and starts a thread for each. @p data is the
 * controller_t. The threads take the lock. Returns NULL if it cannot listen on the configured
 * address, otherwise never returns. */
void *peer_server_run(void *data);

#endif
