/* Whether this controller should get users. */
#include "controller/api/api_internal.h"
#include "controller/worker_lease.h"

#include "io/clock.h"

bool api_is_isolated(const controller_t *controller)
{
    connectivity_t connectivity = worker_lease_connectivity(controller);
    connectivity_state_t state = connectivity_judge(&connectivity, clock_steady());
    return state == CONNECTIVITY_REFUSED || state == CONNECTIVITY_NONE;
}

bool api_must_shed(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    bool shut_out = api_is_isolated(controller);
    pthread_mutex_unlock(&controller->lock);
    return shut_out;
}

reply_t api_ready(controller_t *controller)
{
    pthread_mutex_lock(&controller->lock);
    /* Refused alone, this controller should get no users; in an outage of all, all stay: each
     * removal by the load balancer lasts longer than the one before. */
    bool able = controller->placement.machine_types->len > 0 && controller->jobs.is_synced &&
                !api_is_isolated(controller);
    pthread_mutex_unlock(&controller->lock);
    return able ? (reply_t){.status = HTTP_OK, .body = json_pack("{s:b}", "ready", 1)}
                : api_refuse(HTTP_UNAVAILABLE, "starting", 1);
}
