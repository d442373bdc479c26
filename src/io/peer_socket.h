/** @file
 * Sends and receives frames between controllers on blocking TCP sockets. A frame is the length of a
 * message, as four bytes in network byte order, followed by the message.
 *
 * The caller sends one frame and waits for the answer before it sends the next. A socket is used by
 * a single thread.
 */
#ifndef PEPPERPULLEY_PEER_SOCKET_H
#define PEPPERPULLEY_PEER_SOCKET_H

#include <stdbool.h>

#include <glib.h>

/** Returns a socket that listens on @p endpoint, an IPv4 "address:port", or a negative number on
 * failure. The caller closes the socket. */
int peer_listen(const char *endpoint);

/** Connects to @p endpoint, an IPv4 "address:port". @p timeout_ms is the timeout of the connection
 * attempt and of later sends and receives. Returns a socket, which the caller closes, or a negative
 * number on failure. */
int peer_connect(const char *endpoint, guint timeout_ms);

/** Sets the timeout of sends and receives on @p fd. */
void peer_set_timeout(int fd, guint timeout_ms);

/** Sends @p frame, preceded by its length. Returns false on failure; the connection must be closed
 * then. */
bool peer_send(int fd, const GByteArray *frame);

/** Receives a frame and returns its message, without the length (transfer full). Returns NULL if
 * the timeout expires, the connection ends or the frame is invalid. The connection must be closed
 * then. */
GByteArray *peer_receive(int fd);

#endif
