/** @file
 * Serves users' status reads and builds replies with a job's state.
 *
 * All functions are called without the controller's lock.
 */
#ifndef PEPPERPULLEY_API_STATUS_H
#define PEPPERPULLEY_API_STATUS_H

#include "controller/api/job_state.h"
#include "controller/api/reply.h"

/** Returns the reply for a job in @p state: status 200 with the state if the job exists, 404 if it
 * was not found, or 503 if the state is JOB_UNKNOWN. */
reply_t api_status_reply(controller_t *controller, const char *id, job_state_t state);

/** Replies to a status read or an abort if no call to the key-value store is needed, because the id
 * is malformed, this controller knows the job's terminal state, or requests are being shed. Returns
 * true if it set @p reply; otherwise the caller must ask the key-value store.
 * @p known: the result of api_get_known_job(). */
bool api_reply_without_lookup(const request_t *request, const char *id, const known_job_t *known,
                              reply_t *reply);

/** Serves GET /v2/runs/`<id>`. */
reply_t api_get_status(request_t *request, const char *id);

#endif
