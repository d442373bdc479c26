/* What a node may do with what it knows: answer reports, and send starts. */
#include "app/node.h"

#include "io/clock.h"
#include "log.h"

connectivity_t node_connectivity(const node_t *node)
{
    return (connectivity_t){.kv_answered_at = atomic_load(&node->kv_store.answered_at),
                            .received_at = node->sibling_message_at,
                            .siblings_kv_answered_at = node->siblings_kv_answered_at,
                            .has_no_siblings = node->settings->siblings->len == 0};
}

static msec_t cancellations_complete_until(const node_t *node)
{
    return cancellation_log_complete_until(&node->cancellations, node->settings->siblings->len,
                                           node->jobs_complete_until);
}

bool node_may_renew(const node_t *node, msec_t now)
{
    connectivity_t connectivity = node_connectivity(node);
    if (!connectivity_may_serve_workers(&connectivity, now))
        return false;
    /* A job may be cancelled at any moment through a node that reaches the key-value store. Its
     * tasks must be gone within cancel_s, and a worker keeps them for lease_s after our last
     * answer: so answers end this long after the last moment up to which all that users were told
     * is known. */
    double spare = node->settings->cancel_s - node->settings->lease_s;
    return node->is_jobs_synced &&
           now - cancellations_complete_until(node) < (msec_t)(spare * MS_PER_S) - CANCEL_MARGIN_MS;
}

void node_observe_time(node_t *node, msec_t now)
{
    if (now - node->last_observed_at > STALL_MS) {
        log_info("event=process_stalled stall_ms=%" G_GINT64_FORMAT, now - node->last_observed_at);
        node->last_stall_at = now;
    }
    node->last_observed_at = MAX(node->last_observed_at, now);
}

bool node_may_start(node_t *node, msec_t now)
{
    node_observe_time(node, now);
    msec_t known = cancellations_complete_until(node);
    return node->is_jobs_synced && known >= node->last_stall_at && now - known < START_WATERMARK_MS;
}

bool node_may_push(node_t *node, const char *machine, uint64_t generation, const GArray *commands,
                   msec_t taken, msec_t now)
{
    if (now - taken <= STALL_MS)
        return true;
    if (node->generation == generation && node->is_loaded)
        partition_finish_push(node->partition, machine, commands, 0, PUSH_DISCARDED);
    return false;
}

void *stall_detector_run(void *data)
{
    node_t *node = data;
    for (;;) {
        pthread_mutex_lock(&node->lock);
        node_observe_time(node, clock_steady());
        pthread_mutex_unlock(&node->lock);
        node_sleep(STALL_CHECK_MS);
    }
    return NULL;
}
