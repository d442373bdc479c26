/* An HTTP server with JSON bodies on a loopback port, with a thread for each connection. It runs
 * until the process ends. */
#ifndef PEPPERPULLEY_FAKE_HTTP_SERVER_H
#define PEPPERPULLEY_FAKE_HTTP_SERVER_H

#include <stdint.h>

#include <jansson.h>

struct MHD_Connection;

typedef struct fake_http_request {
    struct MHD_Connection *connection;
    const char *method;
    const char *path;
    const json_t *body; /* NULL if the body is not JSON */
} fake_http_request_t;

typedef struct fake_http_answer {
    unsigned status; /* HTTP status, or 0 to close the connection without an answer */
    json_t *body;    /* owned */
} fake_http_answer_t;

/* Handles a request. Called on the thread of the connection. */
typedef fake_http_answer_t (*fake_http_handler_t)(void *data, const fake_http_request_t *request);

/* Starts a server on a port that the system chooses, and returns the port. data is passed to the
 * handler, and is borrowed for the life of the process. */
uint16_t fake_http_server_start(fake_http_handler_t handler, void *data);
/* Returns the value of a query parameter, or an empty string if the request does not have it. The
 * value is borrowed from the request. */
const char *fake_http_query(const fake_http_request_t *request, const char *name);

#endif
