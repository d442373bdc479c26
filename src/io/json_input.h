/* JSON from outside: from users and from whoever reaches the port. Loads what the parser's number
 * types and the small stacks of the threads bear, and finds a job's id even in what is no JSON. */
#ifndef PEPPERPULLEY_JSON_INPUT_H
#define PEPPERPULLEY_JSON_INPUT_H

#include <jansson.h>

#include "core/types.h"

/* NULL: not JSON, or nested too deeply. A number beyond the parser's types becomes a real one (one
 * beyond those the largest power of ten), so that a field which nobody reads does no harm and any
 * other is found to be out of range. Strings may hold NUL characters. */
json_t *json_input_load(const char *text, gsize length);

/* The string under `name` in the outermost object, in a text that may be broken or cut off anywhere
 * after it; the last one, as in a whole text. False: none, or it has escapes or does not fit. */
bool json_input_find(const char *text, gsize length, const char *name, char *to, gsize size);

#endif
