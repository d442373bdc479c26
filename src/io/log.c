#include "io/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "constants.h"

static const char *const level_names[] = {"error", "info", "debug"};

/* Set before any thread starts, read only afterwards. */
static log_level_t current = LOG_LEVEL_INFO;

int log_set_level(const char *word)
{
    if (!word || !*word)
        return 0;
    for (int i = 0; i < 3; i++) {
        if (strcmp(word, level_names[i]) == 0) {
            current = (log_level_t)i;
            return 0;
        }
    }
    return -1;
}

int log_enabled(log_level_t level)
{
    return level <= current;
}

void log_write(log_level_t level, const char *format, ...)
{
    if (!log_enabled(level))
        return;
    char line[LOG_LINE_BYTES];
    va_list args;
    int used = snprintf(line, sizeof line, "level=%s ", level_names[level]);
    va_start(args, format);
    vsnprintf(line + used, sizeof line - (size_t)used - 1, format, args);
    va_end(args);
    /* One call, so that lines of several threads don't mix. */
    fprintf(stderr, "%s\n", line);
}
