/** @file
 * Messages between controllers as values in the key-value store, for controllers that can't reach
 * each other by socket.
 *
 * A message is compressed, encoded as text and divided into pages that each fit into a value. The
 * page of number N of the message of a controller is the value of `mail/<inbox>/<name>.<N>`. All
 * pages of a message are written in one transaction, so pages of one revision belong together, and
 * a newer message replaces the older one. No state, no lock, no input or output: transactions are
 * built and entries are read here, and committed and listed by the caller.
 */
#ifndef PEPPERPULLEY_RELAY_H
#define PEPPERPULLEY_RELAY_H

#include "io/kv_store.h"

/** Inbox of the messages from partitions to the leader; a message's name is its sender's. */
#define RELAY_LEADER_INBOX "up"
/** Inbox of the messages from the leader to partitions; a message's name is its receiver's. */
#define RELAY_PARTITIONS_INBOX "down"

/** Adds to @p txn the pages of the message @p frame under @p name in @p inbox, each smaller than
 * @p value_max, the limit of a value in bytes. Returns the number of pages. */
guint relay_write(kv_txn_t *txn, const char *inbox, const char *name, const GByteArray *frame,
                  gsize value_max);

/** A message as it was found in an inbox. */
typedef struct relay_message {
    char name[ID_BYTES]; /**< Its name in the inbox: of the controller that sent or receives it. */
    uint64_t revision;   /**< Of its pages; another one means another message. */
    GByteArray *frame;   /**< The message; owned. */
} relay_message_t;

/** Returns the whole messages among @p entries, an array of kv_entry_t below `mail/<inbox>/` in the
 * order of their keys. Pages that an earlier, longer message left behind, and messages with a
 * missing or invalid page, are skipped. Array of relay_message_t that owns the frames (transfer
 * full). */
GArray *relay_read(const GArray *entries, const char *inbox);

#endif
