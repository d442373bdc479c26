#include "controller/worker_lease.h"

#include "io/clock.h"

connectivity_t worker_lease_connectivity(const controller_t *controller)
{
    return (connectivity_t){.kv_answered_at = atomic_load(&controller->kv_store.answered_at),
                            .peer_message_at = controller->peers.sibling_message_at,
                            .siblings_kv_answered_at = controller->peers.siblings_kv_answered_at,
                            .has_no_siblings = controller->settings->siblings->len == 0};
}

/* Returns the time until which every cancellation that any controller confirmed to a user is known
 * here, either from the watch of jobs/ or from the cancellation logs of all siblings. */
static msec_t cancellations_complete_until(const controller_t *controller)
{
    return cancellation_log_complete_until(&controller->jobs.cancellations,
                                           controller->settings->siblings->len,
                                           controller->jobs.complete_until);
}

/* Returns for how long, in ms, leases may be renewed after the time until which the cancellations
 * are complete.
 *
 * A job may be cancelled at any time through a controller that reaches the key-value store. Its
 * tasks must have ended within cancel_s, and a worker may run them for lease_s after this
 * controller's last answer. Leases may therefore be renewed for cancel_s - lease_s after the last
 * time until which all cancellations confirmed to users are known. CANCEL_MARGIN_MS is subtracted
 * for a heartbeat answer that is in transit. */
static msec_t renewal_limit_ms(const settings_t *settings)
{
    double slack_s = settings->cancel_s - settings->lease_s;
    return (msec_t)(slack_s * MS_PER_S) - CANCEL_MARGIN_MS;
}

bool worker_lease_may_renew(const controller_t *controller, msec_t now)
{
    connectivity_t connectivity = worker_lease_connectivity(controller);
    if (!connectivity_may_serve_workers(&connectivity, now))
        return false;
    return controller->jobs.is_synced &&
           now - cancellations_complete_until(controller) < renewal_limit_ms(controller->settings);
}

bool worker_lease_may_start(controller_t *controller, msec_t now)
{
    stall_detector_observe(controller, now);
    msec_t complete_until = cancellations_complete_until(controller);
    return controller->jobs.is_synced && complete_until >= controller->stalls.last_stall_at &&
           now - complete_until < START_WATERMARK_MAX_AGE_MS;
}

bool worker_lease_may_push(controller_t *controller, const char *machine, uint64_t generation,
                           const GArray *commands, msec_t taken_at, msec_t now)
{
    if (now - taken_at <= STALL_MIN_MS)
        return true;
    if (controller->placement.generation == generation && controller->placement.is_loaded)
        partition_finish_push(controller->placement.partition, machine, commands, 0,
                              PUSH_DISCARDED);
    return false;
}
