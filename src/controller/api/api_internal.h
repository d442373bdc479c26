/* What the sources of the API share among themselves. Nobody else includes it.
 *
 * Handlers run on threads of the HTTP server or of the request queue. Lock not held, unless said.
 */
#ifndef PEPPERPULLEY_API_INTERNAL_H
#define PEPPERPULLEY_API_INTERNAL_H

#include <microhttpd.h>

#include "controller/controller.h"

/* An answer to be sent; body may be NULL. */
typedef struct reply {
    unsigned status;
    json_t *body;
    unsigned retry_after_s;           /* 0: none */
    char *text;                       /* instead of body; owned */
    uint64_t unchanged_fencing_token; /* instead of body: the answer to a heartbeat that calls for
                             nothing, with this fencing token; 0: another answer */
} reply_t;

/* A request: its body while it arrives, then, if it has to wait, what serves it. One that gets no
 * connection or no answer by its deadline is given up, and its user told so at that moment: nobody
 * is kept waiting for an answer that is known already. */
typedef struct request {
    controller_t *controller;
    GString *body; /* of a body that is too long, how it begins */
    bool is_too_long;
    struct MHD_Connection *connection;
    http_client_t *client; /* its connection to the key-value store; NULL: not yet */
    msec_t wait_deadline;  /* given up without such a connection by then */
    msec_t deadline;       /* given up without an answer of the key-value store by then */
    char method[METHOD_BYTES];
    char path[REQUEST_PATH_BYTES];
    bool is_answered; /* reply stands; it was not sent yet */
    reply_t reply;
} request_t;

/* What is known of a job. JOB_UNKNOWN: the key-value store gave no answer; JOB_NEVER: it has no
 * such job. */
typedef enum { JOB_UNKNOWN, JOB_LIVE, JOB_DONE, JOB_CANCELLED, JOB_NEVER } job_state_t;

/* The HTTP server and the request queue (api.c). */

/* An answer with a reason in its body. retry_after_s: 0: none. */
reply_t api_refuse(unsigned status, const char *why, unsigned retry_after_s);
/* The answer where the key-value store is needed and can't be asked. */
reply_t api_retry_later(void);

/* Routes (api_route.c). */

/* The answer to a whole request. */
reply_t api_route(request_t *request, const char *method, const char *path);

/* The state of jobs in the key-value store (api_state.c). */

/* Whether the request has a connection to the key-value store: it waits for one until its wait
 * deadline. */
bool api_acquire_client(request_t *request);
void api_release_client(request_t *request);
/* KV_NOT_EXECUTED also where the deadline has passed. failed: as for kv_commit. */
kv_result_t api_commit(request_t *request, const kv_txn_t *txn, GPtrArray *failed);
/* Every road on which a user can be told a final state begins here: it is known to the other
 * threads, and noted for the siblings, before it can be told. */
job_state_t api_record_terminal_state(controller_t *controller, const char *id, bool done);
/* Reads <prefix>/<id>. entry: api_entry_clear it. KV_NOT_EXECUTED also where the deadline has
 * passed.
 */
kv_result_t api_read_key(request_t *request, const char *prefix, const char *id, kv_entry_t *entry);
void api_entry_clear(kv_entry_t *entry);
/* A job goes from jobs/ to ended/ and never back: one that is found in neither, asked in that
 * order, had not been accepted when the first was asked. */
job_state_t api_look_up(request_t *request, const char *id, bool likely_live);
/* What this controller knows without asking: a final state, or whether it is probably live. */
job_state_t api_known_state(controller_t *controller, const char *id, bool *likely_live);

/* Status (api_status.c). */

/* The answer that tells a job's state. live_status: the HTTP status where it is live. */
reply_t api_status_reply(controller_t *controller, const char *id, job_state_t state,
                         unsigned live_status);
reply_t api_get_status(request_t *request, const char *id);
/* Whether a question about a job, or its abort, has its answer without the key-value store: the id
 * is none, the job's final state is known here, or the key-value store can't be asked. */
bool api_answer_at_once(const request_t *request, const char *id, bool *likely_live,
                        reply_t *reply);

/* Submissions and aborts (api_jobs.c). */

reply_t api_submit(request_t *request);
reply_t api_abort(request_t *request, const char *id);

/* Workers' heartbeats (api_reports.c). */

reply_t api_handle_worker_heartbeat(controller_t *controller, const request_t *request);

/* Health (api_health.c). */

/* With the lock held: others are served, or may be: whoever asks here should ask there, at once. */
bool api_is_isolated(const controller_t *controller);
/* Requests that can't be answered without the key-value store don't wait for it in vain. */
bool api_must_shed(controller_t *controller);
reply_t api_ready(controller_t *controller);

#endif
