/** @file
 * Answers the calls of other controllers by socket: those of partitions to their leader, and the
 * heartbeats of siblings.
 */
#ifndef PEPPERPULLEY_PEER_SERVER_H
#define PEPPERPULLEY_PEER_SERVER_H

/** The thread's loop: accepts connections and starts a thread for each. @p data is the
 * controller_t. The threads take the lock. Returns NULL if it can't listen, otherwise never. */
void *peer_server_run(void *data);

#endif
