#include "core/request_queue.h"

typedef struct waiting {
    void *request;
    msec_t until;
} waiting_t;

void request_queue_init(request_queue_t *queue, guint most)
{
    g_queue_init(&queue->waiting);
    queue->most = most;
}

bool request_queue_push(request_queue_t *queue, void *request, msec_t until)
{
    if (g_queue_get_length(&queue->waiting) >= queue->most)
        return false;
    waiting_t *entry = g_new(waiting_t, 1);
    *entry = (waiting_t){request, until};
    g_queue_push_tail(&queue->waiting, entry);
    return true;
}

static void *take(request_queue_t *queue, GList *channel)
{
    waiting_t *entry = channel->data;
    void *request = entry->request;
    g_queue_delete_link(&queue->waiting, channel);
    g_free(entry);
    return request;
}

void *request_queue_pop(request_queue_t *queue)
{
    return queue->waiting.head ? take(queue, queue->waiting.head) : NULL;
}

void *request_queue_pop_expired(request_queue_t *queue, msec_t now)
{
    for (GList *channel = queue->waiting.head; channel; channel = channel->next)
        if (((const waiting_t *)channel->data)->until <= now)
            return take(queue, channel);
    return NULL;
}

msec_t request_queue_next(const request_queue_t *queue)
{
    msec_t next = G_MAXINT64;
    for (const GList *channel = queue->waiting.head; channel; channel = channel->next)
        next = MIN(next, ((const waiting_t *)channel->data)->until);
    return next;
}
