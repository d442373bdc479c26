/* Serves users and workers over HTTP.
 *
 * HTTP_THREADS_COUNT threads of the HTTP server handle all connections. Workers' heartbeats, /ready
 * and /metrics need no other service and are served on these threads. Requests that may have to
 * wait for the key-value store go to the request pool, and their connections are suspended until
 * the reply is ready. A worker's heartbeat therefore never waits behind a user's request, and the
 * number of threads does not grow with the number of machines. There is no thread for each
 * connection, because with 600 machines the accepting thread then occasionally blocked forever,
 * waiting for a thread that had already ended.
 *
 * The handlers of users' requests call the key-value store directly, within a rate limit. */
#include "controller/api/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include <microhttpd.h>

#include "controller/api/http_response.h"
#include "controller/api/request.h"
#include "controller/api/request_pool.h"
#include "controller/api/routes.h"
#include "controller/controller.h"
#include "controller/threads.h"
#include "io/log.h"

static void count_reply(controller_t *controller, const reply_t *reply)
{
    if (reply->status == HTTP_CREATED)
        metrics_count(controller->metrics, COUNT_SUBMITTED, 1);
    else if (reply->status == HTTP_TOO_MANY_REQUESTS || reply->status == HTTP_UNAVAILABLE)
        metrics_count(controller->metrics, COUNT_RETRY_LATER, 1);
    else if (reply->status >= HTTP_BAD_REQUEST && reply->status != HTTP_MISDIRECTED)
        metrics_count(controller->metrics, COUNT_REFUSED, 1);
}

/* Returns whether the connection must be closed after its reply. Above three quarters of the
 * connection limit, only workers' connections are kept open: a worker that cannot connect loses its
 * lease, whereas a user can retry. */
static bool must_close_connection(controller_t *controller, const char *path)
{
    guint limit = controller->settings->connections;
    bool is_near_limit = atomic_load(&controller->requests.open_connections) >
                         limit - limit / WORKER_CONNECTIONS_DIVISOR;
    return is_near_limit && strcmp(path, "/hello") != 0;
}

static enum MHD_Result send_reply(request_t *request, const char *path)
{
    controller_t *controller = request->controller;
    request->has_unsent_reply = false;
    count_reply(controller, &request->reply);
    return http_response_send(request->connection, request->reply,
                              must_close_connection(controller, path));
}

/* Called when the whole request has arrived and, if it was queued, again when its suspended
 * connection is resumed. */
static enum MHD_Result answer_request(request_t *request, const char *method, const char *path)
{
    if (!request->has_unsent_reply) {
        if (api_is_served_without_waiting(path))
            request->reply = api_route(request, method, path);
        else if (request_pool_enqueue(request, method, path))
            return MHD_YES;
    }
    return send_reply(request, path);
}

/* The access handler. libmicrohttpd calls it for the headers of a request, for each part of the
 * request's body, at the end of the request, and when its suspended connection is resumed. *context
 * is the request_t, which the connection owns. */
static enum MHD_Result handle_access(void *data, struct MHD_Connection *connection,
                                     const char *path, const char *method, const char *version,
                                     const char *upload, size_t *upload_size, void **context)
{
    (void)version;
    if (!*context) {
        threads_register_current("http");
        *context = request_new(data, connection);
        return MHD_YES;
    }
    request_t *request = *context;
    if (*upload_size) {
        request_append_body(request, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    return answer_request(request, method, path);
}

static void free_request(void *data, struct MHD_Connection *connection, void **context,
                         enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    if (*context)
        request_free(*context);
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

static struct sockaddr_in parse_listen_address(const char *address)
{
    struct sockaddr_in parsed = {.sin_family = AF_INET};
    char host[ADDRESS_BYTES];
    const char *colon = strrchr(address, ':');
    g_strlcpy(host, address, (gsize)(colon - address) + 1);
    inet_pton(AF_INET, host, &parsed.sin_addr);
    parsed.sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, DECIMAL));
    return parsed;
}

bool http_server_start(controller_t *controller)
{
    const settings_t *settings = controller->settings;
    struct sockaddr_in address = parse_listen_address(settings->client_listen);
    request_pool_start(controller);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        handle_access, controller, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned)HTTP_THREADS_COUNT, MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, count_connection, controller, MHD_OPTION_CONNECTION_LIMIT,
        settings->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_BUFFER_BYTES,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        /* Clients that hang or are cut off by a network partition never close their connections.
         * Without a timeout, such connections would accumulate up to the connection limit. */
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_IDLE_S, MHD_OPTION_END);
    if (!daemon)
        log_error("event=listen_failed address=%s", settings->client_listen);
    return daemon != NULL;
}
