#include "io/json_input.h"

#include <math.h>
#include <string.h>

enum {
    SAFE_DIGITS = 18 /* an integer of so many digits fits 64 bits */
};

static bool starts_number(char c)
{
    return c == '-' || g_ascii_isdigit(c);
}

/* Where the token that begins at `at` ends: a string, a number, or a single character. */
static const char *token_end(const char *at, const char *end)
{
    if (starts_number(*at)) {
        while (at < end && memchr("0123456789+-.eE", *at, 15))
            at++;
        return at;
    }
    if (*at++ != '"')
        return at;
    while (at < end && *at != '"')
        at += *at == '\\' && at + 1 < end ? 2 : 1;
    return at < end ? at + 1 : end;
}

/* What stands for a number that the parser does not bear; NULL: it bears it, or it is none. Owned
 * by the caller. */
static char *bounded_number(const char *text, gsize length)
{
    bool integer =
        !memchr(text, '.', length) && !memchr(text, 'e', length) && !memchr(text, 'E', length);
    if (integer && length <= SAFE_DIGITS)
        return NULL;
    char *rest, *result = NULL;
    char *number = g_strndup(text, length);
    double value = g_ascii_strtod(number, &rest);
    if (*rest == '\0' && !isfinite(value))
        result = g_strdup(value > 0 ? "1e308" : "-1e308");
    else if (*rest == '\0' && integer &&
             !g_ascii_string_to_signed(number, 10, G_MININT64, G_MAXINT64, NULL, NULL))
        result = g_strdup_printf("%se0", number);
    g_free(number);
    return result;
}

json_t *json_input_load(const char *text, gsize length)
{
    const char *end = text + length, *copied = text;
    GString *bounded = g_string_new(NULL);
    guint depth = 0, deepest = 0;
    for (const char *at = text, *next; at < end; at = next) {
        next = token_end(at, end);
        if (*at == '[' || *at == '{')
            deepest = MAX(deepest, ++depth);
        else if ((*at == ']' || *at == '}') && depth > 0)
            depth--;
        char *number = starts_number(*at) ? bounded_number(at, (gsize)(next - at)) : NULL;
        if (!number)
            continue;
        g_string_append_len(bounded, copied, (gssize)(at - copied));
        g_string_append(bounded, number);
        copied = next;
        g_free(number);
    }
    json_t *value = NULL;
    if (copied != text)
        g_string_append_len(bounded, copied, (gssize)(end - copied));
    if (deepest <= JSON_DEPTH_MAX && copied == text)
        value = json_loadb(text, length, JSON_ALLOW_NUL, NULL);
    else if (deepest <= JSON_DEPTH_MAX)
        value = json_loadb(bounded->str, bounded->len, JSON_ALLOW_NUL, NULL);
    g_string_free(bounded, TRUE);
    return value;
}

static const char *skip_space(const char *at, const char *end)
{
    while (at < end && g_ascii_isspace(*at))
        at++;
    return at;
}

static bool is_name(const char *at, const char *end, const char *name)
{
    gsize length = strlen(name);
    return (gsize)(end - at) == length + 2 && *at == '"' && memcmp(at + 1, name, length) == 0;
}

/* A whole string without escapes. */
static bool copy_string(const char *at, const char *end, char *to, gsize size)
{
    gsize length = (gsize)(end - at);
    if (length < 2 || length - 2 >= size || *at != '"' || end[-1] != '"' ||
        memchr(at, '\\', length) || memchr(at, '\0', length))
        return false;
    memcpy(to, at + 1, length - 2);
    to[length - 2] = '\0';
    return true;
}

bool json_input_find(const char *text, gsize length, const char *name, char *to, gsize size)
{
    const char *end = text + length;
    guint depth = 0;
    bool found = false;
    for (const char *at = text, *next; at < end; at = next) {
        next = token_end(at, end);
        if (*at == '[' || *at == '{')
            depth++;
        else if ((*at == ']' || *at == '}') && depth > 0)
            depth--;
        if (depth != 1 || !is_name(at, next, name))
            continue;
        const char *value = skip_space(next, end);
        if (value == end || *value != ':')
            continue; /* a value, not a name */
        value = skip_space(value + 1, end);
        if (value == end)
            break;
        found = copy_string(value, token_end(value, end), to, size);
        next = *value == '"' ? token_end(value, end) : value;
    }
    return found;
}
