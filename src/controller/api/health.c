/* Decides whether this controller serves users' requests, and serves its metrics. */
#include "controller/api/health.h"

#include "controller/controller.h"
#include "controller/worker_lease.h"
#include "io/clock.h"
#include "io/codec/codec.h"

static bool is_isolated_locked(const controller_t *controller)
{
    connectivity_t connectivity = worker_lease_connectivity(controller);
    connectivity_state_t state = connectivity_assess(&connectivity, clock_steady());
    return state == CONNECTIVITY_REFUSED || state == CONNECTIVITY_ISOLATED;
}

bool api_must_shed_load(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    bool is_isolated = is_isolated_locked(controller);
    pthread_mutex_unlock(&controller->lock);
    return is_isolated;
}

reply_t api_metrics(controller_t *controller)
{
    exited_statistics_t exited = {0};
    pthread_mutex_lock(&controller->lock);
    if (controller->placement.is_loaded)
        exited = partition_exited_statistics(controller->placement.partition, clock_steady());
    pthread_mutex_unlock(&controller->lock);
    metrics_set(controller->metrics, GAUGE_EXITED_ATTEMPTS, exited.count);
    metrics_set(controller->metrics, GAUGE_EXITED_ATTEMPTS_OLDEST_MS, (guint64)exited.oldest_ms);
    return api_reply_text(metrics_text(controller->metrics));
}

reply_t api_ready(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    /* A controller that gets no answers from the key-value store, while its siblings get some or
     * may get some, is not ready, so that the load balancer sends users to the siblings. In an
     * outage that affects all controllers, all of them stay ready, because the load balancer
     * removes a controller for longer each time. */
    bool is_ready = controller->placement.machine_types->len > 0 && controller->jobs.is_synced &&
                    !is_isolated_locked(controller);
    pthread_mutex_unlock(&controller->lock);
    if (!is_ready)
        return api_reply_refusal(HTTP_UNAVAILABLE, "starting", 1);
    return api_reply_json(HTTP_OK, codec_build_ready());
}
