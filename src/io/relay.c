#include "io/relay.h"

#include <string.h>

#include <zlib.h>

/* Machine summaries repeat each other's names and resources: packed, those of a zone of hundreds of
 * machines fit into a transaction, which as they are they did not. */
static char *pack(const GByteArray *frame)
{
    uLongf size = compressBound(frame->len);
    guchar *packed = g_malloc(size);
    compress2(packed, &size, frame->data, frame->len, Z_BEST_SPEED);
    char *text = g_base64_encode(packed, size);
    g_free(packed);
    return text;
}

/* NULL: not what pack() made of so many bytes. */
static GByteArray *unpack(const char *text, json_int_t size)
{
    gsize length = 0;
    if (size < 0 || size > PEER_FRAME_MAX_BYTES)
        return NULL;
    uLongf whole = (uLongf)size;
    guchar *packed = g_base64_decode(text, &length);
    GByteArray *frame = g_byte_array_sized_new((guint)size + 1);
    g_byte_array_set_size(frame, (guint)size);
    if (uncompress(frame->data, &whole, packed, length) != Z_OK || whole != (uLongf)size)
        g_clear_pointer(&frame, g_byte_array_unref);
    g_free(packed);
    return frame;
}

guint relay_write(kv_txn_t *txn, const char *inbox, const char *name, const GByteArray *frame,
                  gsize value_max)
{
    char key[KV_KEY_BYTES];
    char *text = pack(frame);
    gsize length = strlen(text);
    gsize page_max = value_max - RELAY_RESERVE_BYTES;
    guint pages = (guint)((length + page_max - 1) / page_max);
    for (guint page = 0; page < pages; page++) {
        gsize from = page * page_max;
        g_snprintf(key, sizeof key, "mail/%s/%s.%u", inbox, name, page);
        kv_txn_put(txn, key,
                   json_pack("{s:i,s:i,s:s%}", "Pages", (int)pages, "Bytes", (int)frame->len,
                             "Message", text + from, MIN(page_max, length - from)),
                   0);
    }
    g_free(text);
    return pages;
}

static void relay_message_clear(gpointer data)
{
    g_byte_array_unref(((relay_message_t *)data)->frame);
}

/* The page's inbox and number; false: not a page of this inbox. */
static bool parse_key(const char *key, const char *inbox, char *name, gsize size, guint64 *page)
{
    char prefix[KV_KEY_BYTES];
    const char *dot = strrchr(key, '.');
    g_snprintf(prefix, sizeof prefix, "mail/%s/", inbox);
    gsize skip = strlen(prefix);
    if (!g_str_has_prefix(key, prefix) || !dot || dot < key + skip ||
        (gsize)(dot - key) - skip >= size ||
        !g_ascii_string_to_unsigned(dot + 1, DECIMAL, 0, RELAY_PAGES_COUNT, page, NULL))
        return false;
    g_strlcpy(name, key + skip, (gsize)(dot - key) - skip + 1);
    return true;
}

/* The text of the message whose first page is the entry; NULL: not whole. Entries are in the order
 * of their keys, so pages up to the tenth follow each other. */
static GString *gather(const GArray *entries, guint first)
{
    const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, first);
    json_int_t pages = json_integer_value(json_object_get(entry->value, "Pages"));
    if (pages < 1 || pages > RELAY_PAGES_COUNT || first + (guint)pages > entries->len)
        return NULL;
    GString *text = g_string_new(NULL);
    gsize stem = strlen(entry->key) - 1;
    for (guint page = 0; page < (guint)pages; page++) {
        const kv_entry_t *next = &g_array_index(entries, kv_entry_t, first + page);
        const char *page_text = json_string_value(json_object_get(next->value, "Message"));
        if (next->revision != entry->revision || strncmp(next->key, entry->key, stem) != 0 ||
            next->key[stem] != (char)('0' + page) || !page_text) {
            g_string_free(text, TRUE);
            return NULL;
        }
        g_string_append(text, page_text);
    }
    return text;
}

GArray *relay_read(const GArray *entries, const char *inbox)
{
    GArray *relayed_messages = g_array_new(FALSE, TRUE, sizeof(relay_message_t));
    g_array_set_clear_func(relayed_messages, relay_message_clear);
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        relay_message_t relayed = {.revision = entry->revision};
        guint64 page = 0;
        if (!parse_key(entry->key, inbox, relayed.name, sizeof relayed.name, &page) || page != 0)
            continue;
        GString *text = gather(entries, i);
        if (!text)
            continue;
        relayed.frame =
            unpack(text->str, json_integer_value(json_object_get(entry->value, "Bytes")));
        g_string_free(text, TRUE);
        if (relayed.frame)
            g_array_append_val(relayed_messages, relayed);
    }
    return relayed_messages;
}
