/* Creates and frees requests and collects their bodies. */
#include "controller/api/request.h"

request_t *request_new(controller_t *controller, struct MHD_Connection *connection)
{
    request_t *request = g_new0(request_t, 1);
    request->controller = controller;
    request->connection = connection;
    request->body = g_string_new(NULL);
    return request;
}

void request_append_body(request_t *request, const char *data, gsize length)
{
    request->is_body_too_long =
        request->is_body_too_long || request->body->len + length > BODY_MAX_BYTES;
    if (!request->is_body_too_long)
        g_string_append_len(request->body, data, (gssize)length);
}

void request_free(request_t *request)
{
    if (request->has_unsent_reply) /* the connection was closed before the reply was sent */
        api_reply_clear(&request->reply);
    g_string_free(request->body, TRUE);
    g_free(request);
}
