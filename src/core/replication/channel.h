/** @file
 * One endpoint of a channel between the leader and a partition. Batches of items are accepted
 * exactly once and in order, even if the transport loses, repeats or delays messages.
 *
 * Stop-and-wait protocol: a batch is sent with its number until the other endpoint acknowledges it.
 * A received batch whose number is not the next one is a copy and is ignored. Batches are numbered
 * from 1. Both endpoints start again with each view, so batch numbers are valid only within a view.
 * The caller holds the controller's lock; no input or output.
 */
#ifndef PEPPERPULLEY_CHANNEL_H
#define PEPPERPULLEY_CHANNEL_H

#include "core/partition/attempt_result.h"
#include "core/partition/placement_request.h"

/** The kinds of items. */
typedef enum {
    CHANNEL_PLACEMENT_REQUEST,  /**< Leader to partition: place an attempt. */
    CHANNEL_ACKNOWLEDGE,        /**< Leader to partition: an attempt's result is durable. */
    CHANNEL_WITHDRAW,           /**< Leader to partition: withdraw a placed attempt. */
    CHANNEL_DRAIN,              /**< Leader to partition: drain a machine. */
    CHANNEL_MACHINE_TERMINATED, /**< Leader to partition: a machine no longer exists. */
    CHANNEL_CANCEL_DRAIN,       /**< Leader to partition: stop draining a machine. */
    CHANNEL_ATTEMPT_RESULT      /**< Partition to leader: an attempt is over, or a
                                     placement request was refused. */
} channel_item_kind_t;

/** An item. The kind determines which field is used; the others are zero. */
typedef struct channel_item {
    channel_item_kind_t kind;    /**< What the item requests or reports. */
    placement_request_t request; /**< Of CHANNEL_PLACEMENT_REQUEST; the item owns its types. */
    task_ref_t ref;              /**< Of CHANNEL_ACKNOWLEDGE and CHANNEL_WITHDRAW. */
    attempt_result_t result;     /**< Of CHANNEL_ATTEMPT_RESULT. */
    char machine[ID_BYTES];      /**< Of CHANNEL_DRAIN, CHANNEL_MACHINE_TERMINATED and
                                      CHANNEL_CANCEL_DRAIN: id of the machine. */
} channel_item_t;

/** An endpoint. Owns its items. */
typedef struct channel {
    GArray *queue;            /**< channel_item_t, owned: not sent yet, oldest first. */
    GArray *in_flight;        /**< channel_item_t, owned: the batch with the number last_sent_batch;
                                   empty if it is acknowledged or none was sent. */
    uint64_t last_sent_batch; /**< Number of the newest batch created here; 0: none. */
    uint64_t last_received_batch; /**< Number of the newest batch accepted here; 0: none. */
} channel_t;

/** Returns a new endpoint (transfer full). */
channel_t *channel_new(void);

/** Frees @p channel with its items. */
void channel_free(channel_t *channel);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(channel_t, channel_free)

/** Queues @p item (transfer full). */
void channel_push(channel_t *channel, channel_item_t item);

/** Returns the batch to send now, which has the number last_sent_batch: the one in flight or, if
 * none is in flight, a new one of at most @p max_count items. Array of channel_item_t (transfer
 * none, read only); empty if there is nothing to send. */
GArray *channel_current_batch(channel_t *channel, guint max_count);

/** Returns whether any item is queued or in flight. */
bool channel_is_busy(const channel_t *channel);

/** Handles the acknowledgement of the batch @p acknowledged_batch by the other endpoint. Frees its
 * items if it is the batch in flight; a late acknowledgement of another batch does nothing. */
void channel_acknowledge(channel_t *channel, uint64_t acknowledged_batch);

/** Returns whether the received batch @p batch_number is the next one, and if so records it as
 * received. Otherwise the batch is a copy, whose items must not be handled again. */
bool channel_accept(channel_t *channel, uint64_t batch_number);

/** Returns an empty array of channel_item_t that frees what its items own (transfer full). */
GArray *channel_items_new(void);

#endif
