/* Checked access to the fields of JSON objects. */
#include "io/codec/codec_internal.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

GQuark codec_error_quark(void)
{
    return g_quark_from_static_string("codec-error-quark");
}

bool codec_set_error(GError **error, codec_error_t code, const char *format, ...)
{
    if (!error)
        return false;
    va_list args;
    va_start(args, format);
    g_propagate_error(error, g_error_new_valist(CODEC_ERROR, (gint)code, format, args));
    va_end(args);
    return false;
}

const char *codec_c_string(const json_t *value)
{
    const char *text = json_string_value(value);
    return text && strlen(text) == json_string_length(value) ? text : NULL;
}

bool codec_get_string(const json_t *body, const char *name, char *to, gsize size, GError **error)
{
    const char *text = codec_c_string(json_object_get(body, name));
    if (!text || !*text)
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: a non-empty string is expected", name);
    if (g_strlcpy(to, text, size) >= size)
        return codec_set_error(error, CODEC_ERROR_RANGE, "%s: longer than %zu bytes", name,
                               (size_t)size - 1);
    return true;
}

bool codec_get_optional_string(const json_t *body, const char *name, char *to, gsize size,
                               GError **error)
{
    const json_t *value = json_object_get(body, name);
    return !value || json_is_null(value) || codec_get_string(body, name, to, size, error);
}

bool codec_get_number(const json_t *body, const char *name, double min, double *to, GError **error)
{
    const json_t *value = json_object_get(body, name);
    if (!json_is_number(value))
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: a number is expected", name);
    double number = json_number_value(value);
    if (!isfinite(number) || number < min || number > AMOUNT_MAX)
        return codec_set_error(error, CODEC_ERROR_RANGE, "%s: out of range", name);
    *to = number;
    return true;
}

bool codec_get_optional_number(const json_t *body, const char *name, double min, double *to,
                               GError **error)
{
    const json_t *value = json_object_get(body, name);
    return !value || json_is_null(value) || codec_get_number(body, name, min, to, error);
}

bool codec_get_boolean(const json_t *body, const char *name, bool *to, GError **error)
{
    const json_t *value = json_object_get(body, name);
    if (!json_is_boolean(value))
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: true or false is expected", name);
    *to = json_is_true(value);
    return true;
}

bool codec_get_integer(const json_t *body, const char *name, json_int_t min, json_int_t max,
                       uint64_t *to, GError **error)
{
    const json_t *value = json_object_get(body, name);
    if (!json_is_integer(value))
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: an integer is expected", name);
    json_int_t integer = json_integer_value(value);
    if (integer < min || integer > max)
        return codec_set_error(error, CODEC_ERROR_RANGE, "%s: out of range", name);
    *to = (uint64_t)integer;
    return true;
}

bool codec_get_enum(const json_t *body, const char *name, const char *const *words, int count,
                    int *to, GError **error)
{
    const char *text = codec_c_string(json_object_get(body, name));
    for (int i = 0; text && i < count; i++) {
        if (strcmp(text, words[i]) == 0) {
            *to = i;
            return true;
        }
    }
    return codec_set_error(error, CODEC_ERROR_VALUE, "%s: not one of the known words", name);
}

GPtrArray *codec_collect_strings(const json_t *list)
{
    GPtrArray *strings = g_ptr_array_new(); /* of const char *, borrowed from the list */
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        if (json_is_string(item))
            g_ptr_array_add(strings, (gpointer)json_string_value(item));
    }
    return strings;
}
