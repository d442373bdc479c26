/* Blocking HTTP calls with JSON bodies. One client belongs to one thread at a time and keeps its
 * connections open. */
#ifndef PEPPERPULLEY_HTTP_CLIENT_H
#define PEPPERPULLEY_HTTP_CLIENT_H

#include <jansson.h>

#include "core/types.h"

typedef struct http_client http_client_t;

/* What a call came to: a status of HTTP, or that there is none. */
enum {
    HTTP_OK = 200,
    HTTP_CREATED = 201,
    HTTP_BAD_REQUEST = 400,
    HTTP_NOT_FOUND = 404,
    HTTP_METHOD_NOT_ALLOWED = 405,
    HTTP_CONFLICT = 409,
    HTTP_GONE = 410,
    HTTP_MISDIRECTED = 421,
    HTTP_UNPROCESSABLE = 422,
    HTTP_TOO_MANY_REQUESTS = 429,
    HTTP_UNAVAILABLE = 503,
    HTTP_NO_ANSWER = 0, /* it may have been executed, or may still be */
    HTTP_NOT_SENT = -1  /* no byte of it left */
};

void http_start(void); /* once per process, before any thread */
http_client_t *http_client_new(long connections);
/* A connection that takes longer is given up (HTTP_NOT_SENT). */
void http_client_hurry(http_client_t *client, long connect_ms);
/* body may be NULL and is not consumed; *answer (may be NULL) gets a new reference or NULL. */
int http_call(http_client_t *client, const char *method, const char *url, const json_t *body,
              long timeout_ms, json_t **answer);
/* The body of the last call's answer as it came, until the next call. */
const char *http_answer(const http_client_t *client, gsize *length);

#endif
