/** @file
 * Sends replies as responses of the HTTP server.
 */
#ifndef PEPPERPULLEY_API_HTTP_RESPONSE_H
#define PEPPERPULLEY_API_HTTP_RESPONSE_H

#include <stdbool.h>

#include <microhttpd.h>

#include "controller/api/reply.h"

/** Queues the reply, transfer full, on the connection. @p is_closing: the connection is closed
 * after it, except after an unchanged heartbeat. Returns what the access handler of the HTTP server
 * has to return. Called on the HTTP thread of the connection, without any lock. */
enum MHD_Result http_response_send(struct MHD_Connection *connection, reply_t reply,
                                   bool is_closing);

#endif
