/* Answers to users and workers that need none of the core's types: errors, readiness, redirects. */
#include "io/codec/codec.h"

json_t *codec_build_error(const char *reason)
{
    return json_pack("{s:s}", "error", reason);
}

json_t *codec_build_ready(void)
{
    return json_pack("{s:b}", "ready", 1);
}

json_t *codec_build_redirect(const char *owner)
{
    return json_pack("{s:s}", "Bosun", owner);
}
