/** @file
 * One HTTP request of a user or a worker, from its first byte to its reply.
 *
 * A request belongs to its connection. It is used by one thread at a time, so it needs no lock: by
 * an HTTP thread until it is queued, then by one thread of the request pool while it is served, and
 * then by an HTTP thread again.
 */
#ifndef PEPPERPULLEY_API_REQUEST_H
#define PEPPERPULLEY_API_REQUEST_H

#include "controller/api/reply.h"
#include "controller/controller_type.h"
#include "io/http_client.h"

struct MHD_Connection;

/** One request. */
typedef struct request {
    controller_t *controller;          /**< Transfer none. */
    GString *body;                     /**< Owned; only the beginning if the body is too long. */
    bool is_body_too_long;             /**< The body exceeds BODY_MAX_BYTES. */
    struct MHD_Connection *connection; /**< Transfer none. */
    http_client_t *kv_client; /**< Its connection to the key-value store, borrowed from the pool;
                                 NULL: none acquired yet. */
    msec_t wait_deadline; /**< Steady clock, ms: the request is refused if it has no thread or no
                             connection to the key-value store by then. */
    msec_t deadline;      /**< Steady clock, ms: no call to the key-value store begins or
                             continues after this time. */
    char method[METHOD_BYTES];     /**< Copied when the request is queued. */
    char path[REQUEST_PATH_BYTES]; /**< Copied when the request is queued. */
    bool has_unsent_reply;         /**< A thread of the request pool has set the reply, and no
                                      HTTP thread has taken it to send it yet. */
    reply_t reply;                 /**< Owned while has_unsent_reply is true. */
} request_t;

/** Returns a new request with an empty body (transfer full; request_free()). Both arguments are
 * transfer none. */
request_t *request_new(controller_t *controller, struct MHD_Connection *connection);

/** Appends @p length bytes of @p data to the body. If the body exceeds BODY_MAX_BYTES, marks it as
 * too long and ignores this and all later data. */
void request_append_body(request_t *request, const char *data, gsize length);

/** Frees the request, including a reply that was not sent. */
void request_free(request_t *request);

#endif
