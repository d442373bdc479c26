/* Events on standard error, one a line, key=value. The level is set once, at start. */
#ifndef PEPPERPULLEY_LOG_H
#define PEPPERPULLEY_LOG_H

typedef enum { LOG_LEVEL_ERROR, LOG_LEVEL_INFO, LOG_LEVEL_DEBUG } log_level_t;

/* From the value of LOG_LEVEL (may be NULL: info). Returns 0, or -1 for an unknown word. */
int log_set_level(const char *word);
void log_write(log_level_t level, const char *format, ...) __attribute__((format(printf, 2, 3)));
int log_enabled(log_level_t level);

#define log_error(...) log_write(LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_info(...) log_write(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) log_write(LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
