/* Events on standard error. */
#include "io/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "constants.h"

static const char *const level_names[] = {
    [LOG_LEVEL_ERROR] = "error", [LOG_LEVEL_INFO] = "info", [LOG_LEVEL_DEBUG] = "debug"};

/* Set before any other thread starts, only read afterwards. */
static log_level_t enabled_level = LOG_LEVEL_INFO;

bool log_set_level(const char *word)
{
    if (!word || !*word)
        return true;
    for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
        if (strcmp(word, level_names[i]) == 0) {
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
    /* A single call, so that lines of several threads are not interleaved. */
    fprintf(stderr, "%s\n", line);
}
