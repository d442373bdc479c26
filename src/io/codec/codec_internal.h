/* Fields of JSON objects, checked: what the codecs share. Nobody else includes it.
 *
 * Each getter sets *to and returns true, or gives the reason (why may be NULL) and returns false;
 * then *to is not to be used. */
#ifndef PEPPERPULLEY_CODEC_INTERNAL_H
#define PEPPERPULLEY_CODEC_INTERNAL_H

#include "io/codec/codec.h"

/* Sets the reason, if why is not NULL. Always false. */
bool codec_fail(reason_t *why, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* NULL: no string, or one with a NUL character, of which C would see a part only. */
const char *codec_text(const json_t *value);
/* A string that is not empty and fits the size, final zero included. */
bool codec_get_text(const json_t *body, const char *name, char *to, gsize size, reason_t *why);
/* The same; null and absent are allowed, and leave *to as it is. */
bool codec_get_optional_text(const json_t *body, const char *name, char *to, gsize size,
                             reason_t *why);
/* A finite number of at least `low`. */
bool codec_get_amount(const json_t *body, const char *name, double low, double *to, reason_t *why);
bool codec_get_flag(const json_t *body, const char *name, bool *to, reason_t *why);
/* An integer from low to high; low is not negative. */
bool codec_get_count(const json_t *body, const char *name, json_int_t low, json_int_t high,
                     uint64_t *to, reason_t *why);
/* The index of a word among the names. */
bool codec_get_choice(const json_t *body, const char *name, const char *const *names, int count,
                      int *to, reason_t *why);

#endif
