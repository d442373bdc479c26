#include "io/relay.h"

#include <string.h>

#include <zlib.h>

#include "io/codec/codec.h"

/* Returns the frame, compressed and encoded as base64 text (transfer full). Compression is needed
 * because the uncompressed machine summaries of a zone with hundreds of machines exceed the size
 * limit of a transaction. It is effective because summaries repeat the same names and resources. */
static char *compress_frame(const GByteArray *frame)
{
    uLongf size = compressBound(frame->len);
    guchar *compressed = g_malloc(size);
    compress2(compressed, &size, frame->data, frame->len, Z_BEST_SPEED);
    char *text = g_base64_encode(compressed, size);
    g_free(compressed);
    return text;
}

/* Reverses compress_frame(): returns the frame of `size` bytes (transfer full), or NULL if the text
 * is not a compressed frame of that size. */
static GByteArray *decompress_frame(const char *text, int64_t size)
{
    gsize compressed_size = 0;
    if (size < 0 || size > PEER_FRAME_MAX_BYTES)
        return NULL;
    uLongf frame_size = (uLongf)size;
    g_autofree guchar *compressed = g_base64_decode(text, &compressed_size);
    GByteArray *frame = g_byte_array_sized_new((guint)size + 1);
    g_byte_array_set_size(frame, (guint)size);
    if (uncompress(frame->data, &frame_size, compressed, compressed_size) != Z_OK ||
        frame_size != (uLongf)size)
        g_clear_pointer(&frame, g_byte_array_unref);
    return frame;
}

guint relay_write(kv_txn_t *txn, const char *inbox, const char *name, const GByteArray *frame,
                  gsize value_max)
{
    char key[KV_KEY_BYTES];
    g_autofree char *text = compress_frame(frame);
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

/* Parses a key of the form mail/<inbox>/<name>.<page> into the name and the page number. `size` is
 * the size of the buffer for the name. Returns false if the key does not have this form or the name
 * does not fit. */
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

/* Returns the text of a page, or NULL if the entry is not page number `page` of the message whose
 * first page is `first`. Page numbers have one digit, so the keys differ in their last character
 * only. */
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

/* Joins the text of a message from its `pages` pages. The entry at `first_index` is the first page,
 * and the others follow it in the order of their keys. Returns the text (transfer full), or NULL if
 * a page is missing. */
static GString *join_pages(const GArray *entries, guint first_index, int64_t pages)
{
    const kv_entry_t *first = &g_array_index(entries, kv_entry_t, first_index);
    if (pages < 1 || pages > RELAY_PAGES_COUNT || first_index + (guint)pages > entries->len)
        return NULL;
    g_autoptr(GString) text = g_string_new(NULL);
    for (guint page = 0; page < (guint)pages; page++) {
        const kv_entry_t *entry = &g_array_index(entries, kv_entry_t, first_index + page);
        const char *fragment = page_text(entry, first, page);
        if (!fragment)
            return NULL;
        g_string_append(text, fragment);
    }
    return g_steal_pointer(&text);
}

/* Returns the frame of the message whose first page is the entry at `first_index` (transfer full),
 * or NULL if the message is incomplete or invalid. */
static GByteArray *read_frame(const GArray *entries, guint first_index)
{
    const kv_entry_t *first = &g_array_index(entries, kv_entry_t, first_index);
    relay_page_t content;
    codec_parse_relay_page(first->value, &content);
    g_autoptr(GString) text = join_pages(entries, first_index, content.pages);
    if (!text)
        return NULL;
    return decompress_frame(text->str, content.frame_bytes);
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
