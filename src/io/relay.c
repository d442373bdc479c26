#include "io/relay.h"

#include <string.h>

#include <zlib.h>

#include "io/codec/codec.h"

/* The frame compressed, as base64 text; transfer full. Machine summaries repeat each other's names
 * and resources: uncompressed, those of a zone of hundreds of machines exceed a transaction. */
static char *pack(const GByteArray *frame)
{
    uLongf size = compressBound(frame->len);
    guchar *packed = g_malloc(size);
    compress2(packed, &size, frame->data, frame->len, Z_BEST_SPEED);
    char *text = g_base64_encode(packed, size);
    g_free(packed);
    return text;
}

/* The reverse of pack(), for a frame of `size` bytes; transfer full. NULL: the text is not of such
 * a frame. */
static GByteArray *unpack(const char *text, int64_t size)
{
    gsize packed_size = 0;
    if (size < 0 || size > PEER_FRAME_MAX_BYTES)
        return NULL;
    uLongf unpacked_size = (uLongf)size;
    g_autofree guchar *packed = g_base64_decode(text, &packed_size);
    GByteArray *frame = g_byte_array_sized_new((guint)size + 1);
    g_byte_array_set_size(frame, (guint)size);
    if (uncompress(frame->data, &unpacked_size, packed, packed_size) != Z_OK ||
        unpacked_size != (uLongf)size)
        g_clear_pointer(&frame, g_byte_array_unref);
    return frame;
}

guint relay_write(kv_txn_t *txn, const char *inbox, const char *name, const GByteArray *frame,
                  gsize value_max)
{
    char key[KV_KEY_BYTES];
    g_autofree char *text = pack(frame);
    gsize length = strlen(text);
    gsize page_max = value_max - RELAY_RESERVE_BYTES;
    guint pages = (guint)((length + page_max - 1) / page_max);
    for (guint page = 0; page < pages; page++) {
        gsize from = page * page_max;
        const relay_page_t content = {.pages = pages,
                                      .frame_bytes = frame->len,
                                      .text = text + from,
                                      .text_length = MIN(page_max, length - from)};
        g_snprintf(key, sizeof key, "mail/%s/%s.%u", inbox, name, page);
        kv_txn_put(txn, key, codec_build_relay_page(&content), 0);
    }
    return pages;
}

static void relay_message_clear(gpointer data)
{
    relay_message_t *relayed = data;
    g_byte_array_unref(relayed->frame);
}

/* A key of the form mail/<inbox>/<name>.<page>: finds the name, of at most `size` bytes with its
 * end, and the page. False: the key has another form. */
static bool parse_key(const char *key, const char *inbox, char *name, gsize size, guint64 *page)
{
    char prefix[KV_KEY_BYTES];
    g_snprintf(prefix, sizeof prefix, "mail/%s/", inbox);
    if (!g_str_has_prefix(key, prefix))
        return false;
    const char *name_start = key + strlen(prefix);
    const char *dot = strrchr(key, '.');
    if (!dot || dot < name_start)
        return false;
    gsize name_length = (gsize)(dot - name_start);
    if (name_length >= size)
        return false;
    if (!g_ascii_string_to_unsigned(dot + 1, DECIMAL, 0, RELAY_PAGES_COUNT, page, NULL))
        return false;
    g_strlcpy(name, name_start, name_length + 1);
    return true;
}

/* The text of a page; NULL: the entry is not the page of that number of the message whose first
 * page is `first`. Page numbers have one digit. */
static const char *page_text(const kv_entry_t *entry, const kv_entry_t *first, guint page)
{
    gsize digit = strlen(first->key) - 1;
    if (entry->revision != first->revision || strncmp(entry->key, first->key, digit) != 0 ||
        entry->key[digit] != (char)('0' + page))
        return NULL;
    relay_page_t content;
    codec_parse_relay_page(entry->value, &content);
    return content.text;
}

/* The text of the message of `pages` pages whose first one is the entry of that index, joined from
 * its pages, which follow each other in the order of their keys; transfer full. NULL: a page is
 * missing. */
static GString *gather_pages(const GArray *entries, guint first_index, int64_t pages)
{
    const kv_entry_t *first = &g_array_index(entries, kv_entry_t, first_index);
    if (pages < 1 || pages > RELAY_PAGES_COUNT || first_index + (guint)pages > entries->len)
        return NULL;
    g_autoptr(GString) text = g_string_new(NULL);
    for (guint page = 0; page < (guint)pages; page++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, first_index + page);
        const char *page_message = page_text(entry, first, page);
        if (!page_message)
            return NULL;
        g_string_append(text, page_message);
    }
    return g_steal_pointer(&text);
}

/* The frame of the message whose first page is the entry of that index, transfer full; NULL: it is
 * not whole. */
static GByteArray *read_frame(const GArray *entries, guint first_index)
{
    const kv_entry_t *first = &g_array_index(entries, kv_entry_t, first_index);
    relay_page_t content;
    codec_parse_relay_page(first->value, &content);
    g_autoptr(GString) text = gather_pages(entries, first_index, content.pages);
    if (!text)
        return NULL;
    return unpack(text->str, content.frame_bytes);
}

GArray *relay_read(const GArray *entries, const char *inbox)
{
    GArray *messages = g_array_new(FALSE, TRUE, sizeof(relay_message_t));
    g_array_set_clear_func(messages, relay_message_clear);
    for (guint i = 0; i < entries->len; i++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, i);
        relay_message_t relayed = {.revision = entry->revision};
        guint64 page = 0;
        if (!parse_key(entry->key, inbox, relayed.name, sizeof relayed.name, &page) || page != 0)
            continue;
        relayed.frame = read_frame(entries, i);
        if (relayed.frame)
            g_array_append_val(messages, relayed);
    }
    return messages;
}
