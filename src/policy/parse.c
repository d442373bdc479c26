/* Records the errors in a policy file. */
#include "policy/parse.h"

#include <stdarg.h>

GQuark policy_error_quark(void)
{
    return g_quark_from_static_string("policy-error-quark");
}

void parse_add_error(parse_t *parse, policy_error_t code, int line, int column, const char *format,
                     ...)
{
    va_list args;
    va_start(args, format);
    g_autofree char *text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(parse->errors, g_error_new(POLICY_ERROR, (gint)code, "%s:%d:%d: %s",
                                               parse->file, line, column, text));
}
