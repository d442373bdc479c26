#include "core/link.h"

static void item_clear(gpointer data)
{
    g_strfreev(((link_item_t *)data)->offer.types);
}

GArray *link_items_new(void)
{
    GArray *items = g_array_new(FALSE, TRUE, sizeof(link_item_t));
    g_array_set_clear_func(items, item_clear);
    return items;
}

link_t *link_new(void)
{
    link_t *link = g_new0(link_t, 1);
    link->queue = link_items_new();
    link->under_way = link_items_new();
    return link;
}

void link_free(link_t *link)
{
    g_array_unref(link->queue);
    g_array_unref(link->under_way);
    g_free(link);
}

void link_push(link_t *link, link_item_t item)
{
    g_array_append_val(link->queue, item);
}

const GArray *link_batch(link_t *link, guint most)
{
    if (link->under_way->len == 0 && link->queue->len > 0) {
        guint count = MIN(most, link->queue->len);
        g_array_append_vals(link->under_way, link->queue->data, count);
        /* The items moved: what they own must not be freed here. */
        for (guint i = 0; i < count; i++)
            g_array_index(link->queue, link_item_t, i).offer.types = NULL;
        g_array_remove_range(link->queue, 0, count);
        link->sent++;
    }
    return link->under_way;
}

bool link_busy(const link_t *link)
{
    return link->queue->len > 0 || link->under_way->len > 0;
}

void link_ack(link_t *link, uint64_t ack)
{
    if (ack == link->sent)
        g_array_set_size(link->under_way, 0);
}

bool link_accept(link_t *link, uint64_t number)
{
    if (number != link->received + 1)
        return false;
    link->received = number;
    return true;
}
