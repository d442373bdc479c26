/* Users' submissions and aborts. */
#include "controller/api/api_internal.h"

#include <string.h>

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/codec/json_input.h"
#include "io/log.h"
#include "io/records.h"

/* A submission that can't be taken as it is: but if its id is that of an accepted job, it is a
 * repeat, whatever else it says. Reads for it are limited: anybody can send any number of these. */
static reply_t reject(request_t *request, const char *id, reply_t reply)
{
    controller_t *controller = request->controller;
    if (!codec_is_job_id(id))
        return reply;
    reply_t known;
    if (api_must_shed(controller))
        // NOLINTNEXTLINE(bugprone-branch-clone): the order of the questions counts
        known = api_retry_later();
    else if (!rate_limiter_take(&controller->api_request_limiter, 1, clock_steady()))
        known = api_refuse(HTTP_TOO_MANY_REQUESTS, "too many requests", 2);
    else if (!api_acquire_client(request))
        known = api_retry_later();
    else
        known = api_status_reply(controller, id, api_look_up(request, id, true), HTTP_OK);
    bool unknown = known.status == HTTP_NOT_FOUND;
    json_decref(unknown ? known.body : reply.body);
    return unknown ? reply : known;
}

/* An array runs as its team's limit permits, a task at a time if need be; any other job as a whole.
 */
static bool exceeds_quota(const job_spec_t *spec, const team_t *team)
{
    double tasks = spec->kind == KIND_ARRAY ? 1 : spec->tasks;
    return (team->max_cpus > 0 && tasks * spec->need.cpus > team->max_cpus + EPSILON) ||
           (team->max_gpus > 0 && tasks * spec->need.gpus > team->max_gpus + EPSILON);
}

static const char *find_quota_violation(controller_t *controller, const job_spec_t *spec,
                                        bool *undecided)
{
    const char *why = "unknown team";
    pthread_mutex_lock(&controller->lock);
    *undecided = controller->placement.machine_types->len == 0;
    for (guint i = 0; i < controller->settings->teams->len; i++) {
        const team_t *team = &g_array_index(controller->settings->teams, team_t, i);
        if (strcmp(team->name, spec->team) == 0)
            why = exceeds_quota(spec, team) ? "it needs more than the team's limit" : NULL;
    }
    if (!why && !job_spec_fits_some(spec, controller->placement.machine_types))
        why = "a task fits no allowed machine type";
    pthread_mutex_unlock(&controller->lock);
    return why;
}

static reply_t commit_job(request_t *request, const job_spec_t *spec)
{
    kv_txn_t txn = records_submit(spec);
    kv_result_t result = api_commit(request, &txn, NULL);
    kv_txn_free(&txn);
    if (result == KV_OK)
        log_info("event=job_accepted job=%s class=%s tasks=%u", spec->id, spec->class_name,
                 spec->tasks);
    if (result == KV_OK)
        return (reply_t){.status = HTTP_CREATED,
                         .body = codec_build_status(spec->id, "queued", 0, 0)};
    if (result == KV_NOT_EXECUTED)
        return api_retry_later();
    if (result == KV_INVALID)
        return reject(request, spec->id,
                      api_refuse(HTTP_BAD_REQUEST, "too large to be recorded", 0));
    job_state_t state = api_look_up(request, spec->id, true);
    if (state == JOB_NEVER)
        return api_retry_later(); /* no answer, and not applied so far */
    return api_status_reply(request->controller, spec->id, state, HTTP_OK);
}

static reply_t submit_job(request_t *request, job_spec_t *spec)
{
    controller_t *controller = request->controller;
    bool undecided = false;
    const char *never = find_quota_violation(controller, spec, &undecided);
    if (undecided)
        return reject(request, spec->id,
                      api_refuse(HTTP_UNAVAILABLE, "the machine types are not known yet", 1));
    if (never)
        return reject(request, spec->id, api_refuse(HTTP_UNPROCESSABLE, never, 0));
    if (api_must_shed(controller))
        return api_retry_later();
    if (!rate_limiter_take(&controller->api_write_limiter, 1, clock_steady()))
        return api_refuse(HTTP_TOO_MANY_REQUESTS, "too many submissions", 2);
    if (!api_acquire_client(request))
        return api_retry_later();
    spec->submitted_ms = clock_day();
    return commit_job(request, spec);
}

static reply_t submit(request_t *request)
{
    const GString *text = request->body;
    json_t *partial;
    json_t *body = json_input_load(text->str, text->len, &partial);
    char id[ID_BYTES];
    job_spec_t spec;
    g_autoptr(GError) error = NULL;
    bool valid = !request->is_too_long && codec_parse_job(body, false, &spec, &error);
    codec_get_submitted_id(partial, id, sizeof id);
    json_decref(body);
    json_decref(partial);
    if (valid) {
        reply_t reply = submit_job(request, &spec);
        job_spec_clear(&spec);
        return reply;
    }
    return reject(request, id,
                  api_refuse(HTTP_BAD_REQUEST,
                             request->is_too_long ? "the body is over 64 KiB" : error->message, 0));
}

reply_t api_submit(request_t *request)
{
    msec_t begun = clock_steady();
    reply_t reply = submit(request);
    metrics_time(request->controller->metrics, TIME_SUBMIT, clock_steady() - begun);
    return reply;
}

static kv_result_t commit_abort(request_t *request, const char *id, uint64_t revision,
                                uint32_t tasks)
{
    kv_txn_t txn = records_abort(id, revision, tasks);
    rate_limiter_charge(&request->controller->api_write_limiter,
                        (double)json_array_size(txn.changes), clock_steady());
    kv_result_t result = api_commit(request, &txn, NULL);
    kv_txn_free(&txn);
    return result;
}

static reply_t abort_with(request_t *request, const char *id)
{
    controller_t *controller = request->controller;
    kv_entry_t entry = {0};
    kv_result_t result = api_read_key(request, "jobs", id, &entry);
    if (result != KV_OK && result != KV_NOT_FOUND)
        return api_retry_later();
    if (result == KV_OK) {
        uint32_t tasks = codec_get_task_count(entry.value);
        result = commit_abort(request, id, entry.revision, tasks);
        api_entry_clear(&entry);
        if (result == KV_OK) {
            log_info("event=job_cancelled job=%s", id);
            return api_status_reply(controller, id,
                                    api_record_terminal_state(controller, id, false), HTTP_OK);
        }
        if (result != KV_CONFLICT && result != KV_INDETERMINATE)
            return api_retry_later();
    }
    /* It ended meanwhile, or the answer was lost: only a final state may be told. */
    job_state_t state = api_look_up(request, id, true);
    return state == JOB_LIVE ? api_retry_later() : api_status_reply(controller, id, state, HTTP_OK);
}

reply_t api_abort(request_t *request, const char *id)
{
    bool likely_live;
    reply_t reply;
    if (api_answer_at_once(request, id, &likely_live, &reply))
        return reply;
    return api_acquire_client(request) ? abort_with(request, id) : api_retry_later();
}
