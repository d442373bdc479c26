/** @file
 * Replies to requests of users and workers.
 *
 * A reply is a value. Its holder owns the reply's body until the reply is sent or cleared. All
 * functions may be called from any thread.
 */
#ifndef PEPPERPULLEY_API_REPLY_H
#define PEPPERPULLEY_API_REPLY_H

#include <jansson.h>

#include "core/types.h"

/** The kind of a reply's body. */
typedef enum {
    REPLY_JSON,       /**< A JSON value: reply_t.body. */
    REPLY_TEXT,       /**< Plain text: reply_t.text. */
    REPLY_NO_COMMANDS /**< The answer to a heartbeat, without commands: reply_t.fencing_token. Each
                         HTTP thread caches the response for this kind. */
} reply_kind_t;

/** A reply to be sent. */
typedef struct reply {
    reply_kind_t kind;      /**< Which member of the union is set. */
    unsigned status;        /**< The HTTP status. */
    unsigned retry_after_s; /**< Value of the Retry-After header in seconds; 0: no such header. */
    union {
        json_t *body;           /**< REPLY_JSON: owned; NULL: an empty body. */
        char *text;             /**< REPLY_TEXT: owned, freed by free(). */
        uint64_t fencing_token; /**< REPLY_NO_COMMANDS: the fencing token in the body. */
    };
} reply_t;

/** Returns a reply with a JSON body. @p body: transfer full; NULL: an empty body. */
reply_t api_reply_json(unsigned status, json_t *body);

/** Returns a reply with status 200 and a plain text body. @p text: transfer full, freed with
 * free(). */
reply_t api_reply_text(char *text);

/** Returns the reply to a heartbeat, without commands. @p fencing_token must not be 0, which marks
 * an empty response cache. */
reply_t api_reply_no_commands(uint64_t fencing_token);

/** Returns a reply that refuses the request. @p message: the reason, which is copied.
 * @p retry_after_s: seconds after which the client may retry; 0: no Retry-After header. */
reply_t api_reply_refusal(unsigned status, const char *message, unsigned retry_after_s);

/** Returns a refusal with status 503, for a request that needs the key-value store while the
 * key-value store cannot be called or does not answer. */
reply_t api_reply_retry_later(void);

/** Frees the body of a reply that will not be sent. */
void api_reply_clear(reply_t *reply);

#endif
