/* The faults of a parse. */
#include "policy/parse.h"

#include <stdarg.h>

G_DEFINE_QUARK(policy - error - quark, policy_error)

void parse_fault(parse_t *parse, policy_error_t code, int line, int column, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_autofree char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(parse->faults, g_error_new(POLICY_ERROR, (gint)code, "%s:%d:%d: %s",
                                               parse->file, line, column, text));
}
