#include "fake_kv_server.h"

#include <string.h>

#include "fake_http_server.h"

/* A change of a key, for watches. */
typedef struct fake_kv_change {
    char *key;     /* owned */
    json_t *value; /* owned; NULL if the key was deleted */
    uint64_t revision;
} fake_kv_change_t;

/* One of the server's ports. */
typedef struct kv_port {
    fake_kv_server_t *server;
    guint index;
} kv_port_t;

static fake_http_answer_t answer_with(unsigned status, json_t *body)
{
    return (fake_http_answer_t){status, body};
}

static json_int_t current_revision(const fake_kv_server_t *server)
{
    return (json_int_t)server->store->revision;
}

static json_t *build_entry(const kv_entry_t *entry)
{
    return json_pack("{s:s,s:O,s:I}", "K", entry->key, "Value", entry->value, "Stamp",
                     (json_int_t)entry->revision);
}

static fake_http_answer_t get_key(const fake_kv_server_t *server, const char *key)
{
    const kv_entry_t *entry = fake_kv_store_get(server->store, key);
    if (!entry)
        return answer_with(404, json_pack("{s:I}", "Logline", current_revision(server)));
    return answer_with(200, build_entry(entry));
}

static gint compare_keys(gconstpointer left, gconstpointer right)
{
    return strcmp((*(kv_entry_t *const *)left)->key, (*(kv_entry_t *const *)right)->key);
}

/* Returns the page of the keys with the prefix that follows the key `after`, which may be empty. */
static fake_http_answer_t list_keys(const fake_kv_server_t *server, const char *prefix,
                                    const char *after, guint64 limit)
{
    g_autoptr(GPtrArray) found = g_ptr_array_new(); /* of kv_entry_t *, borrowed */
    GHashTableIter iter;
    gpointer key;
    gpointer entry;
    g_hash_table_iter_init(&iter, server->store->keys);
    while (g_hash_table_iter_next(&iter, &key, &entry))
        if (g_str_has_prefix(key, prefix) && strcmp(key, after) > 0)
            g_ptr_array_add(found, entry);
    g_ptr_array_sort(found, compare_keys);
    json_t *entries = json_array();
    for (guint i = 0; i < found->len && i < limit; i++)
        json_array_append_new(entries, build_entry(g_ptr_array_index(found, i)));
    return answer_with(200, json_pack("{s:o,s:b,s:I}", "Entries", entries, "More",
                                      found->len > limit, "Logline", current_revision(server)));
}

static json_t *build_change(const fake_kv_change_t *change)
{
    if (!change->value)
        return json_pack("{s:s,s:I}", "Delete", change->key, "Stamp", (json_int_t)change->revision);
    return json_pack("{s:s,s:O,s:I}", "Set", change->key, "Value", change->value, "Stamp",
                     (json_int_t)change->revision);
}

static json_t *build_changes_since(const fake_kv_server_t *server, const char *prefix,
                                   uint64_t revision)
{
    json_t *changes = json_array();
    for (guint i = 0; i < server->changes->len && !server->are_changes_suppressed; i++) {
        const fake_kv_change_t *change = &g_array_index(server->changes, fake_kv_change_t, i);
        if (change->revision > revision && g_str_has_prefix(change->key, prefix))
            json_array_append_new(changes, build_change(change));
    }
    return changes;
}

/* Returns the changes since the revision. If there is none yet, waits for one for up to block_ms,
 * rounded down to whole seconds. Called with the lock held; releases it while waiting. */
static fake_http_answer_t watch_changes(fake_kv_server_t *server, const char *prefix,
                                        uint64_t revision, guint block_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += block_ms / 1000;
    json_t *changes = build_changes_since(server, prefix, revision);
    while (json_array_size(changes) == 0 &&
           pthread_cond_timedwait(&server->changed, &server->lock, &until) == 0) {
        json_decref(changes);
        changes = build_changes_since(server, prefix, revision);
    }
    return answer_with(
        200, json_pack("{s:o,s:I}", "News", changes, "Logline", current_revision(server)));
}

static json_t *build_failed_keys(const fake_kv_server_t *server, const json_t *conditions)
{
    json_t *failed = json_array();
    size_t i;
    json_t *condition;
    json_array_foreach(conditions, i, condition)
    {
        const char *key = json_string_value(json_object_get(condition, "K"));
        if (fake_kv_store_revision(server->store, key) !=
            (uint64_t)json_integer_value(json_object_get(condition, "Stamp")))
            json_array_append_new(failed, json_string(key));
    }
    return failed;
}

/* Returns whether the transaction that changes this key must get no answer. If so, clears
 * unanswered_key, so that it applies only once. */
static bool take_unanswered_key(fake_kv_server_t *server, const char *key)
{
    if (g_strcmp0(server->unanswered_key, key) != 0)
        return false;
    g_clear_pointer(&server->unanswered_key, g_free);
    return true;
}

/* Counts an executed transaction. Returns whether it is the one of its period that must get no
 * answer. */
static bool count_for_unanswered_period(fake_kv_server_t *server)
{
    if (server->unanswered_period == 0)
        return false;
    server->executed_count++;
    return server->executed_count % server->unanswered_period == 0;
}

/* Records the changes of an executed transaction. Returns whether it must get no answer. */
static bool record_changes(fake_kv_server_t *server, const json_t *changes)
{
    bool is_unanswered = false;
    size_t i;
    json_t *item;
    json_array_foreach(changes, i, item)
    {
        const char *set = json_string_value(json_object_get(item, "Set"));
        const char *deleted = json_string_value(json_object_get(item, "Delete"));
        fake_kv_change_t change = {.key = g_strdup(set ? set : deleted),
                                   .value =
                                       set ? json_incref(json_object_get(item, "Value")) : NULL,
                                   .revision = server->store->revision};
        g_array_append_val(server->changes, change);
        is_unanswered = take_unanswered_key(server, change.key) || is_unanswered;
    }
    return count_for_unanswered_period(server) || is_unanswered;
}

/* Executes the transaction and frees it. Called with the lock held. */
static fake_http_answer_t execute_txn(fake_kv_server_t *server, kv_txn_t txn)
{
    json_t *failed = build_failed_keys(server, txn.conditions);
    json_auto_t *changes = json_incref(txn.changes);
    if (fake_kv_store_apply(server->store, txn) != KV_OK)
        return answer_with(
            409, json_pack("{s:o,s:I}", "failed", failed, "Logline", current_revision(server)));
    json_decref(failed);
    bool is_unanswered = record_changes(server, changes);
    pthread_cond_broadcast(&server->changed);
    return answer_with(is_unanswered ? 0 : 200,
                       json_pack("{s:I}", "Logline", current_revision(server)));
}

/* Returns whether the request was sent on behalf of users. Such a request reads or changes the keys
 * of one job or of a few jobs. Lists of all jobs and the leader's transactions do not count. */
static bool is_for_users(const fake_http_request_t *request)
{
    if (strcmp(request->path, "/txn") == 0) {
        const json_t *first = json_array_get(json_object_get(request->body, "If"), 0);
        const char *key = json_string_value(json_object_get(first, "K"));
        return key && (g_str_has_prefix(key, "jobs/") || g_str_has_prefix(key, "ended/"));
    }
    return g_str_has_prefix(request->path, "/keys/jobs/") ||
           g_str_has_prefix(request->path, "/keys/ended/");
}

/* Counts a request on behalf of users, and waits while the server is stalled. Called with the lock
 * held; releases it while waiting. */
static void count_user_request(fake_kv_server_t *server)
{
    server->user_requests++;
    while (server->is_stalled)
        pthread_cond_wait(&server->changed, &server->lock);
}

/* Called with the lock held. Leases never expire, because no test waits for that. */
static fake_http_answer_t answer_request(const kv_port_t *port, const fake_http_request_t *request)
{
    fake_kv_server_t *server = port->server;
    const char *path = request->path;
    if (is_for_users(request))
        count_user_request(server);
    if (server->is_refused[port->index])
        return answer_with(503, json_object());
    if (strcmp(path, "/txn") == 0) {
        kv_txn_t txn = {.conditions = json_incref(json_object_get(request->body, "If")),
                        .changes = json_incref(json_object_get(request->body, "Then"))};
        return execute_txn(server, txn);
    }
    if (strcmp(path, "/keys") == 0)
        return list_keys(server, fake_http_query(request, "Under"),
                         fake_http_query(request, "Since"),
                         g_ascii_strtoull(fake_http_query(request, "Limit"), NULL, 10));
    if (strcmp(path, "/follow") == 0)
        return watch_changes(
            server, fake_http_query(request, "Under"),
            g_ascii_strtoull(fake_http_query(request, "Since"), NULL, 10),
            (guint)g_ascii_strtoull(fake_http_query(request, "BlockMs"), NULL, 10));
    if (strcmp(path, "/grants") == 0) {
        server->lease_count++;
        return answer_with(200, json_pack("{s:I}", "Tether", (json_int_t)server->lease_count));
    }
    if (g_str_has_prefix(path, "/grants/"))
        return answer_with(200, json_object());
    if (g_str_has_prefix(path, "/keys/"))
        return get_key(server, path + strlen("/keys/"));
    return answer_with(400, json_object());
}

static fake_http_answer_t handle(void *data, const fake_http_request_t *request)
{
    const kv_port_t *port = data;
    pthread_mutex_lock(&port->server->lock);
    fake_http_answer_t answer = answer_request(port, request);
    pthread_mutex_unlock(&port->server->lock);
    return answer;
}

fake_kv_server_t *fake_kv_server_new(void)
{
    fake_kv_server_t *server = g_new0(fake_kv_server_t, 1);
    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->changed, NULL);
    server->store = fake_kv_store_new();
    server->changes = g_array_new(FALSE, FALSE, sizeof(fake_kv_change_t));
    for (guint i = 0; i < FAKE_KV_SERVER_PORTS; i++) {
        kv_port_t *port = g_new(kv_port_t, 1);
        *port = (kv_port_t){.server = server, .index = i};
        server->ports[i] = fake_http_server_start(handle, port);
    }
    return server;
}

kv_result_t fake_kv_server_apply(fake_kv_server_t *server, kv_txn_t txn)
{
    pthread_mutex_lock(&server->lock);
    fake_http_answer_t answer = execute_txn(server, txn);
    pthread_mutex_unlock(&server->lock);
    json_decref(answer.body);
    return answer.status == 409 ? KV_CONFLICT : KV_OK;
}

uint64_t fake_kv_server_revision(fake_kv_server_t *server, const char *key)
{
    pthread_mutex_lock(&server->lock);
    uint64_t revision = fake_kv_store_revision(server->store, key);
    pthread_mutex_unlock(&server->lock);
    return revision;
}

void fake_kv_server_refuse(fake_kv_server_t *server, guint port, bool is_refused)
{
    pthread_mutex_lock(&server->lock);
    server->is_refused[port] = is_refused;
    pthread_mutex_unlock(&server->lock);
}

void fake_kv_server_lose_answer_for_key(fake_kv_server_t *server, const char *key)
{
    pthread_mutex_lock(&server->lock);
    g_free(server->unanswered_key);
    server->unanswered_key = g_strdup(key);
    pthread_mutex_unlock(&server->lock);
}

void fake_kv_server_lose_answers(fake_kv_server_t *server, guint period)
{
    pthread_mutex_lock(&server->lock);
    server->unanswered_period = period;
    pthread_mutex_unlock(&server->lock);
}

void fake_kv_server_stall_user_requests(fake_kv_server_t *server, bool is_stalled)
{
    pthread_mutex_lock(&server->lock);
    server->is_stalled = is_stalled;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->lock);
}

guint fake_kv_server_user_requests(fake_kv_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    guint count = server->user_requests;
    pthread_mutex_unlock(&server->lock);
    return count;
}

void fake_kv_server_suppress_changes(fake_kv_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    server->are_changes_suppressed = true;
    pthread_mutex_unlock(&server->lock);
}
