/** @file
 * JSON from outside, that is from users and from anyone who reaches the port, as jansson's values.
 * Thread-safe.
 */
#ifndef PEPPERPULLEY_JSON_INPUT_H
#define PEPPERPULLEY_JSON_INPUT_H

#include <jansson.h>

#include "core/types.h"

/** Parses @p text. Returns the value (transfer full), or NULL if it is not JSON or nested deeper
 * than JSON_DEPTH_MAX_COUNT.
 *
 * An integer beyond 64 bits becomes a real number, and a real number beyond a double
 * LARGEST_NUMBER: in an ignored field it does no harm, in any other it is out of range. Strings may
 * contain NUL characters.
 *
 * *partial is what was read of an array or object up to the error or the end, or NULL if nothing
 * was read (transfer full). */
json_t *json_input_load(const char *text, gsize length, json_t **partial);

#endif
