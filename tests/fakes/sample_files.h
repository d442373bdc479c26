/* Reads and compares the sample messages in tests/samples, byte for byte. They are JSON as the
 * service writes it, and XDR as hex text.
 *
 * If the environment variable SAMPLES_WRITE names a directory, the messages that the code under
 * test writes are also stored there. They are still compared, so such a run fails if a sample
 * differs. */
#ifndef PEPPERPULLEY_SAMPLE_FILES_H
#define PEPPERPULLEY_SAMPLE_FILES_H

#include <glib.h>
#include <jansson.h>

#include "unit_test.h"

enum { HEX_LINE_BYTES = 48 };

/* Returns the sample without its final newline; the caller owns it. Prints the name of the sample,
 * so that the name precedes the message of a failed comparison in the output. */
static inline char *read_sample(const char *name)
{
    char *text = NULL;
    gsize length = 0;
    char *path = g_build_filename(SOURCE_DIR, "tests", "samples", name, NULL);
    if (!g_file_get_contents(path, &text, &length, NULL))
        fail_msg("sample %s is missing", name);
    print_message("sample %s\n", name);
    g_free(path);
    if (length > 0 && text[length - 1] == '\n')
        text[length - 1] = '\0';
    return text;
}

static inline json_t *read_json_sample(const char *name)
{
    char *text = read_sample(name);
    json_t *value = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
    if (!value)
        fail_msg("sample %s is not JSON", name);
    g_free(text);
    return value;
}

static inline GByteArray *read_hex_sample(const char *name)
{
    GByteArray *bytes = g_byte_array_new();
    char *text = read_sample(name);
    for (const char *at = text; *at; at++) {
        if (*at == '\n')
            continue;
        if (!g_ascii_isxdigit(at[0]) || !g_ascii_isxdigit(at[1]))
            fail_msg("sample %s is not hex text", name);
        guint8 byte = (guint8)(g_ascii_xdigit_value(at[0]) << 4 | g_ascii_xdigit_value(at[1]));
        g_byte_array_append(bytes, &byte, 1);
        at++;
    }
    g_free(text);
    return bytes;
}

static inline void write_sample(const char *directory, const char *name, const char *text)
{
    char *path = g_build_filename(directory, name, NULL);
    char *line = g_strdup_printf("%s\n", text);
    assert_true(g_file_set_contents(path, line, -1, NULL));
    g_free(line);
    g_free(path);
}

static inline void assert_text_is_sample(const char *name, const char *text)
{
    const char *directory = g_getenv("SAMPLES_WRITE");
    if (directory)
        write_sample(directory, name, text);
    char *sample = read_sample(name);
    gsize equal_bytes = 0;
    while (sample[equal_bytes] && sample[equal_bytes] == text[equal_bytes])
        equal_bytes++;
    if (sample[equal_bytes] != text[equal_bytes])
        fail_msg("sample %s differs from byte %zu on\nsample:  %s\nwritten: %s", name,
                 (size_t)equal_bytes, sample, text);
    g_free(sample);
}

/* Expects that the value, written as the service writes JSON, equals the sample. Consumes the
 * value. */
static inline void assert_json_is_sample(const char *name, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_REAL_PRECISION(9));
    assert_non_null(text);
    assert_text_is_sample(name, text);
    free(text);
    json_decref(value);
}

static inline void assert_bytes_are_sample(const char *name, const GByteArray *bytes)
{
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < bytes->len; i++)
        g_string_append_printf(text, "%s%02x", i && i % HEX_LINE_BYTES == 0 ? "\n" : "",
                               bytes->data[i]);
    assert_text_is_sample(name, text->str);
    g_string_free(text, TRUE);
}

#endif
