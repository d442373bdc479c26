/* Requests as a user's program sends them, with bodies of any bytes and the answer's headers. */
#ifndef PEPPERPULLEY_USER_REQUEST_H
#define PEPPERPULLEY_USER_REQUEST_H

#include <stddef.h>
#include <stdint.h>

#include <curl/curl.h>

typedef struct user_answer {
    int status; /* 0: none came */
    curl_off_t retry_after_s;
} user_answer_t;

/* body may be NULL. */
user_answer_t user_request(uint16_t port, const char *method, const char *path, const char *body,
                           size_t length);

#endif
