/* Client of the key-value store, with the codec of the store's HTTP protocol: the field names of
 * that protocol (If, Then, Set, Tether, Stamp, ...) occur in this file only. The stored values are
 * built and parsed in io/codec. */
#include "io/kv_store.h"

#include <string.h>

#include "io/clock.h"

void kv_store_init(kv_store_t *kv_store, const char *address)
{
    g_snprintf(kv_store->base_url, sizeof kv_store->base_url, "http://%s", address);
    atomic_init(&kv_store->answered_at, KV_NEVER_ANSWERED);
}

static void entry_clear(gpointer data)
{
    kv_entry_t *entry = data;
    g_free(entry->key);
    json_decref(entry->value);
}

GArray *kv_entries_new(void)
{
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(kv_entry_t));
    g_array_set_clear_func(entries, entry_clear);
    return entries;
}

/* Returns whether the status shows that the store itself is up and handled the request. */
static bool is_answered(int status)
{
    return status == HTTP_OK || status == HTTP_NOT_FOUND || status == HTTP_CONFLICT ||
           status == HTTP_GONE;
}

static kv_result_t result_from_status(int status, const json_t *answer)
{
    switch (status) {
    case HTTP_OK:
        return answer ? KV_OK : KV_INDETERMINATE;
    case HTTP_NOT_FOUND:
        return KV_NOT_FOUND;
    case HTTP_CONFLICT:
        return KV_CONFLICT;
    case HTTP_GONE:
        return KV_COMPACTED;
    case HTTP_BAD_REQUEST:
        return KV_INVALID;
    case HTTP_NOT_SENT:
    case HTTP_TOO_MANY_REQUESTS:
    case HTTP_UNAVAILABLE:
        return KV_NOT_EXECUTED;
    case HTTP_NO_ANSWER:
    default: /* a status outside the protocol does not show whether the request was executed */
        return KV_INDETERMINATE;
    }
}

/* Advances answered_at to sent_at, unless a request sent later has been answered already. */
static void record_answer(kv_store_t *kv_store, msec_t sent_at)
{
    msec_t before = atomic_load(&kv_store->answered_at);
    while (sent_at > before &&
           !atomic_compare_exchange_weak(&kv_store->answered_at, &before, sent_at))
        ;
}

static kv_result_t send_request(kv_store_t *kv_store, http_client_t *client, const char *method,
                                const char *path, const json_t *body, long timeout_ms,
                                json_t **answer)
{
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "%s%s", kv_store->base_url, path);
    msec_t sent_at = clock_steady();
    int status = http_call(client, method, url, body, timeout_ms, answer);
    if (is_answered(status))
        record_answer(kv_store, sent_at);
    return result_from_status(status, *answer);
}

static uint64_t get_uint64(const json_t *object, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(object, name));
}

kv_result_t kv_get(kv_store_t *kv_store, http_client_t *client, const char *key, long timeout_ms,
                   kv_entry_t *entry)
{
    char path[URL_BYTES];
    json_auto_t *answer = NULL;
    g_snprintf(path, sizeof path, "/keys/%s", key);
    kv_result_t result = send_request(kv_store, client, "GET", path, NULL, timeout_ms, &answer);
    if (result == KV_OK) {
        entry->key = g_strdup(key);
        entry->value = json_incref(json_object_get(answer, "Value"));
        entry->revision = get_uint64(answer, "Stamp");
    }
    return result;
}

/* Reads the page that follows the key `after_key`, or the first page if that is NULL. */
static kv_result_t list_page(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                             const char *after_key, GArray *entries, uint64_t *revision,
                             bool *has_more)
{
    char path[URL_BYTES];
    json_auto_t *answer = NULL;
    /* In a query, an unescaped plus sign stands for a space. */
    g_autofree char *escaped = after_key ? g_uri_escape_string(after_key, "/", FALSE) : NULL;
    g_snprintf(path, sizeof path, "/keys?Under=%s%s%s&Limit=%d", prefix, after_key ? "&Since=" : "",
               after_key ? escaped : "", KEYS_PAGE_COUNT);
    kv_result_t result = send_request(kv_store, client, "GET", path, NULL, KV_TIMEOUT_MS, &answer);
    if (result != KV_OK)
        return result;
    if (revision)
        *revision = get_uint64(answer, "Logline");
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(answer, "Entries"), i, item)
    {
        kv_entry_t entry = {.key = g_strdup(json_string_value(json_object_get(item, "K"))),
                            .value = json_incref(json_object_get(item, "Value")),
                            .revision = get_uint64(item, "Stamp")};
        g_array_append_val(entries, entry);
    }
    *has_more = json_is_true(json_object_get(answer, "More"));
    return KV_OK;
}

kv_result_t kv_list(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                    GArray *entries, uint64_t *revision)
{
    const guint before = entries->len;
    bool has_more = true;
    while (has_more) {
        bool is_first = entries->len == before;
        const char *after_key =
            is_first ? NULL : g_array_index(entries, kv_entry_t, entries->len - 1).key;
        kv_result_t result = list_page(kv_store, client, prefix, after_key, entries,
                                       is_first ? revision : NULL, &has_more);
        if (result != KV_OK)
            return result;
        /* Without any entry there is no key after which a next page could start. */
        has_more = has_more && entries->len > before;
    }
    return KV_OK;
}

kv_txn_t kv_txn_new(void)
{
    return (kv_txn_t){.conditions = json_array(), .changes = json_array()};
}

void kv_txn_free(kv_txn_t *txn)
{
    json_decref(txn->conditions);
    json_decref(txn->changes);
}

void kv_txn_require_revision(kv_txn_t *txn, const char *key, uint64_t revision)
{
    json_array_append_new(txn->conditions,
                          json_pack("{s:s,s:I}", "K", key, "Stamp", (json_int_t)revision));
}

const char *kv_txn_required_key(const kv_txn_t *txn, size_t index)
{
    return json_string_value(json_object_get(json_array_get(txn->conditions, index), "K"));
}

void kv_txn_put(kv_txn_t *txn, const char *key, json_t *value, uint64_t lease)
{
    json_t *change = json_pack("{s:s,s:o}", "Set", key, "Value", value);
    /* A transaction with a record that could not be built must not be committed without it: the
     * record's attempts would be lost, and their tasks would run twice. */
    txn->is_invalid = txn->is_invalid || !change;
    if (lease)
        json_object_set_new(change, "Tether", json_integer((json_int_t)lease));
    json_array_append_new(txn->changes, change);
}

void kv_txn_delete(kv_txn_t *txn, const char *key)
{
    json_array_append_new(txn->changes, json_pack("{s:s}", "Delete", key));
}

static void append_failed_keys(const json_t *answer, GPtrArray *failed)
{
    size_t i;
    json_t *key;
    json_array_foreach(json_object_get(answer, "failed"), i, key)
    {
        g_ptr_array_add(failed, g_strdup(json_string_value(key)));
    }
}

kv_result_t kv_commit(kv_store_t *kv_store, http_client_t *client, const kv_txn_t *txn,
                      long timeout_ms, uint64_t *revision, GPtrArray *failed)
{
    if (txn->is_invalid)
        return KV_INVALID;
    json_auto_t *answer = NULL;
    json_t *body = json_pack("{s:O,s:O}", "If", txn->conditions, "Then", txn->changes);
    kv_result_t result = send_request(kv_store, client, "POST", "/txn", body, timeout_ms, &answer);
    json_decref(body);
    if (result == KV_OK && revision)
        *revision = get_uint64(answer, "Logline");
    if (result == KV_CONFLICT && failed)
        append_failed_keys(answer, failed);
    return result;
}

kv_result_t kv_lease_create(kv_store_t *kv_store, http_client_t *client, guint life_ms,
                            uint64_t *lease)
{
    json_auto_t *answer = NULL;
    json_t *body = json_pack("{s:i}", "LifeMs", (int)life_ms);
    kv_result_t result =
        send_request(kv_store, client, "POST", "/grants", body, KV_TIMEOUT_MS, &answer);
    json_decref(body);
    if (result == KV_OK)
        *lease = get_uint64(answer, "Tether");
    return result;
}

kv_result_t kv_lease_extend(kv_store_t *kv_store, http_client_t *client, uint64_t lease)
{
    char path[URL_BYTES];
    json_auto_t *answer = NULL;
    g_snprintf(path, sizeof path, "/grants/%" G_GUINT64_FORMAT "/extend", lease);
    kv_result_t result =
        send_request(kv_store, client, "POST", path, NULL, LEASE_EXTEND_GAP_MS, &answer);
    return result;
}

kv_result_t kv_watch(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                     guint block_ms, uint64_t *revision, GArray *changes)
{
    char path[URL_BYTES];
    json_auto_t *answer = NULL;
    g_snprintf(path, sizeof path, "/follow?Under=%s&Since=%" G_GUINT64_FORMAT "&BlockMs=%u", prefix,
               *revision, block_ms);
    kv_result_t result =
        send_request(kv_store, client, "GET", path, NULL, (long)block_ms + KV_TIMEOUT_MS, &answer);
    if (result != KV_OK)
        return result;
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(answer, "News"), i, item)
    {
        json_t *set = json_object_get(item, "Set");
        json_t *key = set ? set : json_object_get(item, "Delete");
        kv_entry_t entry = {.key = g_strdup(json_string_value(key)),
                            .value = set ? json_incref(json_object_get(item, "Value")) : NULL,
                            .revision = get_uint64(item, "Stamp")};
        g_array_append_val(changes, entry);
    }
    *revision = get_uint64(answer, "Logline");
    return KV_OK;
}
