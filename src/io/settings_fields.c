/* Reads and checks the fields of the settings file. */
#include "io/settings_fields.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

GQuark settings_error_quark(void)
{
    return g_quark_from_static_string("settings-error-quark");
}

void settings_set_error(settings_reader_t *reader, settings_error_t code, const char *field,
                        const char *message)
{
    if (!reader->error)
        reader->error =
            g_error_new(SETTINGS_ERROR, (gint)code, "%s: %s: %s", reader->path, field, message);
}

static const json_t *find_field(settings_reader_t *reader, const json_t *object, const char *name)
{
    const json_t *value = json_object_get(object, name);
    if (!value)
        settings_set_error(reader, SETTINGS_ERROR_MISSING, name, "missing");
    return value;
}

void settings_read_text(settings_reader_t *reader, const json_t *object, const char *name, char *to,
                        gsize size)
{
    const json_t *value = find_field(reader, object, name);
    if (!value)
        return;
    if (!json_is_string(value) || !*json_string_value(value))
        settings_set_error(reader, SETTINGS_ERROR_TYPE, name, "expected a non-empty string");
    else if (g_strlcpy(to, json_string_value(value), size) >= size)
        settings_set_error(reader, SETTINGS_ERROR_RANGE, name, "string is too long");
}

static bool is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    char host[ADDRESS_BYTES];
    struct in_addr address;
    guint64 port;
    if (!colon)
        return false;
    g_strlcpy(host, text, (gsize)(colon - text) + 1);
    return inet_pton(AF_INET, host, &address) == 1 &&
           g_ascii_string_to_unsigned(colon + 1, DECIMAL, 1, PORT_MAX, &port, NULL);
}

void settings_read_address(settings_reader_t *reader, const json_t *object, const char *name,
                           char *to)
{
    to[0] = '\0';
    settings_read_text(reader, object, name, to, ADDRESS_BYTES);
    if (!reader->error && !is_address(to))
        settings_set_error(reader, SETTINGS_ERROR_VALUE, name,
                           "expected an IPv4 address with a port, \"address:port\"");
}

double settings_read_number(settings_reader_t *reader, const json_t *object, const char *name,
                            double low)
{
    const json_t *value = find_field(reader, object, name);
    if (!value)
        return low;
    double number = json_number_value(value);
    if (json_is_number(value) && isfinite(number) && number >= low && number <= SETTING_MAX)
        return number;
    char expected[LABEL_BYTES];
    g_snprintf(expected, sizeof expected, "expected a number from %g to %g", low, SETTING_MAX);
    settings_set_error(reader, json_is_number(value) ? SETTINGS_ERROR_RANGE : SETTINGS_ERROR_TYPE,
                       name, expected);
    return low;
}

static const json_t *read_container(settings_reader_t *reader, const json_t *object,
                                    const char *name, json_type type, const char *expected)
{
    const json_t *value = find_field(reader, object, name);
    if (value && json_typeof(value) != type)
        settings_set_error(reader, SETTINGS_ERROR_TYPE, name, expected);
    return value;
}

const json_t *settings_read_object(settings_reader_t *reader, const json_t *object,
                                   const char *name)
{
    return read_container(reader, object, name, JSON_OBJECT, "expected an object");
}

const json_t *settings_read_list(settings_reader_t *reader, const json_t *object, const char *name)
{
    return read_container(reader, object, name, JSON_ARRAY, "expected a list");
}
