/* Users and workers over HTTP.
 *
 * A few threads of the HTTP server hold all connections and answer what needs no other service:
 * reports and /ready. What may have to wait for the key-value store is put into a queue, served by
 * threads of its own; its connection rests meanwhile. So no user's request ever stands before a
 * worker's heartbeat, and the number of threads does not grow with the fleet. (A thread a
 * connection was the form before: at 600 machines one controller's accepting thread stopped for
 * good now and then, in waiting for a thread that had ended.)
 *
 * Users' requests go straight against the key-value store; only a rate limiter stands between. What
 * a controller has told a user, no controller may take back: live answers are read afresh each
 * time, and only final states are kept. */
#include "controller/api/http_server.h"
#include "controller/api/api_internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "controller/threads.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

reply_t api_refuse(unsigned status, const char *why, unsigned retry_after_s)
{
    return (reply_t){
        .status = status, .body = json_pack("{s:s}", "error", why), .retry_after_s = retry_after_s};
}

reply_t api_retry_later(void)
{
    return api_refuse(HTTP_UNAVAILABLE, "the state service can't be asked now", 1);
}

static void count_reply(controller_t *controller, const reply_t *reply)
{
    if (reply->status == HTTP_CREATED)
        metrics_count(controller->metrics, COUNT_SUBMITTED, 1);
    else if (reply->status == HTTP_TOO_MANY_REQUESTS || reply->status == HTTP_UNAVAILABLE)
        metrics_count(controller->metrics, COUNT_RETRY_LATER, 1);
    else if (reply->status >= HTTP_BAD_REQUEST && reply->status != HTTP_MISDIRECTED)
        metrics_count(controller->metrics, COUNT_REFUSED, 1);
}

/* The answer to a heartbeat that calls for nothing: the same for all workers of a view, so each
 * thread of the HTTP server builds it once. */
static struct MHD_Response *unchanged_heartbeat_response(uint64_t fencing_token)
{
    static _Thread_local struct MHD_Response *response;
    static _Thread_local uint64_t built_for;
    if (built_for == fencing_token)
        return response;
    if (response)
        MHD_destroy_response(response);
    json_t *body = codec_build_commands(fencing_token, NULL);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    response = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    built_for = fencing_token;
    return response;
}

/* close: the connection is given up after this answer. */
static enum MHD_Result send_reply(struct MHD_Connection *connection, reply_t reply, bool close)
{
    if (reply.unchanged_fencing_token)
        return MHD_queue_response(connection, reply.status,
                                  unchanged_heartbeat_response(reply.unchanged_fencing_token));
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
        char seconds[NUMBER_BYTES];
        g_snprintf(seconds, sizeof seconds, "%u", reply.retry_after_s);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    enum MHD_Result result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

/* Answered by the threads that hold the connections: nothing in it waits. */
static bool is_answered_without_waiting(const char *path)
{
    return strcmp(path, "/hello") == 0 || strcmp(path, "/ready") == 0 ||
           strcmp(path, "/metrics") == 0;
}

/* Lets the connection go on, with the request's answer. */
static void finish(request_t *request, reply_t reply)
{
    request->reply = reply;
    request->is_answered = true;
    MHD_resume_connection(request->connection);
}

static reply_t refuse_expired(void)
{
    return api_refuse(HTTP_UNAVAILABLE, "too many requests wait here", 1);
}

static void *request_worker_run(void *data)
{
    controller_t *controller = data;
    for (;;) {
        request_t *request;
        pthread_mutex_lock(&controller->requests.lock);
        controller->requests.idle_worker_count++;
        while (!(request = request_queue_pop(&controller->requests.queue)))
            pthread_cond_wait(&controller->requests.available, &controller->requests.lock);
        controller->requests.idle_worker_count--;
        pthread_mutex_unlock(&controller->requests.lock);
        bool late = clock_steady() >= request->wait_deadline;
        reply_t reply =
            late ? refuse_expired() : api_route(request, request->method, request->path);
        api_release_client(request);
        finish(request, reply);
    }
    return NULL;
}

/* Answers the requests that are given up while all others who answer are busy. */
static void *expire_run(void *data)
{
    controller_t *controller = data;
    pthread_mutex_lock(&controller->requests.lock);
    for (;;) {
        request_t *request = request_queue_pop_expired(&controller->requests.queue, clock_steady());
        msec_t next = request_queue_next(&controller->requests.queue);
        struct timespec at = {.tv_sec = next / MS_PER_S, .tv_nsec = next % MS_PER_S * NS_PER_MS};
        if (request)
            finish(request, refuse_expired());
        else if (next == G_MAXINT64)
            pthread_cond_wait(&controller->requests.workers_busy, &controller->requests.lock);
        else
            pthread_cond_timedwait(&controller->requests.workers_busy, &controller->requests.lock,
                                   &at);
    }
    return NULL;
}

/* With the lock of the requests held: one more thread that answers, if all are busy. */
static void start_request_worker(controller_t *controller)
{
    if (g_queue_get_length(&controller->requests.queue.waiting) <=
            controller->requests.idle_worker_count ||
        controller->requests.worker_count == REQUEST_WORKERS_COUNT)
        return;
    controller->requests.worker_count++;
    threads_start("request_worker", request_worker_run, controller);
}

/* Whether the request now waits in the queue; else it is answered at once. */
static bool enqueue(request_t *request, const char *method, const char *path)
{
    controller_t *controller = request->controller;
    if (g_strlcpy(request->method, method, sizeof request->method) >= sizeof request->method ||
        g_strlcpy(request->path, path, sizeof request->path) >= sizeof request->path) {
        request->reply = api_refuse(HTTP_NOT_FOUND, "no such path", 0);
        return false;
    }
    msec_t now = clock_steady();
    request->wait_deadline = now + API_WAIT_MS;
    request->deadline = now + (strcmp(method, "GET") == 0 ? API_STATUS_MS : API_SUBMIT_MS);
    pthread_mutex_lock(&controller->requests.lock);
    bool has_space =
        request_queue_push(&controller->requests.queue, request, request->wait_deadline);
    if (has_space) {
        MHD_suspend_connection(request->connection); /* before one that answers can resume it */
        start_request_worker(controller);
        pthread_cond_signal(&controller->requests.available);
        if (g_queue_get_length(&controller->requests.queue.waiting) >
            controller->requests.idle_worker_count)
            pthread_cond_signal(&controller->requests.workers_busy);
    }
    pthread_mutex_unlock(&controller->requests.lock);
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
        threads_adopt("http");
        request = g_new0(request_t, 1);
        request->controller = data;
        request->connection = connection;
        request->body = g_string_new(NULL);
        *context = request;
        return MHD_YES;
    }
    if (*upload_size) {
        request->is_too_long =
            request->is_too_long || request->body->len + *upload_size > BODY_MAX_BYTES;
        if (!request->is_too_long)
            g_string_append_len(request->body, upload, (gssize)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    controller_t *controller = data;
    if (!request->is_answered) {
        if (is_answered_without_waiting(path))
            request->reply = api_route(request, method, path);
        else if (enqueue(request, method, path))
            return MHD_YES;
    }
    request->is_answered = false;
    count_reply(controller, &request->reply);
    /* A worker that finds no connection loses its lease, a user asks again: above three quarters of
     * the limit, users' connections are not kept. */
    guint most = controller->settings->connections;
    bool crowded = atomic_load(&controller->requests.open_connections) >
                   most - most / WORKER_CONNECTIONS_DIVISOR;
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
        if (request->is_answered) { /* its connection went meanwhile */
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
    controller_t *controller = data;
    (void)connection;
    (void)context;
    atomic_fetch_add(&controller->requests.open_connections,
                     code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1);
}

bool http_server_start(controller_t *controller)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char host[ADDRESS_BYTES];
    const char *listen = controller->settings->client_listen;
    const char *colon = strrchr(listen, ':');
    g_strlcpy(host, listen, (gsize)(colon - listen) + 1);
    inet_pton(AF_INET, host, &address.sin_addr);
    address.sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, DECIMAL));
    threads_start("expire", expire_run, controller);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        handle, controller, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned)HTTP_THREADS_COUNT, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, count_connection, controller, MHD_OPTION_CONNECTION_LIMIT,
        controller->settings->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)CONNECTION_BUFFER_BYTES, MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        /* A peer behind a cut or hanging never closes: its sockets would add up to the limit. */
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_IDLE_S, MHD_OPTION_END);
    if (!daemon)
        log_error("event=listen_failed address=%s", listen);
    return daemon != NULL;
}
