/* Users and workers over HTTP.
 *
 * A few threads of the HTTP server hold all connections and answer what needs no other service:
 * reports and /ready. What may have to wait for the state service is put into a queue, served by
 * threads of its own; its connection rests meanwhile. So no user's request ever stands before a
 * worker's report, and the number of threads does not grow with the fleet. (A thread a connection
 * was the form before: at 600 machines one controller's accepting thread stopped for good now and
 * then, in waiting for a thread that had ended.)
 *
 * Users' requests go straight against the state service; only a rate limiter stands between. What a
 * node has told a user, no node may take back: live answers are read afresh each time, and only
 * final states are kept. */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>

#include "app/node.h"
#include "io/clock.h"
#include "io/json_input.h"
#include "io/records.h"
#include "io/wire.h"
#include "log.h"

/* An answer to be sent; body may be NULL. */
typedef struct {
    unsigned status;
    json_t *body;
    unsigned retry_after_s; /* 0: none */
    char *text;             /* instead of body; owned */
} reply_t;

/* A request: its body while it arrives, then, if it has to wait, what serves it. One that gets no
 * connection or no answer by its deadline is given up, and its user told so at that moment: nobody
 * is kept waiting for an answer that is known already. */
typedef struct {
    node_t *node;
    GString *body; /* of a body that is too long, how it begins */
    bool too_long;
    struct MHD_Connection *connection;
    http_client_t *client; /* its connection to the state service; NULL: not yet */
    msec_t wait_deadline;  /* given up without such a connection by then */
    msec_t deadline;       /* given up without an answer of the state service by then */
    char method[8];
    char path[REQUEST_PATH];
    bool answered; /* reply stands; it was not sent yet */
    reply_t reply;
} request_t;

typedef enum { JOB_UNKNOWN, JOB_LIVE, JOB_DONE, JOB_CANCELLED, JOB_NEVER } job_state_t;

static reply_t refuse(unsigned status, const char *why, unsigned retry_after_s)
{
    return (reply_t){
        .status = status, .body = json_pack("{s:s}", "error", why), .retry_after_s = retry_after_s};
}

static reply_t come_back(void)
{
    return refuse(503, "the state service can't be asked now", 1);
}

/* Whether the request has a connection to the state service: it waits for one within its limit. */
static bool acquire_client(request_t *request)
{
    node_t *node = request->node;
    msec_t now = clock_steady();
    pthread_mutex_lock(&node->lock);
    while (!request->client && node->api_clients_free == 0 && now < request->wait_deadline) {
        node_wait(node, &node->clients, request->wait_deadline - now);
        now = clock_steady();
    }
    if (!request->client && node->api_clients_free > 0)
        request->client = node->api_clients[--node->api_clients_free];
    pthread_mutex_unlock(&node->lock);
    return request->client != NULL;
}

static void release_client(request_t *request)
{
    node_t *node = request->node;
    if (!request->client)
        return;
    pthread_mutex_lock(&node->lock);
    node->api_clients[node->api_clients_free++] = request->client;
    request->client = NULL;
    pthread_cond_signal(&node->clients);
    pthread_mutex_unlock(&node->lock);
}

/* How long the next call to the state service may take; 0: it is not worth asking. */
static long call_ms(const request_t *request)
{
    return (long)CLAMP(request->deadline - clock_steady(), 0, API_TIMEOUT_MS);
}

static state_result_t commit(request_t *request, const txn_t *txn, GPtrArray *failed)
{
    node_t *node = request->node;
    long timeout_ms = call_ms(request);
    if (timeout_ms == 0)
        return STATE_REFUSED;
    rate_limiter_charge(&node->api_rps, 1, clock_steady());
    return state_commit(&node->state, request->client, txn, timeout_ms, NULL, failed);
}

/* Every road on which a user can be told a final state begins here: it is known to the other
 * threads, and noted for the siblings, before it can be told. */
static job_state_t remember_ended(node_t *node, const char *id, bool done)
{
    pthread_mutex_lock(&node->lock);
    node_remember(node, id, done);
    pthread_mutex_unlock(&node->lock);
    return done ? JOB_DONE : JOB_CANCELLED;
}

static state_result_t read_key(request_t *request, const char *prefix, const char *id,
                               state_entry_t *entry)
{
    char key[128];
    long timeout_ms = call_ms(request);
    if (timeout_ms == 0)
        return STATE_REFUSED;
    g_snprintf(key, sizeof key, "%s/%s", prefix, id);
    rate_limiter_charge(&request->node->api_rps, 1, clock_steady());
    return state_get(&request->node->state, request->client, key, timeout_ms, entry);
}

static void entry_clear(state_entry_t *entry)
{
    g_free(entry->key);
    json_decref(entry->value);
    *entry = (state_entry_t){0};
}

static job_state_t read_ended(request_t *request, const char *id)
{
    state_entry_t entry = {0};
    state_result_t result = read_key(request, "ended", id, &entry);
    if (result == STATE_ABSENT)
        return JOB_NEVER;
    if (result != STATE_OK)
        return JOB_UNKNOWN;
    const char *state = json_string_value(json_object_get(entry.value, "Trim"));
    bool done = g_strcmp0(state, "done") == 0;
    entry_clear(&entry);
    return remember_ended(request->node, id, done);
}

static job_state_t read_live(request_t *request, const char *id)
{
    state_entry_t entry = {0};
    state_result_t result = read_key(request, "jobs", id, &entry);
    entry_clear(&entry);
    return result == STATE_OK ? JOB_LIVE : result == STATE_ABSENT ? JOB_NEVER : JOB_UNKNOWN;
}

/* A job goes from jobs/ to ended/ and never back: one that is found in neither, asked in that
 * order, had not been accepted when the first was asked. */
static job_state_t look_up(request_t *request, const char *id, bool likely_live)
{
    job_state_t state = likely_live ? JOB_NEVER : read_ended(request, id);
    if (state == JOB_NEVER)
        state = read_live(request, id);
    if (state == JOB_NEVER)
        state = read_ended(request, id);
    return state;
}

/* With the lock held: for display, as the leader counts now or counted a moment ago. */
static job_counts_t job_counts(const node_t *node, const char *id)
{
    if (!node->leading || !node->loaded)
        return job_counts_replica_get(&node->job_counts, id);
    const job_t *job = g_hash_table_lookup(node->leader->jobs, id);
    return job ? (job_counts_t){.done = job->done_count, .outstanding = job->outstanding_count}
               : (job_counts_t){0};
}

static reply_t status_reply(node_t *node, const char *id, job_state_t state, unsigned live_status)
{
    if (state == JOB_DONE || state == JOB_CANCELLED)
        return (reply_t){.status = 200,
                         .body =
                             wire_build_status(id, state == JOB_DONE ? "done" : "cancelled", 0, 0)};
    if (state == JOB_NEVER)
        return refuse(404, "no such job", 0);
    if (state == JOB_UNKNOWN)
        return come_back();
    pthread_mutex_lock(&node->lock);
    job_counts_t counts = job_counts(node, id);
    pthread_mutex_unlock(&node->lock);
    return (reply_t){.status = live_status,
                     .body = wire_build_status(id, counts.outstanding ? "running" : "queued",
                                               counts.done, counts.outstanding)};
}

/* What this node knows without asking: a final state, or whether it is probably live. */
static job_state_t known_state(node_t *node, const char *id, bool *likely_live)
{
    pthread_mutex_lock(&node->lock);
    ended_t ended = (ended_t)GPOINTER_TO_INT(g_hash_table_lookup(node->ended, id));
    *likely_live = g_hash_table_contains(node->jobs, id);
    pthread_mutex_unlock(&node->lock);
    return ended == ENDED_UNKNOWN ? JOB_UNKNOWN : ended == ENDED_DONE ? JOB_DONE : JOB_CANCELLED;
}

/* Compares the revisions of all that is asked, in as few requests as go. A job's key is written
 * once, so one whose revision still holds is live; one that fails may have ended and is left to be
 * looked up. */
static void compare_live(request_t *request, inquiry_t *inquiry)
{
    guint most = 4 * request->node->settings->txn_ops;
    bool more = g_hash_table_size(inquiry->asked) > 0;
    while (more) {
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        GHashTableIter iter;
        gpointer id, revision;
        txn_t txn = txn_new();
        g_hash_table_iter_init(&iter, inquiry->asked);
        while (json_array_size(txn.conditions) < most &&
               g_hash_table_iter_next(&iter, &id, &revision)) {
            char key[128];
            g_snprintf(key, sizeof key, "jobs/%s", (char *)id);
            txn_if(&txn, key, GPOINTER_TO_SIZE(revision));
        }
        state_result_t result = commit(request, &txn, failed);
        for (size_t i = 0; result == STATE_OK && i < json_array_size(txn.conditions); i++) {
            const char *key =
                json_string_value(json_object_get(json_array_get(txn.conditions, i), "K"));
            g_hash_table_add(inquiry->live, g_strdup(key + strlen("jobs/")));
            g_hash_table_remove(inquiry->asked, key + strlen("jobs/"));
        }
        for (guint i = 0; i < failed->len; i++)
            g_hash_table_remove(inquiry->asked,
                                (char *)g_ptr_array_index(failed, i) + strlen("jobs/"));
        more = (result == STATE_OK || (result == STATE_FAILED && failed->len > 0)) &&
               g_hash_table_size(inquiry->asked) > 0;
        txn_free(&txn);
        g_ptr_array_unref(failed);
    }
}

static void run_inquiry(request_t *request, inquiry_t *inquiry)
{
    node_t *node = request->node;
    node_sleep(STATUS_GATHER_MS);
    pthread_mutex_lock(&node->lock);
    node->inquiry = NULL; /* later questions must be asked later */
    pthread_mutex_unlock(&node->lock);
    if (acquire_client(request))
        compare_live(request, inquiry);
    pthread_mutex_lock(&node->lock);
    inquiry->done = true;
    pthread_cond_broadcast(&node->inquiries);
    pthread_mutex_unlock(&node->lock);
}

/* With the lock held: an inquiry that still takes questions, with this one. */
static inquiry_t *join_inquiry(node_t *node, const known_job_t *job)
{
    if (!node->inquiry) {
        node->inquiry = g_new0(inquiry_t, 1);
        node->inquiry->asked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        node->inquiry->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    inquiry_t *inquiry = node->inquiry;
    g_hash_table_insert(inquiry->asked, g_strdup(job->spec.id), GSIZE_TO_POINTER(job->revision));
    inquiry->waiting++;
    return inquiry;
}

static void leave_inquiry(inquiry_t *inquiry)
{
    if (--inquiry->waiting > 0)
        return;
    g_hash_table_unref(inquiry->asked);
    g_hash_table_unref(inquiry->live);
    g_free(inquiry);
}

typedef enum {
    LIVE_CHECK_LIVE,
    LIVE_CHECK_CHANGED,   /* it may be over */
    LIVE_CHECK_UNANSWERED /* refused, or no answer in time: whoever asks again had better ask later
                           */
} live_check_t;

/* Whether the job is live, asked of the state service after the call began, with others at once. */
static live_check_t check_live(request_t *request, const char *id)
{
    node_t *node = request->node;
    pthread_mutex_lock(&node->lock);
    const known_job_t *job = g_hash_table_lookup(node->jobs, id);
    if (!job) {
        pthread_mutex_unlock(&node->lock);
        return LIVE_CHECK_CHANGED;
    }
    bool first = node->inquiry == NULL;
    inquiry_t *inquiry = join_inquiry(node, job);
    pthread_mutex_unlock(&node->lock);
    if (first)
        run_inquiry(request, inquiry);
    pthread_mutex_lock(&node->lock);
    msec_t now = clock_steady();
    while (!inquiry->done && now < request->deadline) {
        node_wait(node, &node->inquiries, request->deadline - now);
        now = clock_steady();
    }
    live_check_t result = LIVE_CHECK_CHANGED;
    if (!inquiry->done || g_hash_table_contains(inquiry->asked, id))
        result = LIVE_CHECK_UNANSWERED;
    else if (g_hash_table_contains(inquiry->live, id))
        result = LIVE_CHECK_LIVE;
    leave_inquiry(inquiry);
    pthread_mutex_unlock(&node->lock);
    return result;
}

/* With the lock held: others are served, or may be: whoever asks here should ask there, at once. */
static bool is_shut_out(const node_t *node)
{
    connectivity_t connectivity = node_connectivity(node);
    connectivity_state_t state = connectivity_judge(&connectivity, clock_steady());
    return state == CONNECTIVITY_REFUSED || state == CONNECTIVITY_NONE;
}

/* Requests that can't be answered without the state service don't wait for it in vain. */
static bool must_turn_away(node_t *node)
{
    pthread_mutex_lock(&node->lock);
    bool shut_out = is_shut_out(node);
    pthread_mutex_unlock(&node->lock);
    return shut_out;
}

static reply_t get_status(request_t *request, const char *id)
{
    node_t *node = request->node;
    bool live;
    if (!wire_id_valid(id))
        return refuse(404, "no such job", 0);
    job_state_t state = known_state(node, id, &live);
    if (state != JOB_UNKNOWN)
        return status_reply(node, id, state, 200);
    if (must_turn_away(node))
        return come_back();
    live_check_t check = live ? check_live(request, id) : LIVE_CHECK_CHANGED;
    if (check == LIVE_CHECK_LIVE)
        return status_reply(node, id, JOB_LIVE, 200);
    if (check == LIVE_CHECK_UNANSWERED)
        return come_back();
    if (!rate_limiter_take(&node->api_rps, 1, clock_steady()))
        return refuse(429, "too many requests", 2);
    if (!acquire_client(request))
        return come_back();
    msec_t begun = clock_steady();
    state = look_up(request, id, live);
    metrics_time(node->metrics, TIME_STATUS, clock_steady() - begun);
    return status_reply(node, id, state, 200);
}

/* A submission that can't be taken as it is: but if its id is that of an accepted job, it is a
 * repeat, whatever else it says. Reads for it are limited: anybody can send any number of these. */
static reply_t reject(request_t *request, const char *id, reply_t reply)
{
    node_t *node = request->node;
    if (!wire_id_valid(id))
        return reply;
    reply_t known;
    if (must_turn_away(node))
        known = come_back();
    else if (!rate_limiter_take(&node->api_rps, 1, clock_steady()))
        known = refuse(429, "too many requests", 2);
    else if (!acquire_client(request))
        known = come_back();
    else
        known = status_reply(node, id, look_up(request, id, true), 200);
    bool unknown = known.status == 404;
    json_decref(unknown ? known.body : reply.body);
    return unknown ? reply : known;
}

/* An array runs as its team's limit permits, a task at a time if need be; any other job as a whole.
 */
static bool is_above_limit(const job_spec_t *spec, const team_t *team)
{
    double tasks = spec->kind == KIND_ARRAY ? 1 : spec->tasks;
    return (team->cpus_max > 0 && tasks * spec->need.cpus > team->cpus_max + EPSILON) ||
           (team->gpus_max > 0 && tasks * spec->need.gpus > team->gpus_max + EPSILON);
}

static const char *never_runs(node_t *node, const job_spec_t *spec, bool *undecided)
{
    const char *why = "unknown team";
    pthread_mutex_lock(&node->lock);
    *undecided = node->machine_types->len == 0;
    for (guint i = 0; i < node->settings->teams->len; i++) {
        const team_t *team = &g_array_index(node->settings->teams, team_t, i);
        if (strcmp(team->name, spec->team) == 0)
            why = is_above_limit(spec, team) ? "it needs more than the team's limit" : NULL;
    }
    if (!why && !job_spec_fits_some(spec, node->machine_types))
        why = "a task fits no allowed machine type";
    pthread_mutex_unlock(&node->lock);
    return why;
}

static reply_t commit_job(request_t *request, const job_spec_t *spec)
{
    txn_t txn = records_submit(spec);
    state_result_t result = commit(request, &txn, NULL);
    txn_free(&txn);
    if (result == STATE_OK)
        log_info("event=accept job=%s class=%s tasks=%u", spec->id, spec->class_name, spec->tasks);
    if (result == STATE_OK)
        return (reply_t){.status = 201, .body = wire_build_status(spec->id, "queued", 0, 0)};
    if (result == STATE_REFUSED)
        return come_back();
    if (result == STATE_INVALID)
        return reject(request, spec->id, refuse(400, "too large to be recorded", 0));
    job_state_t state = look_up(request, spec->id, true);
    if (state == JOB_NEVER)
        return come_back(); /* no answer, and not applied so far */
    return status_reply(request->node, spec->id, state, 200);
}

static reply_t submit_job(request_t *request, job_spec_t *spec)
{
    node_t *node = request->node;
    bool undecided = false;
    const char *never = never_runs(node, spec, &undecided);
    if (undecided)
        return reject(request, spec->id, refuse(503, "the machine types are not known yet", 1));
    if (never)
        return reject(request, spec->id, refuse(422, never, 0));
    if (must_turn_away(node))
        return come_back();
    if (!rate_limiter_take(&node->api_write, 1, clock_steady()))
        return refuse(429, "too many submissions", 2);
    if (!acquire_client(request))
        return come_back();
    spec->submitted_ms = clock_day();
    return commit_job(request, spec);
}

/* The job that the submission is about, as far as that can be read. */
static void read_id(const request_t *request, const json_t *body, char *id, gsize size)
{
    const json_t *value = json_object_get(body, "Uid");
    const char *text = json_string_value(value);
    id[0] = '\0';
    if (text && strlen(text) == json_string_length(value))
        g_strlcpy(id, text, size);
    else if (!body)
        json_input_find(request->body->str, request->body->len, "Uid", id, size);
}

static reply_t submit(request_t *request)
{
    const GString *text = request->body;
    json_t *body = request->too_long ? NULL : json_input_load(text->str, text->len);
    char id[ID_SIZE];
    job_spec_t spec;
    reason_t why = {"a JSON object is expected"};
    bool valid = wire_parse_job(body, false, &spec, &why);
    read_id(request, body, id, sizeof id);
    json_decref(body);
    if (valid) {
        reply_t reply = submit_job(request, &spec);
        job_spec_clear(&spec);
        return reply;
    }
    return reject(request, id,
                  refuse(400, request->too_long ? "the body is over 64 KiB" : why.text, 0));
}

static reply_t timed_submit(request_t *request)
{
    msec_t begun = clock_steady();
    reply_t reply = submit(request);
    metrics_time(request->node->metrics, TIME_SUBMIT, clock_steady() - begun);
    return reply;
}

static state_result_t commit_abort(request_t *request, const char *id, uint64_t revision,
                                   uint32_t tasks)
{
    txn_t txn = records_abort(id, revision, tasks);
    rate_limiter_charge(&request->node->api_write, (double)json_array_size(txn.changes),
                        clock_steady());
    state_result_t result = commit(request, &txn, NULL);
    txn_free(&txn);
    return result;
}

static reply_t abort_with(request_t *request, const char *id)
{
    node_t *node = request->node;
    state_entry_t entry = {0};
    state_result_t result = read_key(request, "jobs", id, &entry);
    if (result != STATE_OK && result != STATE_ABSENT)
        return come_back();
    if (result == STATE_OK) {
        uint32_t tasks = (uint32_t)json_integer_value(json_object_get(entry.value, "Pieces"));
        result = commit_abort(request, id, entry.revision, tasks);
        entry_clear(&entry);
        if (result == STATE_OK) {
            log_info("event=abort job=%s", id);
            return status_reply(node, id, remember_ended(node, id, false), 200);
        }
        if (result != STATE_FAILED && result != STATE_UNKNOWN)
            return come_back();
    }
    /* It ended meanwhile, or the answer was lost: only a final state may be told. */
    job_state_t state = look_up(request, id, true);
    return state == JOB_LIVE ? come_back() : status_reply(node, id, state, 200);
}

static reply_t abort_job(request_t *request, const char *id)
{
    node_t *node = request->node;
    bool live;
    if (!wire_id_valid(id))
        return refuse(404, "no such job", 0);
    job_state_t state = known_state(node, id, &live);
    if (state != JOB_UNKNOWN)
        return status_reply(node, id, state, 200);
    return !must_turn_away(node) && acquire_client(request) ? abort_with(request, id) : come_back();
}

static reply_t ready(node_t *node)
{
    pthread_mutex_lock(&node->lock);
    /* Refused alone, this node should get no users; in an outage of all, all stay: each removal
     * by the load balancer lasts longer than the one before. */
    bool able = node->machine_types->len > 0 && node->jobs_synced && !is_shut_out(node);
    pthread_mutex_unlock(&node->lock);
    return able ? (reply_t){.status = 200, .body = json_pack("{s:b}", "ready", 1)}
                : refuse(503, "starting", 1);
}

/* A worker that this node does not own: sent to the owner or, if it can't reach that, kept alive
 * here: no starts, but stops for what is cancelled. */
static reply_t redirect_worker(node_t *node, const report_t *report, const member_t *owner,
                               msec_t now)
{
    char key[ID_SIZE + 24];
    g_snprintf(key, sizeof key, "%s#%" G_GUINT64_FORMAT, owner->name, owner->incarnation);
    redirection_verdict_t verdict = redirection_report(node->redirection, report, key, now);
    if (verdict == REDIRECTION_STALE)
        return refuse(503, "an old report", 0);
    if (verdict == REDIRECTION_TO_OWNER)
        return (reply_t){.status = 421, .body = json_pack("{s:s}", "Bosun", owner->name)};
    log_debug("event=retained machine=%s", report->machine);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    redirection_stop_ended(report, node->jobs, commands);
    reply_t reply = {.status = 200, .body = wire_build_commands(node->view.number, commands)};
    g_array_unref(commands);
    return reply;
}

/* An answer renews the lease of all that runs there, so it always stops what users were told is
 * cancelled: also where the partition is not loaded, for as long as the state service is away, and
 * where nothing is taken of the report. */
static reply_t answer_own(node_t *node, const report_t *report, msec_t now)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    report_verdict_t verdict = REPORT_UNPROVEN;
    reply_t reply;
    if (node->loaded) {
        partition_pause_starts(node->partition, !node_may_start(node, now));
        verdict = partition_report(node->partition, report, false, now, commands);
    }
    if (verdict == REPORT_STALE) {
        reply = refuse(503, "an old report", 0);
    } else {
        if (verdict != REPORT_TAKEN)
            redirection_stop_ended(report, node->jobs, commands);
        reply = (reply_t){.status = 200, .body = wire_build_commands(node->view.number, commands)};
        node_notify(node);
    }
    g_array_unref(commands);
    return reply;
}

static reply_t take_report(node_t *node, const report_t *report)
{
    msec_t now = clock_steady();
    metrics_count(node->metrics, COUNT_REPORTS, 1);
    /* A higher token is out: this node's view is old, and a 200 from it would be dropped while it
     * holds the worker here. Silence about aborts ends the answers as well. */
    if (node->view.count == 0 || MAX(report->token, node->superseded) > node->view.number)
        return refuse(503, "not entitled now", 0);
    if (!node_may_renew(node, now)) {
        /* It lives, though its lease may not be renewed: after an outage, machines that were only
         * refused must not be taken for dead. */
        if (node->loaded)
            partition_note_alive(node->partition, report, now);
        return refuse(503, "not entitled now", 0);
    }
    guint owner = node_owner(node, report->machine, report->zone);
    metrics_count(node->metrics, COUNT_REPORTS_NOT_OWNED, owner != node->own);
    if (owner != node->own)
        return redirect_worker(node, report, &node->view.members[owner], now);
    return answer_own(node, report, now);
}

static reply_t hello(node_t *node, const request_t *request)
{
    report_t report;
    reason_t why = {"not JSON"};
    json_t *body =
        request->too_long ? NULL : json_input_load(request->body->str, request->body->len);
    bool valid = body && wire_parse_report(body, &report, &why);
    json_decref(body);
    if (!valid)
        return refuse(400, why.text, 0);
    pthread_mutex_lock(&node->lock);
    reply_t reply = take_report(node, &report);
    pthread_mutex_unlock(&node->lock);
    report_clear(&report);
    return reply;
}

static reply_t route_run(request_t *request, const char *method, const char *rest)
{
    char id[ID_SIZE];
    const char *slash = strchr(rest, '/');
    gsize length = slash ? (gsize)(slash - rest) : strlen(rest);
    if (length == 0 || length >= sizeof id)
        return refuse(404, "no such job", 0);
    memcpy(id, rest, length);
    id[length] = '\0';
    if (!slash)
        return strcmp(method, "GET") == 0 ? get_status(request, id)
                                          : refuse(405, "only GET is known here", 0);
    if (strcmp(slash, "/abort") == 0)
        return strcmp(method, "POST") == 0 ? abort_job(request, id)
                                           : refuse(405, "only POST is known here", 0);
    return refuse(404, "no such path", 0);
}

static reply_t route(request_t *request, const char *method, const char *path)
{
    node_t *node = request->node;
    static const char runs[] = "/v2/runs/";
    if (strcmp(path, "/hello") == 0 && strcmp(method, "POST") == 0)
        return hello(node, request);
    if (strcmp(path, "/ready") == 0 && strcmp(method, "GET") == 0)
        return ready(node);
    if (strcmp(path, "/v2/runs") == 0 && strcmp(method, "POST") == 0)
        return timed_submit(request);
    if (strcmp(path, "/metrics") == 0 && strcmp(method, "GET") == 0)
        return (reply_t){.status = 200, .text = metrics_text(node->metrics)};
    if (g_str_has_prefix(path, runs))
        return route_run(request, method, path + strlen(runs));
    return refuse(404, "no such path", 0);
}

static void count_reply(node_t *node, const reply_t *reply)
{
    if (reply->status == 201)
        metrics_count(node->metrics, COUNT_SUBMITTED, 1);
    else if (reply->status == 429 || reply->status == 503)
        metrics_count(node->metrics, COUNT_COME_BACK, 1);
    else if (reply->status >= 400 && reply->status != 421)
        metrics_count(node->metrics, COUNT_REFUSED, 1);
}

/* close: the connection is given up after this answer. */
static enum MHD_Result send_reply(struct MHD_Connection *connection, reply_t reply, bool close)
{
    char *text =
        reply.body ? json_dumps(reply.body, JSON_COMPACT | JSON_REAL_PRECISION(9)) : reply.text;
    json_decref(reply.body);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(text ? strlen(text) : 0, text ? text : (char *)"",
                                        text ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(response, "Content-Type",
                            reply.text ? "text/plain" : "application/json");
    if (close)
        MHD_add_response_header(response, "Connection", "close");
    if (reply.retry_after_s) {
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%u", reply.retry_after_s);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    enum MHD_Result result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

/* Answered by the threads that hold the connections: nothing in it waits. */
static bool is_quick(const char *path)
{
    return strcmp(path, "/hello") == 0 || strcmp(path, "/ready") == 0 ||
           strcmp(path, "/metrics") == 0;
}

/* Lets the connection go on, with the request's answer. */
static void finish(request_t *request, reply_t reply)
{
    request->reply = reply;
    request->answered = true;
    MHD_resume_connection(request->connection);
}

static reply_t refuse_expired(void)
{
    return refuse(503, "too many requests wait here", 1);
}

static void *answer_run(void *data)
{
    node_t *node = data;
    for (;;) {
        request_t *request;
        pthread_mutex_lock(&node->requests_lock);
        node->answerers_free++;
        while (!(request = request_queue_pop(&node->requests)))
            pthread_cond_wait(&node->requests_come, &node->requests_lock);
        node->answerers_free--;
        pthread_mutex_unlock(&node->requests_lock);
        bool late = clock_steady() >= request->wait_deadline;
        reply_t reply = late ? refuse_expired() : route(request, request->method, request->path);
        release_client(request);
        finish(request, reply);
    }
    return NULL;
}

/* Answers the requests that are given up while all others who answer are busy. */
static void *expire_run(void *data)
{
    node_t *node = data;
    pthread_mutex_lock(&node->requests_lock);
    for (;;) {
        request_t *request = request_queue_pop_expired(&node->requests, clock_steady());
        msec_t next = request_queue_next(&node->requests);
        struct timespec at = {.tv_sec = next / 1000, .tv_nsec = next % 1000 * 1000000};
        if (request)
            finish(request, refuse_expired());
        else if (next == G_MAXINT64)
            pthread_cond_wait(&node->requests_blocked, &node->requests_lock);
        else
            pthread_cond_timedwait(&node->requests_blocked, &node->requests_lock, &at);
    }
    return NULL;
}

/* Whether the request now waits in the queue; else it is answered at once. */
static bool enqueue(request_t *request, const char *method, const char *path)
{
    node_t *node = request->node;
    if (g_strlcpy(request->method, method, sizeof request->method) >= sizeof request->method ||
        g_strlcpy(request->path, path, sizeof request->path) >= sizeof request->path) {
        request->reply = refuse(404, "no such path", 0);
        return false;
    }
    msec_t now = clock_steady();
    request->wait_deadline = now + API_WAIT_MS;
    request->deadline = now + (strcmp(method, "GET") == 0 ? API_STATUS_MS : API_SUBMIT_MS);
    pthread_mutex_lock(&node->requests_lock);
    bool has_space = request_queue_push(&node->requests, request, request->wait_deadline);
    if (has_space) {
        MHD_suspend_connection(request->connection); /* before one that answers can resume it */
        pthread_cond_signal(&node->requests_come);
        if (g_queue_get_length(&node->requests.waiting) > node->answerers_free)
            pthread_cond_signal(&node->requests_blocked);
    }
    pthread_mutex_unlock(&node->requests_lock);
    if (!has_space)
        request->reply = refuse_expired();
    return has_space;
}

static enum MHD_Result handle(void *data, struct MHD_Connection *connection, const char *path,
                              const char *method, const char *version, const char *upload,
                              size_t *upload_size, void **context)
{
    (void)version;
    request_t *request = *context;
    if (!request) {
        request = g_new0(request_t, 1);
        request->node = data;
        request->connection = connection;
        request->body = g_string_new(NULL);
        *context = request;
        return MHD_YES;
    }
    if (*upload_size) {
        request->too_long = request->too_long || request->body->len + *upload_size > BODY_MAX;
        if (!request->too_long)
            g_string_append_len(request->body, upload, (gssize)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    node_t *node = data;
    if (!request->answered) {
        if (is_quick(path))
            request->reply = route(request, method, path);
        else if (enqueue(request, method, path))
            return MHD_YES;
    }
    request->answered = false;
    count_reply(node, &request->reply);
    /* A worker that finds no connection loses its lease, a user asks again: above three quarters of
     * the limit, users' connections are not kept. */
    guint most = node->settings->connections;
    bool crowded = atomic_load(&node->connections) > most - most / CONNECTIONS_FOR_WORKERS;
    return send_reply(connection, request->reply, crowded && strcmp(path, "/hello") != 0);
}

static void completed(void *data, struct MHD_Connection *connection, void **context,
                      enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    request_t *request = *context;
    if (request) {
        if (request->answered) { /* its connection went meanwhile */
            json_decref(request->reply.body);
            free(request->reply.text);
        }
        g_string_free(request->body, TRUE);
        g_free(request);
    }
    *context = NULL;
}

static void count_connection(void *data, struct MHD_Connection *connection, void **context,
                             enum MHD_ConnectionNotificationCode code)
{
    node_t *node = data;
    (void)connection;
    (void)context;
    atomic_fetch_add(&node->connections, code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1);
}

bool api_start(node_t *node)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char host[ADDRESS_SIZE];
    const char *listen = node->settings->client_listen;
    const char *colon = strrchr(listen, ':');
    g_strlcpy(host, listen, (gsize)(colon - listen) + 1);
    inet_pton(AF_INET, host, &address.sin_addr);
    address.sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
    for (guint i = 0; i < ANSWERERS; i++)
        node_thread(answer_run, node);
    node_thread(expire_run, node);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        handle, node, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned)HTTP_THREADS, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, count_connection, node, MHD_OPTION_CONNECTION_LIMIT,
        node->settings->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        /* A peer behind a cut or hanging never closes: its sockets would add up to the limit. */
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_IDLE_S, MHD_OPTION_END);
    if (!daemon)
        log_error("event=listen_failed address=%s", listen);
    return daemon != NULL;
}
