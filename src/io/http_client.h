/** @file
 * Blocking HTTP calls with JSON bodies. A client keeps its connections open and is used by one
 * thread at a time; it has no lock. Clients live as long as the process.
 */
#ifndef PEPPERPULLEY_HTTP_CLIENT_H
#define PEPPERPULLEY_HTTP_CLIENT_H

#include <jansson.h>

#include "core/types.h"

/** A client; opaque. */
typedef struct http_client http_client_t;

/** The outcome of a call: an HTTP status, or why there is none. */
enum {
    HTTP_OK = 200,                 /**< Executed. */
    HTTP_CREATED = 201,            /**< Executed: something was created. */
    HTTP_BAD_REQUEST = 400,        /**< The request is malformed. */
    HTTP_NOT_FOUND = 404,          /**< There is no such thing. */
    HTTP_METHOD_NOT_ALLOWED = 405, /**< The path does not have this method. */
    HTTP_CONFLICT = 409,           /**< A condition did not hold. */
    HTTP_GONE = 410,               /**< What was requested is no longer kept. */
    HTTP_MISDIRECTED = 421,        /**< Another controller owns the worker. */
    HTTP_UNPROCESSABLE = 422,      /**< The request is well-formed but can't be met. */
    HTTP_TOO_MANY_REQUESTS = 429,  /**< Not executed: over the rate limit. */
    HTTP_UNAVAILABLE = 503,        /**< Not executed: the service can't now. */
    HTTP_NO_ANSWER = 0,            /**< Sent, but no answer: may have been executed, or may be. */
    HTTP_NOT_SENT = -1             /**< Certainly not executed: no byte was sent. */
};

/** Initializes the library: once per process, before any other thread starts. */
void http_start(void);

/** Returns a client that keeps up to @p connections open (transfer full). */
http_client_t *http_client_new(long connections);

/** Sets how long connecting may take; after that a call returns HTTP_NOT_SENT. */
void http_client_set_connect_timeout(http_client_t *client, long connect_ms);

/** Makes a call, which takes @p timeout_ms at most, and returns its outcome. @p body is sent as
 * JSON (transfer none; NULL: none). If @p answer is not NULL, *answer gets the answer's JSON
 * (transfer full), or NULL if there is none. */
int http_call(http_client_t *client, const char *method, const char *url, const json_t *body,
              long timeout_ms, json_t **answer);

/** Returns the body of the last call's answer as it was received (transfer none), valid until the
 * next call, and its length in *length. */
const char *http_answer(const http_client_t *client, gsize *length);

#endif
