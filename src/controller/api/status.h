/** @file
 * Users' reads of a job's status.
 *
 * All functions are called without the controller's lock.
 */
#ifndef PEPPERPULLEY_API_STATUS_H
#define PEPPERPULLEY_API_STATUS_H

#include "controller/api/job_state.h"
#include "controller/api/reply.h"

/** Returns the reply that tells the job's state, with status 200 where the job exists. */
reply_t api_status_reply(controller_t *controller, const char *id, job_state_t state);

/** Replies to a status read or an abort that needs no call to the key-value store: the id is none,
 * the job's terminal state is known here, or requests are being shed. @p known is what
 * api_known_job() returned. Returns whether it set @p reply; if not, the key-value store decides.
 */
bool api_answer_at_once(const request_t *request, const char *id, const known_job_t *known,
                        reply_t *reply);

/** Serves GET /v2/runs/`<id>`. */
reply_t api_get_status(request_t *request, const char *id);

#endif
