/* Writes events to standard error through GLib's structured logging. */
#include "io/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "constants.h"

static const char *const level_names[] = {
    [LOG_LEVEL_ERROR] = "error", [LOG_LEVEL_INFO] = "info", [LOG_LEVEL_DEBUG] = "debug"};

/* Errors have the level "critical" in GLib, since G_LOG_LEVEL_ERROR aborts the process. */
static const GLogLevelFlags glib_levels[] = {[LOG_LEVEL_ERROR] = G_LOG_LEVEL_CRITICAL,
                                             [LOG_LEVEL_INFO] = G_LOG_LEVEL_INFO,
                                             [LOG_LEVEL_DEBUG] = G_LOG_LEVEL_DEBUG};

/* Set before any other thread starts; read-only afterwards. */
static log_level_t enabled_level = LOG_LEVEL_INFO;

/* GLib's log writer. A message whose only field is MESSAGE was formatted by log_write() and is
 * written as one line. Messages of GLib and other libraries have more fields and are passed on to
 * GLib's default writer. */
static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
                                   gpointer data)
{
    if (count != 1 || strcmp(fields[0].key, "MESSAGE") != 0)
        return g_log_writer_default(level, fields, count, data);
    /* A single call, so that lines from different threads are not interleaved. */
    fprintf(stderr, "%s\n", (const char *)fields[0].value);
    return G_LOG_WRITER_HANDLED;
}

bool log_start(const char *level_name)
{
    g_log_set_writer_func(write_line, NULL, NULL);
    if (!level_name || !*level_name)
        return true;
    for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
        if (strcmp(level_name, level_names[i]) == 0) {
            enabled_level = (log_level_t)i;
            return true;
        }
    }
    return false;
}

void log_write(log_level_t level, const char *format, ...)
{
    if (level > enabled_level)
        return;
    char line[LOG_LINE_BYTES];
    va_list args;
    int used = snprintf(line, sizeof line, "level=%s ", level_names[level]);
    va_start(args, format);
    vsnprintf(line + used, sizeof line - (size_t)used - 1, format, args);
    va_end(args);
    const GLogField field = {"MESSAGE", line, -1};
    g_log_structured_array(glib_levels[level], &field, 1);
}
