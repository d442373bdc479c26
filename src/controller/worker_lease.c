/* What a controller may do with what it knows: answer reports, and send starts. */
#include "controller/worker_lease.h"
#include "controller/controller.h"

#include "io/clock.h"
#include "io/log.h"

connectivity_t worker_lease_connectivity(const controller_t *controller)
{
    return (connectivity_t){.kv_answered_at = atomic_load(&controller->kv_store.answered_at),
                            .peer_message_at = controller->peers.sibling_message_at,
                            .siblings_kv_answered_at = controller->peers.siblings_kv_answered_at,
                            .has_no_siblings = controller->settings->siblings->len == 0};
}

static msec_t cancellations_complete_until(const controller_t *controller)
{
    return cancellation_log_complete_until(&controller->jobs.cancellations,
                                           controller->settings->siblings->len,
                                           controller->jobs.complete_until);
}

bool worker_lease_may_renew(const controller_t *controller, msec_t now)
{
    connectivity_t connectivity = worker_lease_connectivity(controller);
    if (!connectivity_may_serve_workers(&connectivity, now))
        return false;
    /* A job may be cancelled at any moment through a controller that reaches the key-value store.
     * Its tasks must be gone within cancel_s, and a worker keeps them for lease_s after our last
     * answer: so answers end this long after the last moment up to which all that users were told
     * is known. */
    double spare = controller->settings->cancel_s - controller->settings->lease_s;
    return controller->jobs.is_synced && now - cancellations_complete_until(controller) <
                                             (msec_t)(spare * MS_PER_S) - CANCEL_MARGIN_MS;
}

bool worker_lease_may_start(controller_t *controller, msec_t now)
{
    stall_detector_observe(controller, now);
    msec_t known = cancellations_complete_until(controller);
    return controller->jobs.is_synced && known >= controller->stalls.last_stall_at &&
           now - known < START_WATERMARK_MS;
}

bool worker_lease_may_push(controller_t *controller, const char *machine, uint64_t generation,
                           const GArray *commands, msec_t taken, msec_t now)
{
    if (now - taken <= STALL_MS)
        return true;
    if (controller->placement.generation == generation && controller->placement.is_loaded)
        partition_finish_push(controller->placement.partition, machine, commands, 0,
                              PUSH_DISCARDED);
    return false;
}
