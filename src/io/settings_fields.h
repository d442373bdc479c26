/** @file
 * Checked access to the fields of the settings file. Private to settings.c.
 *
 * A fault is recorded in the reader and the reading goes on; only the first one is kept. After a
 * fault a result is a placeholder, and the settings must not be used.
 */
#ifndef PEPPERPULLEY_SETTINGS_FIELDS_H
#define PEPPERPULLEY_SETTINGS_FIELDS_H

#include <jansson.h>

#include "io/settings.h"

/** The state of a reading. */
typedef struct settings_reader {
    const char *path; /**< The file, for messages; borrowed. */
    GError *error;    /**< The first fault, or NULL; owned. */
} settings_reader_t;

/** Records the fault "path: where: expected", unless there is one already. */
void settings_fault(settings_reader_t *reader, settings_error_t code, const char *where,
                    const char *expected);

/** Reads a string that is not empty and, with its terminating zero, fits @p size bytes. */
void settings_read_text(settings_reader_t *reader, const json_t *object, const char *name, char *to,
                        gsize size);

/** Reads "address:port" with an IPv4 address. @p to has ADDRESS_BYTES. */
void settings_read_address(settings_reader_t *reader, const json_t *object, const char *name,
                           char *to);

/** Returns a number from @p low to SETTING_MAX; @p low after a fault. */
double settings_read_number(settings_reader_t *reader, const json_t *object, const char *name,
                            double low);

/** Returns an object (transfer none), or NULL if it is missing. */
const json_t *settings_read_object(settings_reader_t *reader, const json_t *object,
                                   const char *name);

/** Returns a list (transfer none), or NULL if it is missing. */
const json_t *settings_read_list(settings_reader_t *reader, const json_t *object, const char *name);

#endif
