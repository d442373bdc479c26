/** @file
 * The log: events on standard error, one a line, as key=value pairs, through GLib's structured
 * logging. The level is set once, before other threads start; writing is thread-safe and lines are
 * not interleaved.
 *
 * The level is checked before GLib is called, since g_log_structured() formats a message before its
 * writer can drop it.
 */
#ifndef PEPPERPULLEY_LOG_H
#define PEPPERPULLEY_LOG_H

#include <stdbool.h>

/** Levels, the most important first. */
typedef enum {
    LOG_LEVEL_ERROR, /**< Something that an operator should look into. */
    LOG_LEVEL_INFO,  /**< A rare event. */
    LOG_LEVEL_DEBUG  /**< Details, for the search for a fault. */
} log_level_t;

/** Starts the log at a level: error, info or debug, as the variable LOG_LEVEL names it. NULL and
 * the empty text mean info. Called once, before other threads start. Returns false for an unknown
 * word.
 */
bool log_start(const char *level_name);

/** Writes a line, if @p level is enabled; a line above LOG_LINE_BYTES is truncated. */
void log_write(log_level_t level, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Logs at LOG_LEVEL_ERROR. */
#define log_error(...) log_write(LOG_LEVEL_ERROR, __VA_ARGS__)
/** Logs at LOG_LEVEL_INFO. */
#define log_info(...) log_write(LOG_LEVEL_INFO, __VA_ARGS__)
/** Logs at LOG_LEVEL_DEBUG. */
#define log_debug(...) log_write(LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
