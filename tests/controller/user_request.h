/* Sends requests as a user's program does: the body may be any bytes, and the Retry-After header of
 * the answer is read. */
#ifndef PEPPERPULLEY_USER_REQUEST_H
#define PEPPERPULLEY_USER_REQUEST_H

#include <stddef.h>
#include <stdint.h>

#include <curl/curl.h>

typedef struct user_answer {
    int status; /* HTTP status; 0: no answer */
    curl_off_t retry_after_s;
} user_answer_t;

/* Sends a request to the loopback port and returns the answer. body: length bytes; may be NULL. */
user_answer_t user_request(uint16_t port, const char *method, const char *path, const char *body,
                           size_t length);

#endif
