/* Answers the calls of other controllers. */
#ifndef PEPPERPULLEY_PEER_SERVER_H
#define PEPPERPULLEY_PEER_SERVER_H

/* The loop; data is the controller_t. Returns only if it can't listen. */
void *peer_server_run(void *data);

#endif
