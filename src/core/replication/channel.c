#include "core/replication/channel.h"

static void item_clear(gpointer data)
{
    channel_item_t *item = data;
    g_strfreev(item->request.types);
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

/* Moves the oldest items of the queue to the batch in flight, which must be empty. */
static void fill_next_batch(channel_t *channel, guint max_count)
{
    guint count = MIN(max_count, channel->queue->len);
    g_array_append_vals(channel->in_flight, channel->queue->data, count);
    /* The batch now owns the types of the moved items; their removal from the queue must not free
     * them. */
    for (guint i = 0; i < count; i++)
        g_array_index(channel->queue, channel_item_t, i).request.types = NULL;
    g_array_remove_range(channel->queue, 0, count);
    channel->last_sent_batch++;
}

GArray *channel_current_batch(channel_t *channel, guint max_count)
{
    if (channel->in_flight->len == 0 && channel->queue->len > 0)
        fill_next_batch(channel, max_count);
    return channel->in_flight;
}

bool channel_is_busy(const channel_t *channel)
{
    return channel->queue->len > 0 || channel->in_flight->len > 0;
}

void channel_acknowledge(channel_t *channel, uint64_t acknowledged_batch)
{
    if (acknowledged_batch == channel->last_sent_batch)
        g_array_set_size(channel->in_flight, 0);
}

bool channel_accept(channel_t *channel, uint64_t batch_number)
{
    if (batch_number != channel->last_received_batch + 1)
        return false;
    channel->last_received_batch = batch_number;
    return true;
}
