/** @file
 * Users' submissions and aborts of jobs.
 *
 * All functions are called without the controller's lock.
 */
#ifndef PEPPERPULLEY_API_JOBS_H
#define PEPPERPULLEY_API_JOBS_H

#include "controller/api/request.h"

/** Serves POST /v2/runs: accepts the job in the request's body. The job's id is the idempotency
 * key: a repeat of an accepted submission gets the job's status. */
reply_t api_submit(request_t *request);

/** Serves POST /v2/runs/`<id>`/abort: cancels the job, unless it is over. The reply tells a
 * terminal state, or asks to retry later. */
reply_t api_abort(request_t *request, const char *id);

#endif
