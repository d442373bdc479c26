/* The partition's side of the exchange with the leader. */
#ifndef PEPPERPULLEY_PEER_CLIENT_H
#define PEPPERPULLEY_PEER_CLIENT_H

/* The loop; data is the controller_t. Never returns. */
void *peer_client_run(void *data);

#endif
