/* Clock, record, JSON over HTTP, and TCP helpers that all stand-ins share. */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Milliseconds of the steady clock. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);

/* Opens the record; times in it count from this call. */
void record_open(const char *path);
/* Writes one line to the record and to standard output. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Seconds since record_open. */
double record_time(void);

/* Prints the reason, ends all controllers and exits. */
void finish(int status, const char *format, ...) __attribute__((format(printf, 2, 3), noreturn));
/* Called by finish before the exit. */
extern void (*finish_hook)(void);

/* Returns a listening socket on 127.0.0.1. *port 0: a free port is chosen and stored. */
int tcp_listen(int *port);
/* Returns a connected socket or -1. */
int tcp_connect(int port, int timeout_ms);
/* Returns a port that is free now. */
int free_port(void);
void start_thread(void *(*run)(void *), void *data);

typedef struct http_request {
    char method[16];
    char path[512]; /* without the query */
    char query[512];
    json_t *body; /* NULL if there is none */
} http_request_t;

/* Returns the status, and sets *answer (may stay NULL). Status 0: the connection is closed without
 * an answer. */
typedef int (*http_handler_t)(void *data, const http_request_t *request, json_t **answer);

/* Starts a server on a free port of 127.0.0.1 and returns the port. */
int http_serve(http_handler_t handler, void *data);
/* Returns the text of a parameter of the query in value, "" if it is missing. */
void http_query(const http_request_t *request, const char *name, char *value, size_t size);
/* Returns the status, or 0 without an answer. *answer may be NULL afterwards. */
int http_call(int port, const char *method, const char *path, json_t *body, int timeout_ms,
              json_t **answer);

const char *json_text(const json_t *object, const char *name);
int64_t json_number(const json_t *object, const char *name);

#endif
