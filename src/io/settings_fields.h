/** @file
 * Reads and checks the fields of the settings file. Private to settings.c.
 *
 * An error is recorded in the reader, and reading continues; only the first error is kept. After an
 * error, results are placeholders, and the settings must not be used.
 */
#ifndef PEPPERPULLEY_SETTINGS_FIELDS_H
#define PEPPERPULLEY_SETTINGS_FIELDS_H

#include <jansson.h>

#include "io/settings.h"

/** The state while a file is read. */
typedef struct settings_reader {
    const char *path; /**< Path of the file, for error messages; borrowed. */
    GError *error;    /**< The first error, or NULL; owned. */
} settings_reader_t;

/** Records the error "path: field: message", unless an error is recorded already. */
void settings_set_error(settings_reader_t *reader, settings_error_t code, const char *field,
                        const char *message);

/** Reads a non-empty string into @p to, which has @p size bytes, terminating zero included. */
void settings_read_text(settings_reader_t *reader, const json_t *object, const char *name, char *to,
                        gsize size);

/** Reads an IPv4 address with a port, "address:port", into @p to, which has ADDRESS_BYTES. */
void settings_read_address(settings_reader_t *reader, const json_t *object, const char *name,
                           char *to);

/** Returns a number from @p low to SETTING_MAX, or @p low if the field is missing or invalid. */
double settings_read_number(settings_reader_t *reader, const json_t *object, const char *name,
                            double low);

/** Returns an object (transfer none), or NULL if the field is missing. */
const json_t *settings_read_object(settings_reader_t *reader, const json_t *object,
                                   const char *name);

/** Returns a list (transfer none), or NULL if the field is missing. */
const json_t *settings_read_list(settings_reader_t *reader, const json_t *object, const char *name);

#endif
