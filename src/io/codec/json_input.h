/* JSON from outside: from users and from whoever reaches the port. Parsed by yajl, which calls back
 * instead of calling itself (the threads' stacks are small) and hands numbers over as they are
 * written; the values are jansson's, like everywhere else. */
#ifndef PEPPERPULLEY_JSON_INPUT_H
#define PEPPERPULLEY_JSON_INPUT_H

#include <jansson.h>

#include "core/types.h"

/* The value; NULL: not JSON, or nested too deeply. A number beyond the value types becomes a real
 * one (one beyond those the largest power of ten), so that a field which nobody reads does no harm
 * and any other is found to be out of range. Strings may hold NUL characters.
 * partial: what was read of an array or object up to where it broke off or ended; NULL: nothing.
 * Owned by the caller, as is the value. */
json_t *json_input_load(const char *text, gsize length, json_t **partial);

#endif
