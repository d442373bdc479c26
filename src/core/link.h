/* One end of the exchange between the leader and a part: batches that arrive once and in order,
 * whatever the road between loses, repeats or delays.
 *
 * Stop and wait: a batch is sent, under its number, until the other end has acknowledged it; a
 * batch whose number is not the next one is a copy. Both ends begin anew with each view. Owns its
 * items. */
#ifndef PEPPERPULLEY_LINK_H
#define PEPPERPULLEY_LINK_H

#include "core/part.h"

typedef enum {
    LINK_OFFER, /* leader to part */
    LINK_SETTLE,
    LINK_WITHDRAW,
    LINK_DRAIN,
    LINK_GONE,
    LINK_KEEP,   /* no longer to be drained */
    LINK_OUTCOME /* part to leader */
} link_kind_t;

typedef struct {
    link_kind_t kind;
    offer_t offer; /* types owned */
    task_ref_t ref;
    outcome_t outcome;
    char machine[ID_SIZE];
} link_item_t;

typedef struct {
    GArray *queue;     /* link_item_t */
    GArray *under_way; /* of batch `sent`; empty: acknowledged */
    uint64_t sent;
    uint64_t received;
} link_t;

link_t *link_new(void);
void link_free(link_t *link);
/* Takes the item over. */
void link_push(link_t *link, link_item_t item);
/* What is to be sent now: the batch not yet acknowledged, else the next one. Borrowed. */
const GArray *link_batch(link_t *link, guint most);
/* Whether anything waits or is under way. */
bool link_busy(const link_t *link);
void link_ack(link_t *link, uint64_t ack);
/* Whether a batch of this number is new; it counts as received then. */
bool link_accept(link_t *link, uint64_t number);
GArray *link_items_new(void);

#endif
