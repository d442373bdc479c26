/* Parses untrusted JSON: builds jansson values from yajl's events. */
#include "io/codec/json_input.h"

#include <math.h>

#include "io/codec/json_events.h"

/* The value under construction and its open containers, outermost first. Each container is added
 * to its parent when it is opened, so that the root holds all that has been parsed so far, also
 * after an error. */
typedef struct tree_builder {
    json_t *root;                                  /* owned; NULL until the first value */
    json_t *open_containers[JSON_DEPTH_MAX_COUNT]; /* borrowed */
    guint depth;
    GString *key; /* owned; key of the next value, if the innermost container is an object */
} tree_builder_t;

/* Adds the value (transfer full) to the innermost container. Always returns true, so that yajl
 * continues. */
static int add_value(tree_builder_t *builder, json_t *value)
{
    json_t *container = builder->depth > 0 ? builder->open_containers[builder->depth - 1] : NULL;
    if (!container)
        builder->root = value;
    else if (json_is_array(container))
        json_array_append_new(container, value);
    else
        json_object_setn_new_nocheck(container, builder->key->str, builder->key->len, value);
    return true;
}

static int open_container(tree_builder_t *builder, json_t *container)
{
    if (builder->depth == JSON_DEPTH_MAX_COUNT) {
        json_decref(container);
        return false;
    }
    add_value(builder, container);
    builder->open_containers[builder->depth++] = container;
    return true;
}

static int close_container(void *context)
{
    tree_builder_t *builder = context;
    builder->depth--;
    return true;
}

static int open_object(void *context)
{
    return open_container(context, json_object());
}

static int open_array(void *context)
{
    return open_container(context, json_array());
}

static int read_key(void *context, const unsigned char *text, size_t length)
{
    tree_builder_t *builder = context;
    g_string_truncate(builder->key, 0);
    g_string_append_len(builder->key, (const char *)text, (gssize)length);
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

/* A number that does not fit into a double becomes JSON_NUMBER_MAX, because JSON has no infinity.
 * It is out of range in every field. */
static json_t *build_real(const char *text)
{
    double value = g_ascii_strtod(text, NULL);
    return json_real(isfinite(value) ? value : copysign(JSON_NUMBER_MAX, value));
}

static int read_number(void *context, const char *text, size_t length)
{
    gint64 integer = 0;
    g_autofree char *number = g_strndup(text, length);
    bool is_integer =
        g_ascii_string_to_signed(number, DECIMAL, G_MININT64, G_MAXINT64, &integer, NULL);
    json_t *value = is_integer ? json_integer(integer) : build_real(number);
    return add_value(context, value);
}

json_t *json_input_load(const char *text, gsize length, json_t **partial)
{
    static const yajl_callbacks callbacks = {.yajl_null = read_null,
                                             .yajl_boolean = read_boolean,
                                             .yajl_number = read_number,
                                             .yajl_string = read_string,
                                             .yajl_start_map = open_object,
                                             .yajl_map_key = read_key,
                                             .yajl_end_map = close_container,
                                             .yajl_start_array = open_array,
                                             .yajl_end_array = close_container};
    tree_builder_t builder = {.key = g_string_new(NULL)};
    bool is_complete = json_events_parse(&callbacks, &builder, text, length);
    g_string_free(builder.key, TRUE);
    *partial = builder.root;
    return is_complete ? json_incref(builder.root) : NULL;
}
