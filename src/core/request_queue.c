#include "core/request_queue.h"

typedef struct waiting_request {
    void *request; /* borrowed */
    msec_t wait_deadline_at;
} waiting_request_t;

void request_queue_init(request_queue_t *queue, guint max_length)
{
    g_queue_init(&queue->waiting);
    queue->max_length = max_length;
}

bool request_queue_push(request_queue_t *queue, void *request, msec_t wait_deadline_at)
{
    if (g_queue_get_length(&queue->waiting) >= queue->max_length)
        return false;
    waiting_request_t *entry = g_new(waiting_request_t, 1);
    *entry = (waiting_request_t){request, wait_deadline_at};
    g_queue_push_tail(&queue->waiting, entry);
    return true;
}

static void *remove_entry(request_queue_t *queue, GList *element)
{
    waiting_request_t *entry = element->data;
    void *request = entry->request;
    g_queue_delete_link(&queue->waiting, element);
    g_free(entry);
    return request;
}

void *request_queue_pop(request_queue_t *queue)
{
    return queue->waiting.head ? remove_entry(queue, queue->waiting.head) : NULL;
}

void *request_queue_pop_expired(request_queue_t *queue, msec_t now)
{
    for (GList *element = queue->waiting.head; element; element = element->next) {
        const waiting_request_t *entry = element->data;
        if (entry->wait_deadline_at <= now)
            return remove_entry(queue, element);
    }
    return NULL;
}

msec_t request_queue_earliest_deadline(const request_queue_t *queue)
{
    msec_t next_at = G_MAXINT64;
    for (const GList *element = queue->waiting.head; element; element = element->next) {
        const waiting_request_t *entry = element->data;
        next_at = MIN(next_at, entry->wait_deadline_at);
    }
    return next_at;
}
