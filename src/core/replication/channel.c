#include "core/replication/channel.h"

static void item_clear(gpointer data)
{
    g_strfreev(((channel_item_t *)data)->request.types);
}

GArray *channel_items_new(void)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(channel_item_t));
    g_array_set_clear_func(items, item_clear);
    return items;
}

channel_t *channel_new(void)
{
    channel_t *channel = g_new0(channel_t, 1);
    channel->queue = channel_items_new();
    channel->in_flight = channel_items_new();
    return channel;
}

void channel_free(channel_t *channel)
{
    g_array_unref(channel->queue);
    g_array_unref(channel->in_flight);
    g_free(channel);
}

void channel_push(channel_t *channel, channel_item_t item)
{
    g_array_append_val(channel->queue, item);
}

const GArray *channel_batch(channel_t *channel, guint most)
{
    if (channel->in_flight->len == 0 && channel->queue->len > 0) {
        guint count = MIN(most, channel->queue->len);
        g_array_append_vals(channel->in_flight, channel->queue->data, count);
        /* The items moved: what they own must not be freed here. */
        for (guint i = 0; i < count; i++)
            g_array_index(channel->queue, channel_item_t, i).request.types = NULL;
        g_array_remove_range(channel->queue, 0, count);
        channel->sent++;
    }
    return channel->in_flight;
}

bool channel_busy(const channel_t *channel)
{
    return channel->queue->len > 0 || channel->in_flight->len > 0;
}

void channel_ack(channel_t *channel, uint64_t ack)
{
    if (ack == channel->sent)
        g_array_set_size(channel->in_flight, 0);
}

bool channel_accept(channel_t *channel, uint64_t number)
{
    if (number != channel->received + 1)
        return false;
    channel->received = number;
    return true;
}
