/* Serves users' submissions and aborts of jobs. */
#include "controller/api/jobs.h"

#include <string.h>

#include "controller/api/health.h"
#include "controller/api/job_state.h"
#include "controller/api/kv_access.h"
#include "controller/api/status.h"
#include "controller/controller.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/codec/json_input.h"
#include "io/log.h"
#include "io/records.h"

/* The result of checking a submission against the team's quota and the machine types. */
typedef enum {
    SUBMISSION_ACCEPTABLE,
    SUBMISSION_UNDECIDED, /* the machine types are not known yet, so nothing can be decided */
    SUBMISSION_UNKNOWN_TEAM,
    SUBMISSION_OVER_QUOTA,
    SUBMISSION_FITS_NO_MACHINE
} submission_verdict_t;

/* Returns the status of the job if it was accepted earlier, 404 if it was not, or a refusal that
 * asks the client to retry. */
static reply_t look_up_accepted_job(request_t *request, const char *id)
{
    controller_t *controller = request->controller;
    if (api_must_shed_load(controller))
        return api_reply_retry_later();
    /* The rate of reads for unacceptable submissions is limited, because a client can send any
     * number of them. */
    if (!rate_limiter_take(&controller->api_request_limiter, 1, clock_steady()))
        return api_reply_refusal(HTTP_TOO_MANY_REQUESTS, "too many requests", 2);
    if (!api_acquire_kv_client(request))
        return api_reply_retry_later();
    return api_status_reply(controller, id, api_read_job_state(request, id, true));
}

/* Returns the reply to a submission that cannot be accepted. If its id is that of an accepted job,
 * the submission counts as a repeat, whatever its other fields contain, and the reply is that job's
 * status. Otherwise the reply is the refusal (transfer full), or asks the client to retry if it
 * cannot be determined whether the job was accepted. */
static reply_t refuse_unless_repeated(request_t *request, const char *id, reply_t refusal)
{
    if (!codec_is_job_id(id))
        return refusal;
    reply_t accepted = look_up_accepted_job(request, id);
    if (accepted.status == HTTP_NOT_FOUND) {
        api_reply_clear(&accepted);
        return refusal;
    }
    api_reply_clear(&refusal);
    return accepted;
}

/* Returns whether the job can never run within its team's quota. A job of kind KIND_ARRAY can run
 * one task at a time, so only a single task must fit. All tasks of any other job run at once. */
static bool exceeds_quota(const job_spec_t *spec, const team_t *team)
{
    double tasks = spec->kind == KIND_ARRAY ? 1 : spec->tasks;
    return (team->max_cpus > 0 && tasks * spec->need.cpus > team->max_cpus + RESOURCE_EPSILON) ||
           (team->max_gpus > 0 && tasks * spec->need.gpus > team->max_gpus + RESOURCE_EPSILON);
}

static submission_verdict_t check_team_quota(const controller_t *controller, const job_spec_t *spec)
{
    submission_verdict_t verdict = SUBMISSION_UNKNOWN_TEAM;
    for (guint i = 0; i < controller->settings->teams->len; i++) {
        const team_t *team = &g_array_index(controller->settings->teams, team_t, i);
        if (strcmp(team->name, spec->team) == 0)
            verdict = exceeds_quota(spec, team) ? SUBMISSION_OVER_QUOTA : SUBMISSION_ACCEPTABLE;
    }
    return verdict;
}

static submission_verdict_t check_submission(controller_t *controller, const job_spec_t *spec)
{
    submission_verdict_t verdict = check_team_quota(controller, spec);
    pthread_mutex_lock(&controller->lock);
    const GArray *machine_types = controller->placement.machine_types;
    if (machine_types->len == 0)
        verdict = SUBMISSION_UNDECIDED;
    else if (verdict == SUBMISSION_ACCEPTABLE && !job_spec_fits_any_type(spec, machine_types))
        verdict = SUBMISSION_FITS_NO_MACHINE;
    pthread_mutex_unlock(&controller->lock);
    return verdict;
}

static reply_t commit_job(request_t *request, const job_spec_t *spec)
{
    kv_txn_t txn = records_build_submission(spec);
    kv_result_t result = api_commit(request, &txn, NULL);
    kv_txn_free(&txn);
    switch (result) {
    case KV_OK:
        log_info("event=job_accepted job=%s class=%s tasks=%u", spec->id, spec->class_name,
                 spec->tasks);
        return api_reply_json(HTTP_CREATED, codec_build_status(spec->id, "queued", 0, 0));
    case KV_NOT_EXECUTED:
        return api_reply_retry_later();
    case KV_INVALID:
        return refuse_unless_repeated(
            request, spec->id, api_reply_refusal(HTTP_BAD_REQUEST, "too large to be recorded", 0));
    case KV_CONFLICT:
    case KV_NOT_FOUND:
    case KV_INDETERMINATE:
    case KV_COMPACTED:
        break;
    }
    job_state_t state = api_read_job_state(request, spec->id, true);
    if (state == JOB_NOT_FOUND)
        return api_reply_retry_later(); /* the commit was not answered and has not been executed so
                                           far */
    return api_status_reply(request->controller, spec->id, state);
}

static reply_t submit_acceptable_job(request_t *request, job_spec_t *spec)
{
    controller_t *controller = request->controller;
    if (api_must_shed_load(controller))
        return api_reply_retry_later();
    if (!rate_limiter_take(&controller->api_write_limiter, 1, clock_steady()))
        return api_reply_refusal(HTTP_TOO_MANY_REQUESTS, "too many submissions", 2);
    if (!api_acquire_kv_client(request))
        return api_reply_retry_later();
    spec->submitted_ms = clock_realtime();
    return commit_job(request, spec);
}

static reply_t refuse_unprocessable(request_t *request, const char *id, const char *message)
{
    return refuse_unless_repeated(request, id, api_reply_refusal(HTTP_UNPROCESSABLE, message, 0));
}

static reply_t submit_parsed_job(request_t *request, job_spec_t *spec)
{
    switch (check_submission(request->controller, spec)) {
    case SUBMISSION_UNDECIDED:
        return refuse_unless_repeated(
            request, spec->id,
            api_reply_refusal(HTTP_UNAVAILABLE, "the machine types are not known yet", 1));
    case SUBMISSION_UNKNOWN_TEAM:
        return refuse_unprocessable(request, spec->id, "unknown team");
    case SUBMISSION_OVER_QUOTA:
        return refuse_unprocessable(request, spec->id, "it needs more than the team's limit");
    case SUBMISSION_FITS_NO_MACHINE:
        return refuse_unprocessable(request, spec->id, "a task fits no allowed machine type");
    case SUBMISSION_ACCEPTABLE:
        break;
    }
    return submit_acceptable_job(request, spec);
}

static reply_t parse_and_submit(request_t *request)
{
    const GString *text = request->body;
    json_t *partial;
    json_t *body = json_input_load(text->str, text->len, &partial);
    char id[ID_BYTES];
    job_spec_t spec;
    g_autoptr(GError) error = NULL;
    bool is_valid = !request->is_body_too_long && codec_parse_job(body, false, &spec, &error);
    codec_get_submitted_id(partial, id, sizeof id);
    json_decref(body);
    json_decref(partial);
    if (is_valid) {
        reply_t reply = submit_parsed_job(request, &spec);
        job_spec_clear(&spec);
        return reply;
    }
    const char *message = request->is_body_too_long ? "the body is over 64 KiB" : error->message;
    return refuse_unless_repeated(request, id, api_reply_refusal(HTTP_BAD_REQUEST, message, 0));
}

reply_t api_submit(request_t *request)
{
    msec_t started_at = clock_steady();
    reply_t reply = parse_and_submit(request);
    metrics_time(request->controller->metrics, TIME_SUBMIT, clock_steady() - started_at);
    return reply;
}

static kv_result_t commit_cancellation(request_t *request, const char *id, uint64_t revision,
                                       uint32_t tasks)
{
    kv_txn_t txn = records_build_cancellation(id, revision, tasks);
    rate_limiter_charge(&request->controller->api_write_limiter,
                        (double)json_array_size(txn.changes), clock_steady());
    kv_result_t result = api_commit(request, &txn, NULL);
    kv_txn_free(&txn);
    return result;
}

/* The result of an attempt to cancel a job. */
typedef enum {
    CANCEL_COMMITTED,
    CANCEL_NOT_EXECUTED,
    CANCEL_UNDECIDED /* the job is not live, or the commit was not answered; the job's state must be
                        read */
} cancel_result_t;

static cancel_result_t cancel_if_live(request_t *request, const char *id)
{
    kv_entry_t entry = {0};
    kv_result_t result = api_read_key(request, "jobs", id, &entry);
    if (result == KV_NOT_FOUND)
        return CANCEL_UNDECIDED;
    if (result != KV_OK)
        return CANCEL_NOT_EXECUTED;
    uint32_t tasks = codec_get_task_count(entry.value);
    result = commit_cancellation(request, id, entry.revision, tasks);
    api_entry_clear(&entry);
    switch (result) {
    case KV_OK:
        return CANCEL_COMMITTED;
    case KV_CONFLICT:
    case KV_INDETERMINATE:
        return CANCEL_UNDECIDED;
    case KV_NOT_FOUND:
    case KV_NOT_EXECUTED:
    case KV_COMPACTED:
    case KV_INVALID:
        break;
    }
    return CANCEL_NOT_EXECUTED;
}

static reply_t cancel_job(request_t *request, const char *id)
{
    controller_t *controller = request->controller;
    job_state_t state = JOB_UNKNOWN;
    switch (cancel_if_live(request, id)) {
    case CANCEL_COMMITTED:
        log_info("event=job_cancelled job=%s", id);
        state = api_record_terminal_state(controller, id, false);
        return api_status_reply(controller, id, state);
    case CANCEL_NOT_EXECUTED:
        return api_reply_retry_later();
    case CANCEL_UNDECIDED:
        break;
    }
    /* A successful reply to an abort always names a terminal state. */
    state = api_read_job_state(request, id, true);
    return state == JOB_LIVE ? api_reply_retry_later() : api_status_reply(controller, id, state);
}

reply_t api_abort(request_t *request, const char *id)
{
    known_job_t known = api_get_known_job(request->controller, id);
    reply_t reply;
    if (api_reply_without_lookup(request, id, &known, &reply))
        return reply;
    return api_acquire_kv_client(request) ? cancel_job(request, id) : api_reply_retry_later();
}
