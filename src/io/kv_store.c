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

static kv_result_t send_request(kv_store_t *kv_store, http_client_t *client, const char *method,
                                const char *path, const json_t *body, long timeout_ms,
                                json_t **answer)
{
    char url[URL_BYTES];
    g_snprintf(url, sizeof url, "%s%s", kv_store->base_url, path);
    msec_t sent = clock_steady();
    int status = http_call(client, method, url, body, timeout_ms, answer);
    switch (status) {
    case HTTP_OK:
        break;
    case HTTP_NO_ANSWER:
        return KV_INDETERMINATE;
    case HTTP_NOT_FOUND:
    case HTTP_CONFLICT:
    case HTTP_GONE:
        break;
    case HTTP_BAD_REQUEST:
        return KV_INVALID;
    case HTTP_NOT_SENT:
    case HTTP_TOO_MANY_REQUESTS:
    case HTTP_UNAVAILABLE:
        return KV_NOT_EXECUTED;
    default:
        return KV_INDETERMINATE;
    }
    msec_t before = atomic_load(&kv_store->answered_at);
    while (sent > before && !atomic_compare_exchange_weak(&kv_store->answered_at, &before, sent))
        ;
    if (status == HTTP_OK)
        return *answer ? KV_OK : KV_INDETERMINATE;
    return status == HTTP_NOT_FOUND  ? KV_NOT_FOUND
           : status == HTTP_CONFLICT ? KV_CONFLICT
                                     : KV_COMPACTED;
}

static uint64_t get_number(const json_t *object, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(object, name));
}

kv_result_t kv_get(kv_store_t *kv_store, http_client_t *client, const char *key, long timeout_ms,
                   kv_entry_t *entry)
{
    char path[URL_BYTES];
    json_t *answer = NULL;
    g_snprintf(path, sizeof path, "/keys/%s", key);
    kv_result_t result = send_request(kv_store, client, "GET", path, NULL, timeout_ms, &answer);
    if (result == KV_OK) {
        entry->key = g_strdup(key);
        entry->value = json_incref(json_object_get(answer, "Value"));
        entry->revision = get_number(answer, "Stamp");
    }
    json_decref(answer);
    return result;
}

kv_result_t kv_list(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                    GArray *entries, uint64_t *revision)
{
    char path[URL_BYTES];
    bool more = true, first = true;
    while (more) {
        json_t *answer = NULL;
        const char *since = first ? NULL : g_array_index(entries, kv_entry_t, entries->len - 1).key;
        g_snprintf(path, sizeof path, "/keys?Under=%s%s%s&Limit=%d", prefix, since ? "&Since=" : "",
                   since ? since : "", KEYS_PAGE_COUNT);
        kv_result_t result =
            send_request(kv_store, client, "GET", path, NULL, KV_TIMEOUT_MS, &answer);
        if (result != KV_OK) {
            json_decref(answer);
            return result;
        }
        if (first && revision)
            *revision = get_number(answer, "Logline");
        size_t i;
        json_t *item;
        json_array_foreach(json_object_get(answer, "Entries"), i, item)
        {
            kv_entry_t entry = {.key = g_strdup(json_string_value(json_object_get(item, "K"))),
                                .value = json_incref(json_object_get(item, "Value")),
                                .revision = get_number(item, "Stamp")};
            g_array_append_val(entries, entry);
            first = false;
        }
        more = json_is_true(json_object_get(answer, "More")) && !first;
        json_decref(answer);
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

void kv_txn_put(kv_txn_t *txn, const char *key, json_t *value, uint64_t lease)
{
    json_t *change = json_pack("{s:s,s:o}", "Set", key, "Value", value);
    /* A record that could not be built must not be committed as something else: its attempts would
     * be forgotten, and run twice. */
    txn->is_invalid = txn->is_invalid || !change;
    if (lease)
        json_object_set_new(change, "Tether", json_integer((json_int_t)lease));
    json_array_append_new(txn->changes, change);
}

void kv_txn_delete(kv_txn_t *txn, const char *key)
{
    json_array_append_new(txn->changes, json_pack("{s:s}", "Delete", key));
}

kv_result_t kv_commit(kv_store_t *kv_store, http_client_t *client, const kv_txn_t *txn,
                      long timeout_ms, uint64_t *revision, GPtrArray *failed)
{
    json_t *answer = NULL;
    if (txn->is_invalid)
        return KV_INVALID;
    json_t *body = json_pack("{s:O,s:O}", "If", txn->conditions, "Then", txn->changes);
    kv_result_t result = send_request(kv_store, client, "POST", "/txn", body, timeout_ms, &answer);
    json_decref(body);
    if (result == KV_OK && revision)
        *revision = get_number(answer, "Logline");
    size_t i;
    json_t *key;
    if (result == KV_CONFLICT && failed)
        json_array_foreach(json_object_get(answer, "failed"), i, key)
            g_ptr_array_add(failed, g_strdup(json_string_value(key)));
    json_decref(answer);
    return result;
}

kv_result_t kv_lease_create(kv_store_t *kv_store, http_client_t *client, guint life_ms,
                            uint64_t *lease)
{
    json_t *answer = NULL;
    json_t *body = json_pack("{s:i}", "LifeMs", (int)life_ms);
    kv_result_t result =
        send_request(kv_store, client, "POST", "/grants", body, KV_TIMEOUT_MS, &answer);
    json_decref(body);
    if (result == KV_OK)
        *lease = get_number(answer, "Tether");
    json_decref(answer);
    return result;
}

kv_result_t kv_lease_extend(kv_store_t *kv_store, http_client_t *client, uint64_t lease)
{
    char path[URL_BYTES];
    json_t *answer = NULL;
    g_snprintf(path, sizeof path, "/grants/%" G_GUINT64_FORMAT "/extend", lease);
    kv_result_t result =
        send_request(kv_store, client, "POST", path, NULL, LEASE_EXTEND_GAP_MS, &answer);
    json_decref(answer);
    return result;
}

kv_result_t kv_watch(kv_store_t *kv_store, http_client_t *client, const char *prefix,
                     guint block_ms, uint64_t *revision, GArray *changes)
{
    char path[URL_BYTES];
    json_t *answer = NULL;
    g_snprintf(path, sizeof path, "/follow?Under=%s&Since=%" G_GUINT64_FORMAT "&BlockMs=%u", prefix,
               *revision, block_ms);
    kv_result_t result =
        send_request(kv_store, client, "GET", path, NULL, (long)block_ms + KV_TIMEOUT_MS, &answer);
    if (result != KV_OK) {
        json_decref(answer);
        return result;
    }
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(answer, "News"), i, item)
    {
        json_t *set = json_object_get(item, "Set");
        json_t *key = set ? set : json_object_get(item, "Delete");
        kv_entry_t entry = {.key = g_strdup(json_string_value(key)),
                            .value = set ? json_incref(json_object_get(item, "Value")) : NULL,
                            .revision = get_number(item, "Stamp")};
        g_array_append_val(changes, entry);
    }
    *revision = get_number(answer, "Logline");
    json_decref(answer);
    return KV_OK;
}
