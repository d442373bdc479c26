#include "user_request.h"

#include <stdio.h>
#include <string.h>

enum { USER_TIMEOUT_MS = 20000, USER_URL_BYTES = 256 };

// NOLINTNEXTLINE(readability-non-const-parameter): libcurl defines the type
static size_t discard_body(char *data, size_t size, size_t count, void *userdata)
{
    (void)data;
    (void)userdata;
    return size * count;
}

user_answer_t user_request(uint16_t port, const char *method, const char *path, const char *body,
                           size_t length)
{
    user_answer_t answer = {0};
    char url[USER_URL_BYTES];
    long status = 0;
    CURL *curl = curl_easy_init();
    snprintf(url, sizeof url, "http://127.0.0.1:%u%s", port, path);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)USER_TIMEOUT_MS);
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)length);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(curl, CURLINFO_RETRY_AFTER, &answer.retry_after_s);
    }
    curl_easy_cleanup(curl);
    answer.status = (int)status;
    return answer;
}
