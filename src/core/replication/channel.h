/** @file
 * One end of the exchange between the leader and a partition: batches of items that arrive once and
 * in order, whatever the transport between loses, repeats or delays.
 *
 * Stop-and-wait: a batch is sent, under its number, until the other end has acknowledged it; a
 * batch whose number is not the next one is a copy and is ignored. Batches are numbered from 1.
 * Both ends start anew with each view, so numbers are void with it. The caller holds the
 * controller's lock; no input or output.
 */
#ifndef PEPPERPULLEY_CHANNEL_H
#define PEPPERPULLEY_CHANNEL_H

#include "core/partition/attempt_result.h"
#include "core/partition/placement_request.h"

/** The kinds of items. */
typedef enum {
    CHANNEL_PLACEMENT_REQUEST,  /**< Leader to partition: place an attempt. */
    CHANNEL_ACKNOWLEDGE,        /**< Leader to partition: an attempt's result is durable. */
    CHANNEL_WITHDRAW,           /**< Leader to partition: take a placed attempt back. */
    CHANNEL_DRAIN,              /**< Leader to partition: drain a machine. */
    CHANNEL_MACHINE_TERMINATED, /**< Leader to partition: a machine no longer exists. */
    CHANNEL_CANCEL_DRAIN,       /**< Leader to partition: a machine need not be drained any more. */
    CHANNEL_ATTEMPT_RESULT      /**< Partition to leader: an attempt is over, or a
                                     placement request was refused. */
} channel_item_kind_t;

/** An item. Which field counts depends on the kind; the others are zeros. */
typedef struct channel_item {
    channel_item_kind_t kind;    /**< What the item orders or reports. */
    placement_request_t request; /**< Of CHANNEL_PLACEMENT_REQUEST; the item owns its types. */
    task_ref_t ref;              /**< Of CHANNEL_ACKNOWLEDGE and CHANNEL_WITHDRAW. */
    attempt_result_t result;     /**< Of CHANNEL_ATTEMPT_RESULT. */
    char machine[ID_BYTES];      /**< Of CHANNEL_DRAIN, CHANNEL_MACHINE_TERMINATED and
                                      CHANNEL_CANCEL_DRAIN: id of the machine. */
} channel_item_t;

/** One end. Owns its items. */
typedef struct channel {
    GArray *queue;                /**< channel_item_t, owned: not sent so far, oldest first. */
    GArray *in_flight;            /**< channel_item_t, owned: the batch number last_sent_batch;
                                       empty: it is acknowledged, or none was sent. */
    uint64_t last_sent_batch;     /**< Number of the newest batch made here; 0: none. */
    uint64_t last_received_batch; /**< Number of the newest batch accepted here; 0: none. */
} channel_t;

/** Returns a new end (transfer full). */
channel_t *channel_new(void);

/** Frees @p channel with its items. */
void channel_free(channel_t *channel);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(channel_t, channel_free)

/** Queues @p item (transfer full). */
void channel_push(channel_t *channel, channel_item_t item);

/** Returns the batch that is to be sent now, number last_sent_batch: the one in flight or, if that
 * is acknowledged, a new one of at most @p max_count items. Array of channel_item_t (transfer none,
 * only to be read); empty: there is nothing to send. */
GArray *channel_current_batch(channel_t *channel, guint max_count);

/** Returns whether any item is queued or in flight. */
bool channel_is_busy(const channel_t *channel);

/** The other end has received the batch @p acknowledged_batch: if it is the one in flight, its
 * items are freed; a late acknowledgement of another does nothing. */
void channel_acknowledge(channel_t *channel, uint64_t acknowledged_batch);

/** Returns whether a batch that arrived as @p batch_number is the next one; it counts as received
 * then. False: a copy, whose items must not be handled again. */
bool channel_accept(channel_t *channel, uint64_t batch_number);

/** Returns an empty array of channel_item_t that frees what its items own (transfer full). */
GArray *channel_items_new(void);

#endif
