#include "io/mail.h"

#include <string.h>

guint mail_write(txn_t *txn, const char *box, const char *name, const GByteArray *frame,
                 gsize value_max)
{
    char key[ID_SIZE + 32];
    char *text = g_base64_encode(frame->data, frame->len);
    gsize length = strlen(text), page_max = value_max - MAIL_ROOM;
    guint pages = (guint)((length + page_max - 1) / page_max);
    for (guint page = 0; page < pages; page++) {
        gsize from = page * page_max;
        g_snprintf(key, sizeof key, "mail/%s/%s.%u", box, name, page);
        txn_set(txn, key,
                json_pack("{s:i,s:s%}", "Pages", (int)pages, "Message", text + from,
                          MIN(page_max, length - from)),
                0);
    }
    g_free(text);
    return pages;
}

static void letter_clear(gpointer data)
{
    g_byte_array_unref(((letter_t *)data)->frame);
}

/* The page's box and number; false: not a page of this box. */
static bool parse_key(const char *key, const char *box, char *name, gsize size, guint64 *page)
{
    char prefix[32];
    const char *dot = strrchr(key, '.');
    g_snprintf(prefix, sizeof prefix, "mail/%s/", box);
    gsize skip = strlen(prefix);
    if (!g_str_has_prefix(key, prefix) || !dot || dot < key + skip ||
        (gsize)(dot - key) - skip >= size ||
        !g_ascii_string_to_unsigned(dot + 1, 10, 0, MAIL_PAGES, page, NULL))
        return false;
    g_strlcpy(name, key + skip, (gsize)(dot - key) - skip + 1);
    return true;
}

/* The text of the letter whose first page is the entry; NULL: not whole. Entries are in the order
 * of their keys, so pages up to the tenth follow each other. */
static GString *gather(const GArray *entries, guint first)
{
    const state_entry_t *entry = &g_array_index(entries, state_entry_t, first);
    json_int_t pages = json_integer_value(json_object_get(entry->value, "Pages"));
    if (pages < 1 || pages > MAIL_PAGES || first + (guint)pages > entries->len)
        return NULL;
    GString *text = g_string_new(NULL);
    gsize stem = strlen(entry->key) - 1;
    for (guint page = 0; page < (guint)pages; page++) {
        const state_entry_t *next = &g_array_index(entries, state_entry_t, first + page);
        const char *part = json_string_value(json_object_get(next->value, "Message"));
        if (next->stamp != entry->stamp || strncmp(next->key, entry->key, stem) != 0 ||
            next->key[stem] != (char)('0' + page) || !part) {
            g_string_free(text, TRUE);
            return NULL;
        }
        g_string_append(text, part);
    }
    return text;
}

GArray *mail_read(const GArray *entries, const char *box)
{
    GArray *letters = g_array_new(FALSE, TRUE, sizeof(letter_t));
    g_array_set_clear_func(letters, letter_clear);
    for (guint i = 0; i < entries->len; i++) {
        const state_entry_t *entry = &g_array_index(entries, state_entry_t, i);
        letter_t letter = {.stamp = entry->stamp};
        guint64 page = 0;
        gsize size = 0;
        if (!parse_key(entry->key, box, letter.name, sizeof letter.name, &page) || page != 0)
            continue;
        GString *text = gather(entries, i);
        guchar *data = text ? g_base64_decode(text->str, &size) : NULL;
        if (text)
            g_string_free(text, TRUE);
        if (!data)
            continue;
        letter.frame = g_byte_array_new_take(data, size);
        g_array_append_val(letters, letter);
    }
    return letters;
}
