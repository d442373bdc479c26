#include "fake_http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

/* A server: the handler of its requests and the handler's data. */
typedef struct server {
    fake_http_handler_t handler;
    void *data; /* borrowed */
} server_t;

const char *fake_http_query(const fake_http_request_t *request, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}

static enum MHD_Result send_answer(struct MHD_Connection *connection, fake_http_answer_t answer)
{
    char *text = json_dumps(answer.body, JSON_COMPACT);
    json_decref(answer.body);
    if (answer.status == 0) {
        free(text);
        return MHD_NO; /* closes the connection */
    }
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

/* Collects the body of a request in *context, as a GString. Returns whether the request is
 * complete. */
static bool collect_body(const char *upload, size_t *upload_size, void **context)
{
    GString *text = *context;
    if (!text) {
        *context = g_string_new(NULL);
        return false;
    }
    if (*upload_size == 0)
        return true;
    g_string_append_len(text, upload, (gssize)*upload_size);
    *upload_size = 0;
    return false;
}

static enum MHD_Result handle_request(void *data, struct MHD_Connection *connection,
                                      const char *path, const char *method, const char *version,
                                      const char *upload, size_t *upload_size, void **context)
{
    (void)version;
    const server_t *server = data;
    if (!collect_body(upload, upload_size, context))
        return MHD_YES;
    const GString *text = *context;
    json_t *body = json_loadb(text->str, text->len, 0, NULL);
    fake_http_request_t request = {
        .connection = connection, .method = method, .path = path, .body = body};
    fake_http_answer_t answer = server->handler(server->data, &request);
    json_decref(body);
    return send_answer(connection, answer);
}

static void free_body(void *data, struct MHD_Connection *connection, void **context,
                      enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    if (*context)
        g_string_free(*context, TRUE);
    *context = NULL;
}

uint16_t fake_http_server_start(fake_http_handler_t handler, void *data)
{
    server_t *server = g_new(server_t, 1);
    *server = (server_t){.handler = handler, .data = data};
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct MHD_Daemon *daemon =
        MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
                         NULL, handle_request, server, MHD_OPTION_SOCK_ADDR, &address,
                         MHD_OPTION_NOTIFY_COMPLETED, free_body, NULL, MHD_OPTION_END);
    if (!daemon)
        abort();
    return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
