/** @file
 * Relays messages between controllers that cannot reach each other by socket, as values in the
 * key-value store.
 *
 * A message is compressed, encoded as text and divided into pages, each of which fits into a value.
 * Page N of the message called `name` is the value of `mail/<inbox>/<name>.<N>`. All pages of a
 * message are written in one transaction, so pages with the same revision belong together, and a
 * newer message replaces the older one. The functions have no state and no lock, and do no I/O:
 * they build transactions, which the caller commits, and parse entries, which the caller has
 * listed.
 */
#ifndef PEPPERPULLEY_RELAY_H
#define PEPPERPULLEY_RELAY_H

#include "io/kv_store.h"

/** Inbox of the messages from partitions to the leader. A message has the name of its sender. */
#define RELAY_LEADER_INBOX "up"
/** Inbox of the messages from the leader to partitions. A message has the name of its receiver. */
#define RELAY_PARTITIONS_INBOX "down"

/** Adds changes to @p txn that write the message @p frame, under @p name, to @p inbox. @p value_max
 * is the size limit of a value in bytes; each page stays below it. Returns the number of pages. */
guint relay_write(kv_txn_t *txn, const char *inbox, const char *name, const GByteArray *frame,
                  gsize value_max);

/** A message that was read from an inbox. */
typedef struct relay_message {
    char name[ID_BYTES]; /**< Its name in the inbox: the name of its sender or its receiver. */
    uint64_t revision;   /**< Revision of its pages; each message has a revision of its own. */
    GByteArray *frame;   /**< The message; owned. */
} relay_message_t;

/** Returns the complete messages among @p entries, an array of kv_entry_t below `mail/<inbox>/` in
 * the order of their keys. Skips pages that remain of an earlier, longer message, and messages with
 * a missing or invalid page. The result is an array of relay_message_t that owns the frames
 * (transfer full). */
GArray *relay_read(const GArray *entries, const char *inbox);

#endif
