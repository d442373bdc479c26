/** @file
 * Frames between controllers, on blocking TCP sockets: four bytes with the length of a message,
 * most significant first, then the message.
 *
 * Each side sends one frame and waits for the answer. A socket belongs to one thread.
 */
#ifndef PEPPERPULLEY_PEER_SOCKET_H
#define PEPPERPULLEY_PEER_SOCKET_H

#include <stdbool.h>

#include <glib.h>

/** Returns a listening socket on @p endpoint, an IPv4 "address:port", or a negative number if that
 * failed. The caller closes it. */
int peer_listen(const char *endpoint);

/** Connects to @p endpoint, an IPv4 "address:port", within @p timeout_ms, which is also how long
 * sends and receives wait. Returns a socket, which the caller closes, or a negative number if that
 * failed. */
int peer_connect(const char *endpoint, guint timeout_ms);

/** Sets for how long sends and receives on @p fd wait from now on. */
void peer_set_timeout(int fd, guint timeout_ms);

/** Sends @p frame with its length. Returns false if that failed: the connection is of no more use
 * then. */
bool peer_send(int fd, const GByteArray *frame);

/** Returns the next message, without its length (transfer full). NULL: none came in time, or the
 * connection is of no more use. */
GByteArray *peer_receive(int fd);

#endif
