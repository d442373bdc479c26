/* An event loop for one thread on loopback addresses: timers, an HTTP server, an HTTP client and a
 * TCP relay. All functions are called from that thread. Times are in ms of the steady clock. */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef int64_t ms_t;

ms_t net_now(void);

/* Calls run(data) after the delay, once. */
void net_after(ms_t delay, void (*run)(void *data), void *data);
/* Serves all events for this time. */
void net_run(ms_t duration);

/* A request that an HTTP server has received. The connection is named by a number, so that an
 * answer to a connection that has ended does nothing. */
typedef struct http_request {
    uint64_t connection;
    const char *method;
    const char *path;  /* without the query */
    const char *query; /* may be empty */
    int peer_port;     /* of the client's end */
    json_t *body;      /* NULL if there is none; borrowed */
} http_request_t;

typedef void (*http_handler_t)(void *data, const http_request_t *request);

/* Starts a server on a free port and returns the port. The handler answers with http_answer(), at
 * once or later, or never. */
int net_serve(http_handler_t handler, void *data);
/* Answers a request. Takes the body (may be NULL). */
void http_answer(uint64_t connection, int status, json_t *body);
/* Closes the connection without an answer. */
void http_drop(uint64_t connection);
/* Copies a parameter of the query, or an empty string. */
void http_parameter(const char *query, const char *name, char *to, size_t size);

/* status: 0 if no answer came in time, or the connection failed. body: borrowed, may be NULL. */
typedef void (*http_done_t)(void *data, int status, const json_t *body);
/* Sends a request on a connection of its own. Takes the body (may be NULL). */
void net_call(int port, const char *method, const char *path, json_t *body, ms_t timeout,
               http_done_t done, void *data);

/* How a relay treats its connections. */
typedef enum {
    RELAY_PASS,   /* forwards */
    RELAY_SILENT, /* accepts connections and forwards nothing */
    RELAY_REFUSE  /* closes connections at once */
} relay_mode_t;

typedef struct relay relay_t;
/* Starts a relay on a free port, to the target port. */
relay_t *relay_new(int target);
int relay_port(const relay_t *relay);
/* Sets the mode. Connections that were open in silence are closed when the relay passes again. */
void relay_set(relay_t *relay, relay_mode_t mode);

/* Returns a port that no other program uses now. */
int net_free_port(void);

#endif
