/** @file
 * Values of a worker heartbeat while it is parsed: text as yajl passes it, borrowed and without a
 * terminating zero. Private to io/codec.
 *
 * Each reader sets *to and returns true, or sets the error (CODEC_ERROR; may be NULL) to
 * "name: what is expected" and returns false. The functions are inline because every field of every
 * heartbeat goes through them.
 */
#ifndef PEPPERPULLEY_HEARTBEAT_VALUES_H
#define PEPPERPULLEY_HEARTBEAT_VALUES_H

#include <math.h>
#include <string.h>

#include "io/codec/codec_internal.h"

/** JSON types of a value. */
typedef enum {
    VALUE_NULL,     /**< null. */
    VALUE_BOOLEAN,  /**< true or false. */
    VALUE_NUMBER,   /**< A number, as it is written. */
    VALUE_STRING,   /**< A string without its quotes. */
    VALUE_CONTAINER /**< The start of an object or a list. */
} value_type_t;

/** A value. */
typedef struct value {
    value_type_t type; /**< Its JSON type. */
    const char *text;  /**< Of a number or string, borrowed; no terminating zero. */
    gsize length;      /**< Bytes of text. */
    bool is_true;      /**< Of a boolean. */
} value_t;

/** Returns whether @p value is a string without NUL characters, which C would truncate. */
static inline bool value_is_text(const value_t *value)
{
    return value->type == VALUE_STRING && !memchr(value->text, '\0', value->length);
}

/** Returns the index of the text in @p names, which has @p count entries, or @p count if it is not
 * among them. */
static inline guint value_find_word(const char *const *names, guint count, const char *text,
                                    gsize length)
{
    guint i = 0;
    while (i < count && (strlen(names[i]) != length || memcmp(names[i], text, length) != 0))
        i++;
    return i;
}

/** Copies the text with a terminating zero. Returns false if it does not fit @p size bytes. */
static inline bool value_copy(const char *text, gsize length, char *to, gsize size)
{
    if (length >= size)
        return false;
    memcpy(to, text, length);
    to[length] = '\0';
    return true;
}

/** Parses a decimal integer from 0 to @p most. Returns false if it is none; sets no error. */
static inline bool value_parse_integer(const char *text, gsize length, guint64 most, uint64_t *to)
{
    char digits[NUMBER_BYTES];
    return value_copy(text, length, digits, sizeof digits) &&
           g_ascii_string_to_unsigned(digits, DECIMAL, 0, most, to, NULL);
}

/** Reads a string that is not empty and, with a terminating zero, fits @p size bytes. */
static inline bool value_read_text(const value_t *value, const char *name, char *to, gsize size,
                                   GError **error)
{
    if (!value_is_text(value) || value->length == 0)
        return codec_fail(error, CODEC_ERROR_TYPE, "%s: a non-empty string is expected", name);
    if (!value_copy(value->text, value->length, to, size))
        return codec_fail(error, CODEC_ERROR_RANGE, "%s: too long", name);
    return true;
}

/** Reads an integer from 0 to G_MAXINT64. */
static inline bool value_read_count(const value_t *value, const char *name, uint64_t *to,
                                    GError **error)
{
    if (value->type != VALUE_NUMBER ||
        !value_parse_integer(value->text, value->length, G_MAXINT64, to))
        return codec_fail(error, CODEC_ERROR_TYPE, "%s: an integer in range is expected", name);
    return true;
}

/** Reads a boolean. */
static inline bool value_read_flag(const value_t *value, const char *name, bool *to, GError **error)
{
    if (value->type != VALUE_BOOLEAN)
        return codec_fail(error, CODEC_ERROR_TYPE, "%s: true or false is expected", name);
    *to = value->is_true;
    return true;
}

/** Reads a number from 0 to AMOUNT_MAX; null leaves *to as it is. */
static inline bool value_read_optional_amount(const value_t *value, const char *name, double *to,
                                              GError **error)
{
    char number[LABEL_BYTES];
    if (value->type == VALUE_NULL)
        return true;
    if (value->type != VALUE_NUMBER ||
        !value_copy(value->text, value->length, number, sizeof number))
        return codec_fail(error, CODEC_ERROR_TYPE, "%s: a number is expected", name);
    double amount = g_ascii_strtod(number, NULL);
    if (!isfinite(amount) || amount < 0 || amount > AMOUNT_MAX)
        return codec_fail(error, CODEC_ERROR_RANGE, "%s: out of range", name);
    *to = amount;
    return true;
}

#endif
