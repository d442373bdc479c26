/* Builds replies. */
#include "controller/api/reply.h"

#include <stdlib.h>

#include "io/codec/codec.h"
#include "io/http_client.h"

reply_t api_reply_json(unsigned status, json_t *body)
{
    return (reply_t){.kind = REPLY_JSON, .status = status, .body = body};
}

reply_t api_reply_text(char *text)
{
    return (reply_t){.kind = REPLY_TEXT, .status = HTTP_OK, .text = text};
}

reply_t api_reply_no_commands(uint64_t fencing_token)
{
    return (reply_t){.kind = REPLY_NO_COMMANDS, .status = HTTP_OK, .fencing_token = fencing_token};
}

reply_t api_reply_refusal(unsigned status, const char *message, unsigned retry_after_s)
{
    reply_t reply = api_reply_json(status, codec_build_error(message));
    reply.retry_after_s = retry_after_s;
    return reply;
}

reply_t api_reply_retry_later(void)
{
    return api_reply_refusal(HTTP_UNAVAILABLE, "the state service can't be asked now", 1);
}

void api_reply_clear(reply_t *reply)
{
    switch (reply->kind) {
    case REPLY_JSON:
        json_decref(reply->body);
        reply->body = NULL;
        break;
    case REPLY_TEXT:
        free(reply->text);
        reply->text = NULL;
        break;
    case REPLY_NO_COMMANDS:
        break;
    }
}
