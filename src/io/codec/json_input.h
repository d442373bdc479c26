/** @file
 * Parses untrusted JSON, which anyone who can reach the port may send, into jansson values.
 * Thread-safe.
 */
#ifndef PEPPERPULLEY_JSON_INPUT_H
#define PEPPERPULLEY_JSON_INPUT_H

#include <jansson.h>

#include "core/types.h"

/** Parses @p text. Returns the value (transfer full), or NULL if the text is not JSON or is nested
 * more than JSON_DEPTH_MAX_COUNT levels deep.
 *
 * An integer that does not fit into 64 bits becomes a real number. A real number that does not fit
 * into a double becomes JSON_NUMBER_MAX with its sign. It is thus out of range in each field that
 * is read, and has no effect in a field that is ignored. Strings may contain NUL characters.
 *
 * Sets *partial (transfer full) to what was parsed before the error, or to the whole value if there
 * was none. It is NULL if nothing was parsed. */
json_t *json_input_load(const char *text, gsize length, json_t **partial);

#endif
