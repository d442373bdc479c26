/* One end of the exchange between the leader and a partition: batches that arrive once and in
 * order, whatever the road between loses, repeats or delays.
 *
 * Stop and wait: a batch is sent, under its number, until the other end has acknowledged it; a
 * batch whose number is not the next one is a copy. Both ends begin anew with each view. Owns its
 * items. */
#ifndef PEPPERPULLEY_CHANNEL_H
#define PEPPERPULLEY_CHANNEL_H

#include "core/partition/partition.h"

typedef enum {
    CHANNEL_PLACEMENT_REQUEST, /* leader to partition */
    CHANNEL_ACKNOWLEDGE,
    CHANNEL_WITHDRAW,
    CHANNEL_DRAIN,
    CHANNEL_MACHINE_TERMINATED,
    CHANNEL_CANCEL_DRAIN,  /* no longer to be drained */
    CHANNEL_ATTEMPT_RESULT /* partition to leader */
} channel_item_kind_t;

typedef struct channel_item {
    channel_item_kind_t kind;
    placement_request_t request; /* types owned */
    task_ref_t ref;
    attempt_result_t result;
    char machine[ID_BYTES];
} channel_item_t;

typedef struct channel {
    GArray *queue;     /* channel_item_t */
    GArray *in_flight; /* of batch `sent`; empty: acknowledged */
    uint64_t sent;
    uint64_t received;
} channel_t;

channel_t *channel_new(void);
void channel_free(channel_t *channel);
/* Takes the item over. */
void channel_push(channel_t *channel, channel_item_t item);
/* What is to be sent now: the batch not yet acknowledged, else the next one. Borrowed. */
const GArray *channel_batch(channel_t *channel, guint most);
/* Whether anything waits or is under way. */
bool channel_busy(const channel_t *channel);
void channel_ack(channel_t *channel, uint64_t ack);
/* Whether a batch of this number is new; it counts as received then. */
bool channel_accept(channel_t *channel, uint64_t number);
GArray *channel_items_new(void);

#endif
