/* Blocking HTTP calls, made with libcurl. */
#include "io/http_client.h"

#include <curl/curl.h>

struct http_client {
    CURL *curl;                 /* owned */
    GString *answer;            /* body of the last answer; owned */
    struct curl_slist *headers; /* sent with every request; owned, borrowed by curl */
};

void http_client_init_library(void)
{
    curl_global_init(CURL_GLOBAL_NOTHING);
}

/* Callback of curl that appends a received chunk of the answer's body to the buffer. */
static size_t append_answer(char *data, size_t size, size_t count, void *answer)
{
    g_string_append_len(answer, data, (gssize)(size * count));
    return size * count;
}

http_client_t *http_client_new(long connections)
{
    http_client_t *client = g_new0(http_client_t, 1);
    client->curl = curl_easy_init();
    client->answer = g_string_new(NULL);
    client->headers = curl_slist_append(NULL, "Content-Type: application/json");
    client->headers = curl_slist_append(client->headers, "Expect:");
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
    curl_easy_setopt(client->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(client->curl, CURLOPT_MAXCONNECTS, connections);
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, append_answer);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client->answer);
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(client->curl, CURLOPT_BUFFERSIZE, (long)HTTP_READ_BYTES);
    return client;
}

void http_client_set_connect_timeout(http_client_t *client, long connect_ms)
{
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
}

/* Returns the outcome of a call that got no answer. A connection attempt that curl has given up
 * does not complete later, so a request of which no byte was sent is never executed. */
static int classify_failure(CURL *curl, CURLcode code)
{
    long sent_bytes = 0;
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
    if ((code == CURLE_COULDNT_CONNECT || code == CURLE_OPERATION_TIMEDOUT) && sent_bytes == 0)
        return HTTP_NOT_SENT;
    return HTTP_NO_ANSWER;
}

/* Empties the answer buffer. The answer to a watch can be large, so a buffer of more than
 * RESPONSE_BUFFER_MAX_BYTES is freed and replaced by a new one. */
static void clear_answer(http_client_t *client)
{
    g_string_truncate(client->answer, 0);
    if (client->answer->allocated_len <= RESPONSE_BUFFER_MAX_BYTES)
        return;
    g_string_free(client->answer, TRUE);
    client->answer = g_string_new(NULL);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client->answer);
}

static void set_method(CURL *curl, const char *method, const char *body)
{
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    if (g_strcmp0(method, "POST") != 0) {
        curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    const char *text = body ? body : "";
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)strlen(text));
}

int http_call(http_client_t *client, const char *method, const char *url, const json_t *body,
              long timeout_ms, json_t **answer)
{
    CURL *curl = client->curl;
    char *text =
        body ? json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(REAL_DIGITS_COUNT)) : NULL;
    if (answer)
        *answer = NULL;
    clear_answer(client);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    set_method(curl, method, text);
    CURLcode code = curl_easy_perform(curl);
    free(text);
    if (code != CURLE_OK)
        return classify_failure(curl, code);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    if (answer)
        *answer = json_loadb(client->answer->str, client->answer->len, 0, NULL);
    if (client->answer->allocated_len > RESPONSE_BUFFER_MAX_BYTES)
        clear_answer(client);
    return (int)status;
}

const char *http_answer_body(const http_client_t *client, gsize *length)
{
    *length = client->answer->len;
    return client->answer->str;
}
