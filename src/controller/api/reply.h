/** @file
 * Replies to requests of users and workers, and how they are built.
 *
 * A reply is a value. Its body belongs to whoever holds the reply, until it is sent or cleared. All
 * functions may be called from any thread.
 */
#ifndef PEPPERPULLEY_API_REPLY_H
#define PEPPERPULLEY_API_REPLY_H

#include <jansson.h>

#include "core/types.h"

/** What a reply's body is. */
typedef enum {
    REPLY_JSON,               /**< A JSON value: reply_t.body. */
    REPLY_TEXT,               /**< Plain text: reply_t.text. */
    REPLY_UNCHANGED_HEARTBEAT /**< The response to a heartbeat that calls for no commands, which
                                 every HTTP thread keeps ready: reply_t.fencing_token. */
} reply_kind_t;

/** A reply to be sent. */
typedef struct reply {
    reply_kind_t kind;      /**< Which member of the body is set. */
    unsigned status;        /**< The HTTP status. */
    unsigned retry_after_s; /**< Seconds of the Retry-After header; 0: no such header. */
    union {
        json_t *body;           /**< REPLY_JSON: owned; NULL: an empty body. */
        char *text;             /**< REPLY_TEXT: owned, freed by free(). */
        uint64_t fencing_token; /**< REPLY_UNCHANGED_HEARTBEAT: the token that it names. */
    };
} reply_t;

/** Returns a reply with a JSON body. @p body is transfer full and may be NULL. */
reply_t api_reply_json(unsigned status, json_t *body);

/** Returns a reply with status 200 and a plain text, transfer full. */
reply_t api_reply_text(char *text);

/** Returns the reply to a heartbeat that calls for no commands. @p fencing_token is not 0. */
reply_t api_reply_unchanged_heartbeat(uint64_t fencing_token);

/** Returns a refusal that names its reason. @p why is copied. @p retry_after_s: the seconds after
 * which a client may try again; 0: not named. */
reply_t api_refuse(unsigned status, const char *why, unsigned retry_after_s);

/** Returns the refusal (503) of a request that needs the key-value store while that can't be
 * called. */
reply_t api_retry_later(void);

/** Frees the body of a reply that is not sent. */
void api_reply_clear(reply_t *reply);

#endif
