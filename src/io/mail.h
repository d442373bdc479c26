/* Messages between controllers as values in the state service. One that is larger than a value may
 * be goes as several pages, all written in one transaction: pages of one revision belong together.
 */
#ifndef PEPPERPULLEY_MAIL_H
#define PEPPERPULLEY_MAIL_H

#include "io/state.h"

/* Adds the pages of a message to a transaction, under mail/<box>/<name>.<page>; returns how many.
 */
guint mail_write(txn_t *txn, const char *box, const char *name, const GByteArray *frame,
                 gsize value_max);

/* A message as it was found. */
typedef struct {
    char name[ID_SIZE]; /* whose box it lay in */
    uint64_t stamp;
    GByteArray *frame;
} letter_t;

/* The whole letters among the entries below mail/<box>/ (array of state_entry_t). Pages that an
 * earlier, longer message left behind and pages that do not fit are passed over. Returns an array
 * of letter_t that owns its frames. */
GArray *mail_read(const GArray *entries, const char *box);

#endif
