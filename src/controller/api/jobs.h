/** @file
 * Serves users' submissions and aborts of jobs.
 *
 * All functions are called without the controller's lock.
 */
#ifndef PEPPERPULLEY_API_JOBS_H
#define PEPPERPULLEY_API_JOBS_H

#include "controller/api/request.h"

/** Serves POST /v2/runs: accepts the job in the request's body. The job's id is the idempotency
 * key: the reply to a repeat of an accepted submission is the job's status. */
reply_t api_submit(request_t *request);

/** Serves POST /v2/runs/`<id>`/abort: cancels the job unless it has ended. The reply contains a
 * terminal state, refuses an unknown id, or asks the client to retry later. */
reply_t api_abort(request_t *request, const char *id);

#endif
