/* JSON from outside: builds jansson's values from yajl's events. */
#include "io/codec/json_input.h"

#include <math.h>

#include "io/codec/json_events.h"

/* The value under construction: the open containers, outermost first. Each is added to its parent
 * when it is opened, so that the outermost one holds all that was read so far. */
typedef struct reader {
    json_t *root;                       /* owned; NULL: nothing was read yet */
    json_t *open[JSON_DEPTH_MAX_COUNT]; /* borrowed */
    guint depth;
    GString *key; /* owned; of the next value, if the innermost container is an object */
} reader_t;

/* Adds the value (transfer full) to the innermost container. Always returns true: continue. */
static int add_value(reader_t *reader, json_t *value)
{
    json_t *container = reader->depth > 0 ? reader->open[reader->depth - 1] : NULL;
    if (!container)
        reader->root = value;
    else if (json_is_array(container))
        json_array_append_new(container, value);
    else
        json_object_setn_new_nocheck(container, reader->key->str, reader->key->len, value);
    return true;
}

static int open_container(reader_t *reader, json_t *container)
{
    if (reader->depth == JSON_DEPTH_MAX_COUNT) {
        json_decref(container);
        return false;
    }
    add_value(reader, container);
    reader->open[reader->depth++] = container;
    return true;
}

static int close_container(void *context)
{
    reader_t *reader = context;
    reader->depth--;
    return true;
}

static int read_object(void *context)
{
    return open_container(context, json_object());
}

static int read_array(void *context)
{
    return open_container(context, json_array());
}

static int read_key(void *context, const unsigned char *text, size_t length)
{
    reader_t *reader = context;
    g_string_truncate(reader->key, 0);
    g_string_append_len(reader->key, (const char *)text, (gssize)length);
    return true;
}

static int read_null(void *context)
{
    return add_value(context, json_null());
}

static int read_boolean(void *context, int value)
{
    return add_value(context, json_boolean(value));
}

static int read_string(void *context, const unsigned char *text, size_t length)
{
    return add_value(context, json_stringn_nocheck((const char *)text, length));
}

/* JSON has no infinity, and a field that holds one must be found out of range. */
static json_t *real_number(const char *text)
{
    double value = g_ascii_strtod(text, NULL);
    return json_real(isfinite(value) ? value : copysign(LARGEST_NUMBER, value));
}

static int read_number(void *context, const char *text, size_t length)
{
    gint64 integer = 0;
    g_autofree char *number = g_strndup(text, length);
    bool is_integer =
        g_ascii_string_to_signed(number, DECIMAL, G_MININT64, G_MAXINT64, &integer, NULL);
    json_t *value = is_integer ? json_integer(integer) : real_number(number);
    return add_value(context, value);
}

json_t *json_input_load(const char *text, gsize length, json_t **partial)
{
    static const yajl_callbacks callbacks = {.yajl_null = read_null,
                                             .yajl_boolean = read_boolean,
                                             .yajl_number = read_number,
                                             .yajl_string = read_string,
                                             .yajl_start_map = read_object,
                                             .yajl_map_key = read_key,
                                             .yajl_end_map = close_container,
                                             .yajl_start_array = read_array,
                                             .yajl_end_array = close_container};
    reader_t reader = {.key = g_string_new(NULL)};
    bool is_whole = json_events_parse(&callbacks, &reader, text, length);
    g_string_free(reader.key, TRUE);
    *partial = reader.root;
    return is_whole ? json_incref(reader.root) : NULL;
}
