/* Events on standard error, through GLib's structured logging. */
#include "io/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "constants.h"

static const char *const level_names[] = {
    [LOG_LEVEL_ERROR] = "error", [LOG_LEVEL_INFO] = "info", [LOG_LEVEL_DEBUG] = "debug"};

/* An error is critical to GLib: its own G_LOG_LEVEL_ERROR ends the process. */
static const GLogLevelFlags glib_levels[] = {[LOG_LEVEL_ERROR] = G_LOG_LEVEL_CRITICAL,
                                             [LOG_LEVEL_INFO] = G_LOG_LEVEL_INFO,
                                             [LOG_LEVEL_DEBUG] = G_LOG_LEVEL_DEBUG};

/* Set before any other thread starts, only read afterwards. */
static log_level_t enabled_level = LOG_LEVEL_INFO;

/* Writes a line of ours, whose only field is the finished text. What GLib and other libraries log
 * themselves has more fields, and goes where it goes without us. */
static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
                                   gpointer data)
{
    if (count != 1 || strcmp(fields[0].key, "MESSAGE") != 0)
        return g_log_writer_default(level, fields, count, data);
    /* A single call, so that lines of several threads are not interleaved. */
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
