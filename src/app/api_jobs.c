/* Users' submissions and aborts. */
#include "app/api_internal.h"

#include <string.h>

#include "io/clock.h"
#include "io/records.h"
#include "io/wire.h"
#include "log.h"

/* A submission that is wrong: but if its id is that of an accepted job, it is a retry. */
static reply_t reject(node_t *node, const char *id, unsigned status, const char *why)
{
    if (!id || !wire_id_valid(id))
        return api_refuse(status, why, 0);
    reply_t known = api_look_up_reply(node, id, HTTP_OK);
    if (known.status != HTTP_NOT_FOUND)
        return known;
    json_decref(known.body);
    return api_refuse(status, why, 0);
}

static const char *never_runs(node_t *node, const job_spec_t *spec, bool *undecided)
{
    const char *why = "unknown team";
    pthread_mutex_lock(&node->lock);
    *undecided = node->machine_types->len == 0;
    for (guint i = 0; i < node->settings->teams->len; i++) {
        const team_t *team = &g_array_index(node->settings->teams, team_t, i);
        if (strcmp(team->name, spec->team) != 0)
            continue;
        bool limited = (team->cpus_max > 0 && spec->need.cpus > team->cpus_max + EPSILON) ||
                       (team->gpus_max > 0 && spec->need.gpus > team->gpus_max + EPSILON);
        why = limited ? "a task needs more than the team's limit" : NULL;
    }
    if (!why && !job_spec_fits_some(spec, node->machine_types))
        why = "a task fits no allowed machine type";
    pthread_mutex_unlock(&node->lock);
    return why;
}

static reply_t commit_job(node_t *node, http_client_t *client, const job_spec_t *spec)
{
    uint64_t revision = 0;
    txn_t txn = records_submit(spec);
    state_result_t result =
        state_commit(&node->state, client, &txn, API_TIMEOUT_MS, &revision, NULL);
    txn_free(&txn);
    if (result == STATE_OK)
        log_info("event=accept job=%s class=%s tasks=%u", spec->id, spec->class_name, spec->tasks);
    if (result == STATE_OK)
        return (reply_t){.status = HTTP_CREATED,
                         .body = wire_build_status(spec->id, "queued", 0, 0)};
    if (result == STATE_REFUSED)
        return api_come_back();
    job_state_t state = api_look_up(node, client, spec->id, true);
    if (state == JOB_NEVER)
        return api_come_back(); /* no answer, and not applied so far */
    return api_status_reply(node, spec->id, state, HTTP_OK);
}

static reply_t submit(node_t *node, const request_t *request)
{
    if (request->too_long)
        return api_refuse(HTTP_BAD_REQUEST, "the body is over 64 KiB", 0);
    json_error_t problem;
    json_t *body = json_loadb(request->body->str, request->body->len, 0, &problem);
    if (!json_is_object(body)) {
        json_decref(body);
        return api_refuse(HTTP_BAD_REQUEST, "a JSON object is expected", 0);
    }
    job_spec_t spec;
    reason_t why;
    reply_t reply;
    bool undecided = false;
    const char *never = NULL;
    if (!wire_parse_job(body, false, &spec, &why)) {
        reply = reject(node, json_string_value(json_object_get(body, "Uid")), HTTP_BAD_REQUEST,
                       why.text);
        json_decref(body);
        return reply;
    }
    json_decref(body);
    never = never_runs(node, &spec, &undecided);
    if (undecided) {
        reply = api_refuse(HTTP_UNAVAILABLE, "the machine types are not known yet", 1);
    } else if (never) {
        reply = reject(node, spec.id, HTTP_UNPROCESSABLE, never);
    } else if (api_must_turn_away(node)) {
        reply = api_come_back();
    } else if (!rate_limiter_take(&node->api_write, 1, clock_steady())) {
        reply = api_refuse(HTTP_TOO_MANY_REQUESTS, "too many submissions", 2);
    } else {
        http_client_t *client = api_client_take(node);
        spec.submitted_ms = clock_day();
        rate_limiter_charge(&node->api_rps, 1, clock_steady());
        reply = client ? commit_job(node, client, &spec) : api_come_back();
        if (client)
            api_client_return(node, client);
    }
    job_spec_clear(&spec);
    return reply;
}

reply_t api_submit(node_t *node, const request_t *request)
{
    msec_t begun = clock_steady();
    reply_t reply = submit(node, request);
    metrics_time(node->metrics, TIME_SUBMIT, clock_steady() - begun);
    return reply;
}

static state_result_t commit_abort(node_t *node, http_client_t *client, const char *id,
                                   uint64_t revision, uint32_t tasks)
{
    txn_t txn = records_abort(id, revision, tasks);
    rate_limiter_charge(&node->api_rps, 1, clock_steady());
    rate_limiter_charge(&node->api_write, (double)json_array_size(txn.changes), clock_steady());
    state_result_t result = state_commit(&node->state, client, &txn, API_TIMEOUT_MS, NULL, NULL);
    txn_free(&txn);
    return result;
}

static reply_t abort_with(node_t *node, http_client_t *client, const char *id)
{
    state_entry_t entry = {0};
    state_result_t result = api_read_key(node, client, "jobs", id, &entry);
    if (result != STATE_OK && result != STATE_ABSENT)
        return api_come_back();
    if (result == STATE_OK) {
        uint32_t tasks = (uint32_t)json_integer_value(json_object_get(entry.value, "Pieces"));
        result = commit_abort(node, client, id, entry.revision, tasks);
        api_entry_clear(&entry);
        if (result == STATE_OK) {
            log_info("event=abort job=%s", id);
            return api_status_reply(node, id, api_remember_ended(node, id, false), HTTP_OK);
        }
        if (result != STATE_FAILED && result != STATE_UNKNOWN)
            return api_come_back();
    }
    /* It ended meanwhile, or the answer was lost: only a final state may be told. */
    job_state_t state = api_look_up(node, client, id, true);
    return state == JOB_LIVE ? api_come_back() : api_status_reply(node, id, state, HTTP_OK);
}

reply_t api_abort(node_t *node, const char *id)
{
    bool live;
    if (!wire_id_valid(id))
        return api_refuse(HTTP_NOT_FOUND, "no such job", 0);
    job_state_t state = api_known_state(node, id, &live);
    if (state != JOB_UNKNOWN)
        return api_status_reply(node, id, state, HTTP_OK);
    http_client_t *client = api_must_turn_away(node) ? NULL : api_client_take(node);
    if (!client)
        return api_come_back();
    reply_t reply = abort_with(node, client, id);
    api_client_return(node, client);
    return reply;
}
