/* Event-driven JSON parsing with yajl. */
#include "io/codec/json_events.h"

bool json_events_parse(const yajl_callbacks *callbacks, void *context, const char *text,
                       gsize length)
{
    yajl_handle parser = yajl_alloc(callbacks, NULL, context);
    bool is_complete = yajl_parse(parser, (const unsigned char *)text, length) == yajl_status_ok &&
                       yajl_complete_parse(parser) == yajl_status_ok;
    yajl_free(parser);
    return is_complete;
}
