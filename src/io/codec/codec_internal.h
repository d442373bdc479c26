/** @file
 * Checked access to the fields of JSON objects, shared by the codec's files. Private to io/codec.
 *
 * Each getter sets *to and returns true, or sets the error (CODEC_ERROR; may be NULL) and returns
 * false; *to is then undefined.
 */
#ifndef PEPPERPULLEY_CODEC_INTERNAL_H
#define PEPPERPULLEY_CODEC_INTERNAL_H

#include "io/codec/codec.h"

/** Sets @p error, unless it is NULL, to a CODEC_ERROR with the formatted message. Always returns
 * false. */
bool codec_set_error(GError **error, codec_error_t code, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** Returns the text of a string (transfer none). Returns NULL if @p value is not a string, or if
 * the string contains a NUL character, at which C code would truncate it. */
const char *codec_c_string(const json_t *value);

/** Returns the strings of @p list: GPtrArray of const char *, borrowed from the list (transfer
 * container). Items that are not strings are skipped. @p list may be NULL. */
GPtrArray *codec_collect_strings(const json_t *list);

/** Gets a string that is not empty and, with its terminating zero, fits into @p size bytes. */
bool codec_get_string(const json_t *body, const char *name, char *to, gsize size, GError **error);

/** Like codec_get_string, but accepts a field that is null or missing and leaves *to unchanged. */
bool codec_get_optional_string(const json_t *body, const char *name, char *to, gsize size,
                               GError **error);

/** Gets a number from @p min to AMOUNT_MAX. */
bool codec_get_number(const json_t *body, const char *name, double min, double *to, GError **error);

/** Like codec_get_number, but accepts a field that is null or missing and leaves *to unchanged. */
bool codec_get_optional_number(const json_t *body, const char *name, double min, double *to,
                               GError **error);

/** Gets a boolean. */
bool codec_get_boolean(const json_t *body, const char *name, bool *to, GError **error);

/** Gets an integer from @p min, which must not be negative, to @p max. */
bool codec_get_integer(const json_t *body, const char *name, json_int_t min, json_int_t max,
                       uint64_t *to, GError **error);

/** Gets the index of a string in @p words, which has @p count entries. A string that is not one of
 * them is refused. */
bool codec_get_enum(const json_t *body, const char *name, const char *const *words, int count,
                    int *to, GError **error);

#endif
