/** @file
 * Blocking HTTP calls with JSON bodies. A client keeps its connections open. It has no lock, so
 * only one thread may use it at a time. Clients are never freed: they live as long as the process.
 */
#ifndef PEPPERPULLEY_HTTP_CLIENT_H
#define PEPPERPULLEY_HTTP_CLIENT_H

#include <jansson.h>

#include "core/types.h"

/** A client; opaque. */
typedef struct http_client http_client_t;

/** The outcome of a call: an HTTP status or, if no answer came, the reason. */
enum {
    HTTP_OK = 200,                 /**< Executed. */
    HTTP_CREATED = 201,            /**< Executed: a resource was created. */
    HTTP_BAD_REQUEST = 400,        /**< The request is malformed. */
    HTTP_NOT_FOUND = 404,          /**< The resource does not exist. */
    HTTP_METHOD_NOT_ALLOWED = 405, /**< The path does not support this method. */
    HTTP_CONFLICT = 409,           /**< A precondition did not hold. */
    HTTP_GONE = 410,               /**< The requested data is no longer kept. */
    HTTP_MISDIRECTED = 421,        /**< Another controller owns the worker. */
    HTTP_UNPROCESSABLE = 422,      /**< The request is well-formed but cannot be satisfied. */
    HTTP_TOO_MANY_REQUESTS = 429,  /**< Not executed: the rate limit is exceeded. */
    HTTP_UNAVAILABLE = 503,        /**< Not executed: the service is temporarily unavailable. */
    HTTP_NO_ANSWER = 0, /**< Sent, but no answer came: the request may have been executed,
                           or may be executed later. */
    HTTP_NOT_SENT = -1  /**< Certainly not executed: no byte of the request was sent. */
};

/** Initializes the HTTP library. Call it once per process, before any other thread starts. */
void http_client_init_library(void);

/** Returns a client that keeps up to @p connections idle connections open (transfer full). */
http_client_t *http_client_new(long connections);

/** Sets the timeout for connecting. A call that exceeds it returns HTTP_NOT_SENT. */
void http_client_set_connect_timeout(http_client_t *client, long connect_ms);

/** Sends a request, waits at most @p timeout_ms for the answer, and returns the outcome. With the
 * method POST, @p body is sent as JSON (transfer none; NULL: an empty body); other methods send no
 * body. If @p answer is not NULL, *answer is set to the answer's JSON (transfer full), or to NULL
 * if no answer came or it is not JSON. */
int http_call(http_client_t *client, const char *method, const char *url, const json_t *body,
              long timeout_ms, json_t **answer);

/** Returns the body of the answer to the last call as it was received (transfer none) and sets
 * *length to its size in bytes. The body is valid until the next call. It is empty if its buffer
 * exceeded RESPONSE_BUFFER_MAX_BYTES. */
const char *http_answer_body(const http_client_t *client, gsize *length);

#endif
