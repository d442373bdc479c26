/* Serves users' status reads. */
#include "controller/api/status.h"

#include "controller/api/health.h"
#include "controller/api/kv_access.h"
#include "controller/api/status_batch.h"
#include "controller/controller.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* Returns how many of the job's tasks are done and outstanding: the leader's own counts if this
 * controller leads, otherwise those that the leader sent last. They may be out of date, so they
 * serve for display only. */
static job_counts_t job_counts_locked(const controller_t *controller, const char *id)
{
    if (!controller->membership.is_leader || !controller->placement.is_loaded)
        return job_counts_replica_get(&controller->jobs.counts, id);
    return leader_job_counts(controller->placement.leader, id);
}

static reply_t live_reply(controller_t *controller, const char *id)
{
    pthread_mutex_lock(&controller->lock);
    job_counts_t counts = job_counts_locked(controller, id);
    pthread_mutex_unlock(&controller->lock);
    const char *state = counts.outstanding ? "running" : "queued";
    return api_reply_json(HTTP_OK, codec_build_status(id, state, counts.done, counts.outstanding));
}

reply_t api_status_reply(controller_t *controller, const char *id, job_state_t state)
{
    switch (state) {
    case JOB_DONE:
        return api_reply_json(HTTP_OK, codec_build_status(id, "done", 0, 0));
    case JOB_CANCELLED:
        return api_reply_json(HTTP_OK, codec_build_status(id, "cancelled", 0, 0));
    case JOB_NOT_FOUND:
        return api_reply_refusal(HTTP_NOT_FOUND, "no such job", 0);
    case JOB_UNKNOWN:
        return api_reply_retry_later();
    case JOB_LIVE:
        break;
    }
    return live_reply(controller, id);
}

bool api_reply_without_lookup(const request_t *request, const char *id, const known_job_t *known,
                              reply_t *reply)
{
    controller_t *controller = request->controller;
    if (known->state != JOB_UNKNOWN) {
        *reply = api_status_reply(controller, id, known->state);
        return true;
    }
    if (!api_must_shed_load(controller))
        return false;
    *reply = api_reply_retry_later();
    return true;
}

static reply_t look_up_status(request_t *request, const char *id, bool is_likely_live)
{
    controller_t *controller = request->controller;
    if (!rate_limiter_take(&controller->api_request_limiter, 1, clock_steady()))
        return api_reply_refusal(HTTP_TOO_MANY_REQUESTS, "too many requests", 2);
    if (!api_acquire_kv_client(request))
        return api_reply_retry_later();
    msec_t started_at = clock_steady();
    job_state_t state = api_read_job_state(request, id, is_likely_live);
    metrics_time(controller->metrics, TIME_STATUS, clock_steady() - started_at);
    return api_status_reply(controller, id, state);
}

/* source: what the answer rests on. */
static reply_t log_answer(const char *id, const char *source, reply_t reply)
{
    log_debug("event=status_answered job=%s source=%s status=%u", id, source, reply.status);
    return reply;
}

reply_t api_get_status(request_t *request, const char *id)
{
    controller_t *controller = request->controller;
    known_job_t known = api_get_known_job(controller, id);
    reply_t reply;
    if (api_reply_without_lookup(request, id, &known, &reply))
        return log_answer(id, "memory", reply);
    live_check_t check =
        known.is_likely_live ? status_batch_check(request, id) : LIVE_CHECK_CHANGED;
    switch (check) {
    case LIVE_CHECK_LIVE:
        return log_answer(id, "status_batch", api_status_reply(controller, id, JOB_LIVE));
    case LIVE_CHECK_UNANSWERED:
        return log_answer(id, "none", api_reply_retry_later());
    case LIVE_CHECK_CHANGED:
        break;
    }
    return log_answer(id, "read", look_up_status(request, id, known.is_likely_live));
}
