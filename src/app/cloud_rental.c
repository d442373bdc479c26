/* Rentals: one at a time, repeated under its name until it is answered. */
#include "app/cloud_internal.h"

#include "io/clock.h"
#include "io/wire.h"
#include "log.h"

/* With the lock held: a machine that is being drained is nearer than any to be rented. */
static bool cancel_drain(node_t *node)
{
    for (guint i = 0; i < node->leader->summaries->len; i++) {
        const GArray *summaries = g_ptr_array_index(node->leader->summaries, i);
        for (guint k = 0; summaries && k < summaries->len; k++) {
            const machine_summary_t *summary = &g_array_index(summaries, machine_summary_t, k);
            if (!summary->draining || summary->attempts == 0 ||
                leader_is_quarantined(node->leader, summary->machine))
                continue;
            log_info("event=drain_cancelled machine=%s", summary->machine);
            cloud_send_machine_item(node, i, CHANNEL_CANCEL_DRAIN, summary->machine);
            return true;
        }
    }
    return false;
}

static void choose_wish(cloud_t *cloud)
{
    node_t *node = cloud->node;
    pthread_mutex_lock(&node->lock);
    msec_t now = clock_steady();
    charter_t *charter = &cloud->charter;
    if (charter->open && charter->generation != node->generation)
        charter->open = false; /* if it was carried out, its machines will appear in the list */
    /* Before the first view nobody rented: what the list shows is all there is. */
    bool is_grace_over = now - node->loaded_at > LEADER_GRACE_MS ||
                         (node->view.number == 1 && cloud->listed_at > node->loaded_at);
    if (!charter->open && cloud_leads(node) && is_grace_over &&
        rental_next(node->rental, node->leader, node->machine_types, now, clock_day(),
                    &charter->wish) &&
        !cancel_drain(node)) {
        /* The number is this leadership's alone, so the name can never have been used. */
        g_snprintf(charter->charter, sizeof charter->charter, "c-%" G_GUINT64_FORMAT "-%u",
                   node->view.number, ++cloud->charters);
        charter->open = true;
        charter->generation = node->generation;
    }
    pthread_mutex_unlock(&node->lock);
}

static void take_rental(cloud_t *cloud, const json_t *answer)
{
    node_t *node = cloud->node;
    const rental_wish_t *wish = &cloud->charter.wish;
    const json_t *names = json_object_get(answer, "Winches");
    size_t i;
    json_t *name;
    pthread_mutex_lock(&node->lock);
    msec_t now = clock_steady();
    if (cloud_leads(node)) {
        json_array_foreach(names, i, name) if (json_is_string(name)) rental_booting(
            node->rental, json_string_value(name), wish->type, wish->zone, wish->spot, now);
        if (json_array_size(names) < wish->count)
            rental_refused(node->rental, wish, now + CAPACITY_MEMORY_MS);
    }
    pthread_mutex_unlock(&node->lock);
    metrics_count(node->metrics, COUNT_RENTED, json_array_size(names));
    log_info("event=rented charter=%s type=%s zone=%s spot=%d asked=%u got=%zu",
             cloud->charter.charter, wish->type, wish->zone, wish->spot, wish->count,
             json_array_size(names));
}

bool cloud_rent(cloud_t *cloud)
{
    choose_wish(cloud);
    charter_t *charter = &cloud->charter;
    if (!charter->open)
        return false;
    json_t *answer = NULL;
    json_t *body = wire_build_rental(charter->charter, charter->wish.type, charter->wish.zone,
                                     charter->wish.spot, charter->wish.count);
    int status = cloud_call(cloud, "POST", "/hosts", body, &answer);
    json_decref(body);
    const char *error = json_string_value(json_object_get(answer, "error"));
    if (status == HTTP_OK) {
        take_rental(cloud, answer);
        charter->open = false;
    } else if (status == HTTP_BAD_REQUEST ||
               (status == HTTP_UNAVAILABLE && g_strcmp0(error, "no capacity") == 0)) {
        pthread_mutex_lock(&cloud->node->lock);
        if (cloud->node->rental)
            rental_refused(cloud->node->rental, &charter->wish,
                           clock_steady() + CAPACITY_MEMORY_MS);
        pthread_mutex_unlock(&cloud->node->lock);
        log_info("event=no_capacity type=%s zone=%s spot=%d status=%d", charter->wish.type,
                 charter->wish.zone, charter->wish.spot, status);
        charter->open = false;
    }
    json_decref(answer);
    return true;
}
