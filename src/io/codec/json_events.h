/** @file
 * Event-driven JSON parsing with yajl, shared by the parsers of untrusted input. Private to
 * io/codec.
 *
 * yajl does not recurse on nested input, which matters because the threads' stacks are small. It
 * passes a number to its callback as the text in the input.
 */
#ifndef PEPPERPULLEY_JSON_EVENTS_H
#define PEPPERPULLEY_JSON_EVENTS_H

#include <stdbool.h>

#include <glib.h>
#include <yajl/yajl_parse.h>

/** Parses @p text, which must hold exactly one JSON value. Each callback gets @p context and
 * returns nonzero (true) to continue or 0 (false) to stop. Returns true if the text is valid and no
 * callback stopped the parsing, otherwise false. */
bool json_events_parse(const yajl_callbacks *callbacks, void *context, const char *text,
                       gsize length);

#endif
