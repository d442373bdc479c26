/** @file
 * Sends replies as responses of the HTTP server.
 */
#ifndef PEPPERPULLEY_API_HTTP_RESPONSE_H
#define PEPPERPULLEY_API_HTTP_RESPONSE_H

#include <stdbool.h>

#include <microhttpd.h>

#include "controller/api/reply.h"

/** Queues the reply, transfer full, on the connection. If @p must_close is true, the connection is
 * closed after the reply, unless the reply's kind is REPLY_NO_COMMANDS. Returns the value that the
 * access handler of the HTTP server must return. Called on the HTTP thread of the connection,
 * without any lock. */
enum MHD_Result http_response_send(struct MHD_Connection *connection, reply_t reply,
                                   bool must_close);

#endif
