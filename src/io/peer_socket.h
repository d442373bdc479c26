/* Frames between controllers, on blocking sockets: four bytes with the length of a message, then
 * the message. Each side sends one frame and waits for the answer. A socket belongs to one thread.
 */
#ifndef PEPPERPULLEY_PEER_SOCKET_H
#define PEPPERPULLEY_PEER_SOCKET_H

#include <stdbool.h>

#include <glib.h>

/* A listening socket on "address:port"; negative: failed. */
int peer_listen(const char *endpoint);
/* A connected socket, whose sends and receives end after the same time; negative: failed. */
int peer_connect(const char *endpoint, guint timeout_ms);
/* How long sends and receives wait from now on. */
void peer_set_timeout(int fd, guint timeout_ms);
/* False: the connection is of no more use. */
bool peer_send(int fd, const GByteArray *frame);
/* The next message, the caller's. NULL: none came in time, or the connection is of no more use. */
GByteArray *peer_receive(int fd);

#endif
