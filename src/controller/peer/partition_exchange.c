#include "controller/peer/partition_exchange.h"
#include "controller/peer/peer_exchange.h"
#include "controller/placement/partition_items.h"

#include "io/clock.h"

void partition_exchange_receive(controller_t *controller, const peer_message_t *message)
{
    peer_exchange_observe_sender(controller, message);
    if (!controller->placement.is_loaded || !peer_exchange_is_from_leader(controller, message))
        return;
    channel_t *channel = controller->peers.leader_channel;
    channel_acknowledge(channel, message->acknowledged_batch);
    if (message->items->len == 0 || !channel_accept(channel, message->batch_number))
        return;
    for (guint i = 0; i < message->items->len; i++) {
        const channel_item_t *item = &g_array_index(message->items, channel_item_t, i);
        partition_items_handle(controller, item, clock_steady());
    }
}
