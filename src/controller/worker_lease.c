/* What a controller may do with what it knows: answer reports, and send starts. */
#include "controller/controller.h"

#include "io/clock.h"
#include "io/log.h"

connectivity_t controller_connectivity(const controller_t *controller)
{
    return (connectivity_t){.kv_answered_at = atomic_load(&controller->kv_store.answered_at),
                            .peer_message_at = controller->sibling_message_at,
                            .siblings_kv_answered_at = controller->siblings_kv_answered_at,
                            .has_no_siblings = controller->settings->siblings->len == 0};
}

static msec_t cancellations_complete_until(const controller_t *controller)
{
    return cancellation_log_complete_until(&controller->cancellation_log,
                                           controller->settings->siblings->len,
                                           controller->jobs_complete_until);
}

bool controller_may_renew_leases(const controller_t *controller, msec_t now)
{
    connectivity_t connectivity = controller_connectivity(controller);
    if (!connectivity_may_serve_workers(&connectivity, now))
        return false;
    /* A job may be cancelled at any moment through a controller that reaches the key-value store.
     * Its tasks must be gone within cancel_s, and a worker keeps them for lease_s after our last
     * answer: so answers end this long after the last moment up to which all that users were told
     * is known. */
    double spare = controller->settings->cancel_s - controller->settings->lease_s;
    return controller->is_jobs_synced && now - cancellations_complete_until(controller) <
                                             (msec_t)(spare * MS_PER_S) - CANCEL_MARGIN_MS;
}

void controller_observe_time(controller_t *controller, msec_t now)
{
    if (now - controller->last_observed_at > STALL_MS) {
        log_info("event=process_stalled stall_ms=%" G_GINT64_FORMAT,
                 now - controller->last_observed_at);
        controller->last_stall_at = now;
    }
    controller->last_observed_at = MAX(controller->last_observed_at, now);
}

bool controller_may_start(controller_t *controller, msec_t now)
{
    controller_observe_time(controller, now);
    msec_t known = cancellations_complete_until(controller);
    return controller->is_jobs_synced && known >= controller->last_stall_at &&
           now - known < START_WATERMARK_MS;
}

bool controller_may_push(controller_t *controller, const char *machine, uint64_t generation,
                         const GArray *commands, msec_t taken, msec_t now)
{
    if (now - taken <= STALL_MS)
        return true;
    if (controller->data_generation == generation && controller->is_loaded)
        partition_finish_push(controller->partition, machine, commands, 0, PUSH_DISCARDED);
    return false;
}

void *stall_detector_run(void *data)
{
    controller_t *controller = data;
    for (;;) {
        pthread_mutex_lock(&controller->lock);
        controller_observe_time(controller, clock_steady());
        pthread_mutex_unlock(&controller->lock);
        controller_sleep(STALL_CHECK_MS);
    }
    return NULL;
}
