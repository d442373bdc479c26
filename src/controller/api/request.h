/** @file
 * One HTTP request of a user or a worker, from its first byte to its reply.
 *
 * It belongs to its connection. An HTTP thread holds it until it is queued, one thread of the
 * request pool while it is served, and an HTTP thread again from then on; no two at a time, so it
 * needs no lock.
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
    GString *body;                     /**< Owned; of a body that is too long, its beginning. */
    bool is_too_long;                  /**< The body exceeds BODY_MAX_BYTES. */
    struct MHD_Connection *connection; /**< Transfer none. */
    http_client_t *client; /**< Its connection to the key-value store, lent by the client pool;
                              NULL: none yet. */
    msec_t wait_deadline;  /**< It is refused if it has no thread or no such connection by then. */
    msec_t deadline; /**< No call to the key-value store lasts beyond this, nor begins after it. */
    char method[METHOD_BYTES];     /**< Copied when it is queued. */
    char path[REQUEST_PATH_BYTES]; /**< Copied when it is queued. */
    bool is_answered;              /**< The reply is ready and was not taken to be sent yet. */
    reply_t reply;                 /**< Owned while is_answered. */
} request_t;

/** Returns a new request without a body, transfer full. Both arguments are transfer none. */
request_t *request_new(controller_t *controller, struct MHD_Connection *connection);

/** Appends to the body, or marks it as too long. */
void request_append_body(request_t *request, const char *data, gsize length);

/** Frees the request, with a reply that was not sent. */
void request_free(request_t *request);

#endif
