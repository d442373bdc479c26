/* Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). Each controller
 * has a port of its own, so that a case can treat them differently. */
#ifndef REVIEW_STATE_H
#define REVIEW_STATE_H

#include "common.h"

enum { NODES_MAX = 5 };

/* Limits of a transaction and a value. */
typedef struct state_limits {
    size_t txn_ops;
    size_t value_bytes;
} state_limits_t;

/* Starts the service for that many controllers. */
void state_start(int nodes, state_limits_t limits);
int state_port(int node);
void state_set_limits(state_limits_t limits);
/* If set, is called for every request before it is executed (before: true) and before it is
 * answered (false). May wait, which holds the request or its answer. Returns false if the request
 * is to get no answer; before its execution it is then not executed either. */
extern bool (*state_hook)(int node, const http_request_t *request, bool before);
/* Returns the value of a key (a new reference), or NULL. */
json_t *state_get(const char *key);

#endif
