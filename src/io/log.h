/** @file
 * Logging: writes events to standard error through GLib's structured logging, one event per line,
 * as key=value pairs. The level is set once, before other threads start. Writing is thread-safe,
 * and lines are not interleaved.
 *
 * The level is checked before GLib is called, since g_log_structured() formats a message before its
 * writer can drop it.
 */
#ifndef PEPPERPULLEY_LOG_H
#define PEPPERPULLEY_LOG_H

#include <stdbool.h>

/** Log levels, the most severe first. */
typedef enum {
    LOG_LEVEL_ERROR, /**< A problem that an operator should look into. */
    LOG_LEVEL_INFO,  /**< A rare event. */
    LOG_LEVEL_DEBUG  /**< Details for debugging. */
} log_level_t;

/** Installs the log writer and sets the level to @p level_name, the value of the environment
 * variable LOG_LEVEL: error, info or debug. NULL and the empty string mean info. Call it once,
 * before other threads start. Returns false if the name is unknown. */
bool log_start(const char *level_name);

/** Writes a line if @p level is enabled. A line longer than LOG_LINE_BYTES is truncated. */
void log_write(log_level_t level, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Logs at LOG_LEVEL_ERROR. */
#define log_error(...) log_write(LOG_LEVEL_ERROR, __VA_ARGS__)
/** Logs at LOG_LEVEL_INFO. */
#define log_info(...) log_write(LOG_LEVEL_INFO, __VA_ARGS__)
/** Logs at LOG_LEVEL_DEBUG. */
#define log_debug(...) log_write(LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
