#include "state.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct key {
    char name[204];
    json_t *value;
    uint64_t stamp;
    uint64_t tether;
} stored_t;

typedef struct change {
    char name[204];
    json_t *value; /* NULL: deleted */
    uint64_t stamp;
} change_t;

typedef struct grant {
    uint64_t id;
    int64_t life_ms;
    int64_t ends_at;
} grant_t;

enum { KEYS_MAX = 4096, CHANGES_MAX = 1 << 18, GRANTS_MAX = 4096 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static stored_t keys[KEYS_MAX]; /* in order of their names */
static size_t key_count;
static change_t *changes;
static size_t change_count;
static grant_t grants[GRANTS_MAX];
static size_t grant_count;
static uint64_t logline;
static uint64_t last_grant;
static state_limits_t limits;
static int ports[NODES_MAX];
bool (*state_hook)(int node, const http_request_t *request, bool before);

/* Returns the index of the key, or of the place at which it belongs. */
static size_t find_place(const char *name, bool *found)
{
    size_t low = 0;
    size_t high = key_count;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (strcmp(keys[middle].name, name) < 0)
            low = middle + 1;
        else
            high = middle;
    }
    *found = low < key_count && strcmp(keys[low].name, name) == 0;
    return low;
}

static stored_t *find_key(const char *name)
{
    bool found;
    size_t place = find_place(name, &found);
    return found ? &keys[place] : NULL;
}

static void log_change(const char *name, json_t *value)
{
    if (change_count == CHANGES_MAX)
        finish(2, "the stand-in of the state service is full");
    change_t *change = &changes[change_count++];
    snprintf(change->name, sizeof change->name, "%s", name);
    change->value = json_incref(value);
    change->stamp = logline;
}

static void set_key(const char *name, json_t *value, uint64_t tether)
{
    bool found;
    size_t place = find_place(name, &found);
    if (!found) {
        if (key_count == KEYS_MAX)
            finish(2, "the stand-in of the state service is full");
        memmove(&keys[place + 1], &keys[place], (key_count - place) * sizeof keys[0]);
        key_count++;
        keys[place] = (stored_t){0};
        snprintf(keys[place].name, sizeof keys[place].name, "%s", name);
    }
    json_decref(keys[place].value);
    keys[place].value = json_incref(value);
    keys[place].stamp = logline;
    keys[place].tether = tether;
    log_change(name, value);
}

static void delete_key(const char *name)
{
    bool found;
    size_t place = find_place(name, &found);
    if (!found)
        return;
    json_decref(keys[place].value);
    key_count--;
    memmove(&keys[place], &keys[place + 1], (key_count - place) * sizeof keys[0]);
    log_change(name, NULL);
}

static grant_t *find_grant(uint64_t id)
{
    for (size_t i = 0; i < grant_count; i++)
        if (grants[i].id == id)
            return &grants[i];
    return NULL;
}

static void end_grant(uint64_t id)
{
    grant_t *grant = find_grant(id);
    bool has_keys = false;
    *grant = grants[--grant_count];
    for (size_t i = 0; i < key_count; i++)
        has_keys = has_keys || keys[i].tether == id;
    logline += has_keys;
    for (size_t i = key_count; i-- > 0;) {
        char name[204];
        if (keys[i].tether != id)
            continue;
        snprintf(name, sizeof name, "%s", keys[i].name);
        delete_key(name);
    }
    pthread_cond_broadcast(&changed);
}

static void *end_grants(void *data)
{
    (void)data;
    for (;;) {
        sleep_ms(20);
        pthread_mutex_lock(&lock);
        for (size_t i = grant_count; i-- > 0;)
            if (now_ms() > grants[i].ends_at)
                end_grant(grants[i].id);
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

static json_t *entry_of(const stored_t *key)
{
    json_t *entry = json_pack("{s:s,s:O,s:I}", "K", key->name, "Value", key->value, "Stamp",
                              (json_int_t)key->stamp);
    if (key->tether)
        json_object_set_new(entry, "Tether", json_integer((json_int_t)key->tether));
    return entry;
}

static int get_key(const char *name, json_t **answer)
{
    const stored_t *key = find_key(name);
    *answer = key ? entry_of(key) : json_pack("{s:I}", "Logline", (json_int_t)logline);
    return key ? 200 : 404;
}

static int list_keys(const http_request_t *request, json_t **answer)
{
    char under[256];
    char since[256];
    char text[32];
    http_query(request, "Under", under, sizeof under);
    http_query(request, "Since", since, sizeof since);
    http_query(request, "Limit", text, sizeof text);
    size_t limit = *text ? strtoull(text, NULL, 10) : 1000;
    json_t *entries = json_array();
    bool more = false;
    for (size_t i = 0; i < key_count; i++) {
        if (strncmp(keys[i].name, under, strlen(under)) != 0 || strcmp(keys[i].name, since) <= 0)
            continue;
        if (json_array_size(entries) == limit) {
            more = true;
            break;
        }
        json_array_append_new(entries, entry_of(&keys[i]));
    }
    *answer = json_pack("{s:o,s:b,s:I}", "Entries", entries, "More", more, "Logline",
                        (json_int_t)logline);
    return 200;
}

static json_t *changes_since(const char *under, uint64_t since)
{
    json_t *news = json_array();
    size_t first = change_count;
    while (first > 0 && changes[first - 1].stamp > since)
        first--;
    for (size_t i = first; i < change_count; i++) {
        const change_t *change = &changes[i];
        if (strncmp(change->name, under, strlen(under)) != 0)
            continue;
        json_array_append_new(
            news, change->value
                      ? json_pack("{s:s,s:O,s:I}", "Set", change->name, "Value", change->value,
                                  "Stamp", (json_int_t)change->stamp)
                      : json_pack("{s:s,s:I}", "Delete", change->name, "Stamp",
                                  (json_int_t)change->stamp));
    }
    return news;
}

static int follow(const http_request_t *request, json_t **answer)
{
    char under[256];
    char text[32];
    http_query(request, "Under", under, sizeof under);
    http_query(request, "Since", text, sizeof text);
    uint64_t since = strtoull(text, NULL, 10);
    http_query(request, "BlockMs", text, sizeof text);
    int64_t until = now_ms() + strtoll(text, NULL, 10);
    json_t *news = changes_since(under, since);
    while (json_array_size(news) == 0 && now_ms() < until) {
        struct timespec deadline = {until / 1000, until % 1000 * 1000000};
        pthread_cond_timedwait(&changed, &lock, &deadline);
        json_decref(news);
        news = changes_since(under, since);
    }
    *answer = json_pack("{s:I,s:o}", "Logline", (json_int_t)logline, "News", news);
    return 200;
}

static int malformed(json_t **answer, const char *error)
{
    *answer = json_pack("{s:s}", "error", error);
    return 400;
}

static int check_txn(const json_t *conditions, const json_t *then, json_t **answer)
{
    size_t i;
    json_t *item;
    if (json_array_size(then) > limits.txn_ops || json_array_size(conditions) > 4 * limits.txn_ops)
        return malformed(answer, "transaction too large");
    json_array_foreach(then, i, item)
    {
        json_t *tether = json_object_get(item, "Tether");
        if (!*json_text(item, "Set") && !*json_text(item, "Delete"))
            return malformed(answer, "malformed");
        if (json_is_integer(tether) && !find_grant((uint64_t)json_integer_value(tether)))
            return malformed(answer, "no such lease");
        if (*json_text(item, "Set")) {
            char *text =
                json_dumps(json_object_get(item, "Value"), JSON_COMPACT | JSON_ENCODE_ANY);
            bool is_large = !text || strlen(text) > limits.value_bytes;
            free(text);
            if (is_large)
                return malformed(answer, "value too large");
        }
    }
    return 200;
}

static int run_txn(const json_t *body, json_t **answer)
{
    const json_t *conditions = json_object_get(body, "If");
    const json_t *then = json_object_get(body, "Then");
    json_t *failed = json_array();
    size_t i;
    json_t *item;
    if (check_txn(conditions, then, answer) != 200) {
        json_decref(failed);
        return 400;
    }
    json_array_foreach(conditions, i, item)
    {
        const stored_t *key = find_key(json_text(item, "K"));
        if ((key ? key->stamp : 0) != (uint64_t)json_number(item, "Stamp"))
            json_array_append_new(failed, json_string(json_text(item, "K")));
    }
    if (json_array_size(failed) > 0) {
        *answer = json_pack("{s:o,s:I}", "failed", failed, "Logline", (json_int_t)logline);
        return 409;
    }
    json_decref(failed);
    logline += json_array_size(then) > 0;
    json_array_foreach(then, i, item)
    {
        if (*json_text(item, "Set"))
            set_key(json_text(item, "Set"), json_object_get(item, "Value"),
                    (uint64_t)json_number(item, "Tether"));
        else
            delete_key(json_text(item, "Delete"));
    }
    pthread_cond_broadcast(&changed);
    *answer = json_pack("{s:I}", "Logline", (json_int_t)logline);
    return 200;
}

static int run_grants(const http_request_t *request, json_t **answer)
{
    if (strcmp(request->path, "/grants") == 0) {
        int64_t life_ms = json_number(request->body, "LifeMs");
        if (life_ms < 100 || life_ms > 600000 || grant_count == GRANTS_MAX)
            return malformed(answer, "malformed");
        grants[grant_count++] = (grant_t){++last_grant, life_ms, now_ms() + life_ms};
        *answer = json_pack("{s:I}", "Tether", (json_int_t)last_grant);
        return 200;
    }
    uint64_t id = strtoull(request->path + strlen("/grants/"), NULL, 10);
    grant_t *grant = find_grant(id);
    if (!grant)
        return 404;
    if (strcmp(request->method, "DELETE") == 0)
        end_grant(id);
    else
        grant->ends_at = now_ms() + grant->life_ms;
    return 200;
}

static int execute(const http_request_t *request, json_t **answer)
{
    const char *path = request->path;
    if (strcmp(path, "/txn") == 0)
        return run_txn(request->body, answer);
    if (strcmp(path, "/keys") == 0)
        return list_keys(request, answer);
    if (strncmp(path, "/keys/", 6) == 0)
        return get_key(path + 6, answer);
    if (strcmp(path, "/follow") == 0)
        return follow(request, answer);
    if (strncmp(path, "/grants", 7) == 0)
        return run_grants(request, answer);
    return malformed(answer, "malformed");
}

/* Records a transaction with its changes, or a read of a list. Other requests are not recorded. */
static void record_request(int node, const http_request_t *request, int status)
{
    char keys[512] = "";
    size_t used = 0;
    size_t i;
    json_t *item;
    if (strcmp(request->path, "/keys") == 0)
        record("state: controller %d lists %s: %d", node, request->query, status);
    if (strcmp(request->path, "/txn") != 0)
        return;
    json_array_foreach(json_object_get(request->body, "Then"), i, item)
    {
        bool is_set = *json_text(item, "Set");
        if (used < sizeof keys)
            used += (size_t)snprintf(keys + used, sizeof keys - used, " %s %s",
                                     is_set ? "set" : "delete",
                                     json_text(item, is_set ? "Set" : "Delete"));
    }
    record("state: transaction of controller %d, %d conditions,%s: %d", node,
           (int)json_array_size(json_object_get(request->body, "If")), *keys ? keys : " no change",
           status);
}

static int handle(void *data, const http_request_t *request, json_t **answer)
{
    int node = (int)(intptr_t)data;
    if (state_hook && !state_hook(node, request, true))
        return 0;
    pthread_mutex_lock(&lock);
    int status = execute(request, answer);
    pthread_mutex_unlock(&lock);
    record_request(node, request, status);
    if (state_hook && !state_hook(node, request, false))
        return 0;
    return status;
}

void state_start(int nodes, state_limits_t initial_limits)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attributes);
    limits = initial_limits;
    changes = calloc(CHANGES_MAX, sizeof changes[0]);
    for (int i = 0; i < nodes; i++)
        ports[i] = http_serve(handle, (void *)(intptr_t)i);
    start_thread(end_grants, NULL);
}

int state_port(int node)
{
    return ports[node];
}

void state_set_limits(state_limits_t new_limits)
{
    pthread_mutex_lock(&lock);
    limits = new_limits;
    pthread_mutex_unlock(&lock);
}

json_t *state_get(const char *name)
{
    pthread_mutex_lock(&lock);
    const stored_t *key = find_key(name);
    json_t *value = key ? json_incref(key->value) : NULL;
    pthread_mutex_unlock(&lock);
    return value;
}
