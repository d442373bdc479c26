/* Messages between controllers as values in the key-value store. One that is larger than a value
 * may be goes as several pages, all written in one transaction: pages of one revision belong
 * together.
 */
#ifndef PEPPERPULLEY_RELAY_H
#define PEPPERPULLEY_RELAY_H

#include "io/kv_store.h"

/* Adds the pages of a message to a transaction, under mail/<inbox>/<name>.<page>; returns how many.
 */
guint relay_write(kv_txn_t *txn, const char *inbox, const char *name, const GByteArray *frame,
                  gsize value_max);

/* A message as it was found. */
typedef struct relay_message {
    char name[ID_BYTES]; /* whose inbox it lay in */
    uint64_t revision;
    GByteArray *frame;
} relay_message_t;

/* The whole messages among the entries below mail/<inbox>/ (array of kv_entry_t). Pages that an
 * earlier, longer message left behind and pages that do not fit are passed over. Returns an array
 * of relay_message_t that owns its frames. */
GArray *relay_read(const GArray *entries, const char *inbox);

#endif
