/** @file
 * The values of a worker heartbeat as yajl passes them while it parses, and checked conversions of
 * them. Text is borrowed and has no terminating zero. Private to io/codec.
 *
 * Each value_read_ function sets *to and returns true, or sets the error (CODEC_ERROR; may be NULL)
 * to "name: what is wrong" and returns false. The functions are inline because every field of every
 * heartbeat goes through them.
 */
#ifndef PEPPERPULLEY_HEARTBEAT_VALUES_H
#define PEPPERPULLEY_HEARTBEAT_VALUES_H

#include <math.h>
#include <string.h>

#include "io/codec/codec_internal.h"

/** The JSON type of a value. */
typedef enum {
    VALUE_NULL,     /**< null. */
    VALUE_BOOLEAN,  /**< true or false. */
    VALUE_NUMBER,   /**< A number, as the text in the input. */
    VALUE_STRING,   /**< A string, as its text without quotes. */
    VALUE_CONTAINER /**< The start of an object or a list. */
} value_type_t;

/** A JSON value. */
typedef struct value {
    value_type_t type; /**< Its JSON type. */
    const char *text;  /**< Text of a number or string; borrowed; without a terminating zero. */
    gsize length;      /**< Length of the text in bytes. */
    bool is_true;      /**< Value of a boolean. */
} value_t;

/** Returns whether @p value is a string without NUL characters, at which C code would truncate it.
 */
static inline bool value_is_c_string(const value_t *value)
{
    return value->type == VALUE_STRING && !memchr(value->text, '\0', value->length);
}

/** Returns the index of the text among the @p count entries of @p words, or @p count if it is not
 * one of them. */
static inline guint value_find_word(const char *const *words, guint count, const char *text,
                                    gsize length)
{
    guint i = 0;
    while (i < count && (strlen(words[i]) != length || memcmp(words[i], text, length) != 0))
        i++;
    return i;
}

/** Copies the text and adds a terminating zero. Returns false if that does not fit into @p size
 * bytes. */
static inline bool value_copy_text(const char *text, gsize length, char *to, gsize size)
{
    if (length >= size)
        return false;
    memcpy(to, text, length);
    to[length] = '\0';
    return true;
}

/** Parses a decimal integer from 0 to @p max. Returns false, without an error message, if the text
 * is not such an integer. */
static inline bool value_parse_integer(const char *text, gsize length, guint64 max, uint64_t *to)
{
    char digits[NUMBER_BYTES];
    return value_copy_text(text, length, digits, sizeof digits) &&
           g_ascii_string_to_unsigned(digits, DECIMAL, 0, max, to, NULL);
}

/** Reads a string that is not empty and, with a terminating zero, fits into @p size bytes. */
static inline bool value_read_string(const value_t *value, const char *name, char *to, gsize size,
                                     GError **error)
{
    if (!value_is_c_string(value) || value->length == 0)
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: a non-empty string is expected", name);
    if (!value_copy_text(value->text, value->length, to, size))
        return codec_set_error(error, CODEC_ERROR_RANGE, "%s: too long", name);
    return true;
}

/** Reads an integer from 0 to G_MAXINT64. */
static inline bool value_read_integer(const value_t *value, const char *name, uint64_t *to,
                                      GError **error)
{
    if (value->type != VALUE_NUMBER ||
        !value_parse_integer(value->text, value->length, G_MAXINT64, to))
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: an integer in range is expected",
                               name);
    return true;
}

/** Reads a boolean. */
static inline bool value_read_boolean(const value_t *value, const char *name, bool *to,
                                      GError **error)
{
    if (value->type != VALUE_BOOLEAN)
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: true or false is expected", name);
    *to = value->is_true;
    return true;
}

/** Reads a number from 0 to AMOUNT_MAX. Accepts null and leaves *to unchanged in that case. */
static inline bool value_read_optional_number(const value_t *value, const char *name, double *to,
                                              GError **error)
{
    char digits[LABEL_BYTES];
    if (value->type == VALUE_NULL)
        return true;
    if (value->type != VALUE_NUMBER ||
        !value_copy_text(value->text, value->length, digits, sizeof digits))
        return codec_set_error(error, CODEC_ERROR_TYPE, "%s: a number is expected", name);
    double number = g_ascii_strtod(digits, NULL);
    if (!isfinite(number) || number < 0 || number > AMOUNT_MAX)
        return codec_set_error(error, CODEC_ERROR_RANGE, "%s: out of range", name);
    *to = number;
    return true;
}

#endif
