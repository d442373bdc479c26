/* Whether this node should get users. */
#include "app/api_internal.h"

#include "io/clock.h"

bool api_is_shut_out(const node_t *node)
{
    connectivity_t connectivity = node_connectivity(node);
    connectivity_state_t state = connectivity_judge(&connectivity, clock_steady());
    return state == CONNECTIVITY_REFUSED || state == CONNECTIVITY_NONE;
}

bool api_must_turn_away(node_t *node)
{
    pthread_mutex_lock(&node->lock);
    bool shut_out = api_is_shut_out(node);
    pthread_mutex_unlock(&node->lock);
    return shut_out;
}

reply_t api_ready(node_t *node)
{
    pthread_mutex_lock(&node->lock);
    /* Refused alone, this node should get no users; in an outage of all, all stay: each removal
     * by the load balancer lasts longer than the one before. */
    bool able = node->machine_types->len > 0 && node->is_jobs_synced && !api_is_shut_out(node);
    pthread_mutex_unlock(&node->lock);
    return able ? (reply_t){.status = HTTP_OK, .body = json_pack("{s:b}", "ready", 1)}
                : api_refuse(HTTP_UNAVAILABLE, "starting", 1);
}
