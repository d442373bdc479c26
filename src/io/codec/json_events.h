/** @file
 * Event-driven JSON parsing with yajl, shared by the parsers of outside input. Private to io/codec.
 *
 * yajl calls back instead of recursing (the threads' stacks are small) and passes numbers as they
 * are written.
 */
#ifndef PEPPERPULLEY_JSON_EVENTS_H
#define PEPPERPULLEY_JSON_EVENTS_H

#include <stdbool.h>

#include <glib.h>
#include <yajl/yajl_parse.h>

/** Parses @p text, which must hold exactly one JSON value. Each callback gets @p context and
 * returns nonzero (true) to continue, 0 (false) to stop. Returns whether the whole text was parsed
 * and no callback stopped. */
bool json_events_parse(const yajl_callbacks *callbacks, void *context, const char *text,
                       gsize length);

#endif
