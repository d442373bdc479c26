/* Converts replies to libmicrohttpd responses. */
#include "controller/api/http_response.h"

#include <string.h>

#include "io/codec/codec.h"

/* Returns the response to a heartbeat whose reply has no commands. It depends on the fencing token
 * alone, so each HTTP thread caches one response and rebuilds it when the token changes. The
 * response is transfer none. */
static struct MHD_Response *no_commands_response(uint64_t fencing_token)
{
    static _Thread_local struct MHD_Response *response;
    static _Thread_local uint64_t built_for_token;
    if (built_for_token == fencing_token)
        return response;
    if (response)
        MHD_destroy_response(response);
    json_t *body = codec_build_commands(fencing_token, NULL);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    response = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    built_for_token = fencing_token;
    return response;
}

/* Returns a response with the text (transfer full; NULL for an empty body) as its body. */
static struct MHD_Response *new_response(char *text, const char *content_type)
{
    static char empty[] = "";
    struct MHD_Response *response =
        text ? MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE)
             : MHD_create_response_from_buffer(0, empty, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(response, "Content-Type", content_type);
    return response;
}

static void add_retry_after(struct MHD_Response *response, unsigned retry_after_s)
{
    char seconds[NUMBER_BYTES];
    g_snprintf(seconds, sizeof seconds, "%u", retry_after_s);
    MHD_add_response_header(response, "Retry-After", seconds);
}

/* Returns a response with the JSON value (transfer full; NULL for an empty body) as its body. */
static struct MHD_Response *new_json_response(json_t *body)
{
    char *text = body ? json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(9)) : NULL;
    json_decref(body);
    return new_response(text, "application/json");
}

static enum MHD_Result send_response(struct MHD_Connection *connection, const reply_t *reply,
                                     bool must_close, struct MHD_Response *response)
{
    if (must_close)
        MHD_add_response_header(response, "Connection", "close");
    if (reply->retry_after_s)
        add_retry_after(response, reply->retry_after_s);
    enum MHD_Result result = MHD_queue_response(connection, reply->status, response);
    MHD_destroy_response(response);
    return result;
}

enum MHD_Result http_response_send(struct MHD_Connection *connection, reply_t reply,
                                   bool must_close)
{
    switch (reply.kind) {
    case REPLY_NO_COMMANDS:
        return MHD_queue_response(connection, reply.status,
                                  no_commands_response(reply.fencing_token));
    case REPLY_TEXT:
        return send_response(connection, &reply, must_close,
                             new_response(reply.text, "text/plain"));
    case REPLY_JSON:
        return send_response(connection, &reply, must_close, new_json_response(reply.body));
    }
    return MHD_NO;
}
