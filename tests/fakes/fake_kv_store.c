#include "fake_kv_store.h"

static void entry_free(gpointer data)
{
    kv_entry_t *entry = data;
    g_free(entry->key);
    json_decref(entry->value);
    g_free(entry);
}

fake_kv_store_t *fake_kv_store_new(void)
{
    fake_kv_store_t *store = g_new0(fake_kv_store_t, 1);
    store->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    return store;
}

void fake_kv_store_free(fake_kv_store_t *store)
{
    g_hash_table_unref(store->keys);
    g_free(store);
}

const kv_entry_t *fake_kv_store_get(const fake_kv_store_t *store, const char *key)
{
    return g_hash_table_lookup(store->keys, key);
}

uint64_t fake_kv_store_revision(const fake_kv_store_t *store, const char *key)
{
    const kv_entry_t *entry = fake_kv_store_get(store, key);
    return entry ? entry->revision : 0;
}

static bool do_conditions_hold(const fake_kv_store_t *store, const json_t *conditions)
{
    size_t i;
    json_t *condition;
    json_array_foreach(conditions, i, condition)
    {
        const char *key = json_string_value(json_object_get(condition, "K"));
        uint64_t revision = (uint64_t)json_integer_value(json_object_get(condition, "Stamp"));
        if (fake_kv_store_revision(store, key) != revision)
            return false;
    }
    return true;
}

static void store_entry(fake_kv_store_t *store, const char *key, json_t *value)
{
    kv_entry_t *entry = g_new0(kv_entry_t, 1);
    entry->key = g_strdup(key);
    entry->value = json_incref(value);
    entry->revision = store->revision;
    g_hash_table_replace(store->keys, entry->key, entry);
}

static void apply_changes(fake_kv_store_t *store, const json_t *changes)
{
    size_t i;
    json_t *change;
    store->revision++;
    json_array_foreach(changes, i, change)
    {
        const char *key = json_string_value(json_object_get(change, "Set"));
        if (key)
            store_entry(store, key, json_object_get(change, "Value"));
        else
            g_hash_table_remove(store->keys, json_string_value(json_object_get(change, "Delete")));
    }
}

kv_result_t fake_kv_store_apply(fake_kv_store_t *store, kv_txn_t txn)
{
    kv_result_t result = KV_CONFLICT;
    if (do_conditions_hold(store, txn.conditions)) {
        apply_changes(store, txn.changes);
        result = KV_OK;
    }
    kv_txn_free(&txn);
    return result;
}
