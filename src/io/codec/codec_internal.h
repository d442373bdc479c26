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
bool codec_fail(GError **error, codec_error_t code, const char *format, ...) G_GNUC_PRINTF(3, 4);

/** Returns the text of a string (transfer none); NULL if @p value is no string, or one with a NUL
 * character, which C would truncate. */
const char *codec_text(const json_t *value);

/** Returns the strings of @p list, which may be NULL: GPtrArray of const char *, borrowed from the
 * list (transfer container). Items that are not strings are skipped. */
GPtrArray *codec_get_strings(const json_t *list);

/** Gets a string that is not empty and, with its terminating zero, fits @p size bytes. */
bool codec_get_text(const json_t *body, const char *name, char *to, gsize size, GError **error);

/** Like codec_get_text, but a field that is null or missing is accepted and leaves *to as it is. */
bool codec_get_optional_text(const json_t *body, const char *name, char *to, gsize size,
                             GError **error);

/** Gets a number from @p low to AMOUNT_MAX. */
bool codec_get_amount(const json_t *body, const char *name, double low, double *to, GError **error);

/** Like codec_get_amount, but a field that is null or missing is accepted and leaves *to as it
 * is. */
bool codec_get_optional_amount(const json_t *body, const char *name, double low, double *to,
                               GError **error);

/** Gets a boolean. */
bool codec_get_flag(const json_t *body, const char *name, bool *to, GError **error);

/** Gets an integer from @p low, which is not negative, to @p high. */
bool codec_get_count(const json_t *body, const char *name, json_int_t low, json_int_t high,
                     uint64_t *to, GError **error);

/** Gets the index of a word in @p names, which has @p count entries. */
bool codec_get_choice(const json_t *body, const char *name, const char *const *names, int count,
                      int *to, GError **error);

#endif
