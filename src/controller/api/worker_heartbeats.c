/* Workers' heartbeats. */
#include "controller/api/api_internal.h"
#include "controller/worker_lease.h"

#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* Whether the owner is in reach of workers of the zone, as far as this controller can tell. Cuts go
 * between zones or round a controller: what this controller or the owner reaches within the
 * worker's zone, the worker reaches too. */
static bool owner_is_reachable(const controller_t *controller, const member_t *owner,
                               const char *zone, msec_t now)
{
    if (strcmp(zone, controller->settings->zone) != 0 && strcmp(zone, owner->zone) != 0)
        return false;
    for (guint i = 0; i < controller->settings->siblings->len; i++) {
        const sibling_t *sibling = &g_array_index(controller->settings->siblings, sibling_t, i);
        if (strcmp(sibling->name, owner->name) == 0)
            return redirection_owner_is_healthy(&controller->peers.sibling_health[i], now);
    }
    return false;
}

/* A worker that this controller does not own: sent to the owner or, if it can't reach that, kept
 * alive here: no starts, but stops for what is cancelled. */
static reply_t redirect_worker(controller_t *controller, const worker_heartbeat_t *heartbeat,
                               const member_t *owner, msec_t now)
{
    char key[KV_KEY_BYTES];
    g_snprintf(key, sizeof key, "%s#%" G_GUINT64_FORMAT, owner->name, owner->incarnation);
    bool is_reachable = owner_is_reachable(controller, owner, heartbeat->zone, now);
    redirection_verdict_t verdict = redirection_handle_heartbeat(controller->membership.redirection,
                                                                 heartbeat, key, is_reachable, now);
    if (verdict == REDIRECTION_DUPLICATE)
        return api_refuse(HTTP_UNAVAILABLE, "an old heartbeat", 0);
    if (verdict == REDIRECTION_TO_OWNER)
        return (reply_t){.status = HTTP_MISDIRECTED,
                         .body = json_pack("{s:s}", "Bosun", owner->name)};
    log_debug("event=worker_retained machine=%s", heartbeat->machine);
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    redirection_stop_ended(heartbeat, controller->jobs.live, commands);
    reply_t reply = {.status = HTTP_OK,
                     .body = codec_build_commands(controller->membership.view.number, commands)};
    g_array_unref(commands);
    return reply;
}

/* An answer renews the lease of all that runs there, so it always stops what users were told is
 * cancelled: also where the partition is not loaded, for as long as the key-value store is away,
 * and where nothing is taken of the heartbeat. */
static reply_t answer_own(controller_t *controller, const worker_heartbeat_t *heartbeat, msec_t now)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    heartbeat_verdict_t verdict = HEARTBEAT_UNVERIFIED;
    reply_t reply;
    uint64_t changes = controller->placement.partition
                           ? partition_change_count(controller->placement.partition)
                           : 0;
    if (controller->placement.is_loaded) {
        partition_pause_starts(controller->placement.partition,
                               !worker_lease_may_start(controller, now));
        verdict = partition_handle_heartbeat(controller->placement.partition, heartbeat, false, now,
                                             commands);
    }
    if (verdict == HEARTBEAT_ACCEPTED)
        controller->peers.worker_heartbeat_at = now;
    if (verdict == HEARTBEAT_DUPLICATE) {
        reply = api_refuse(HTTP_UNAVAILABLE, "an old heartbeat", 0);
    } else {
        if (verdict != HEARTBEAT_ACCEPTED)
            redirection_stop_ended(heartbeat, controller->jobs.live, commands);
        reply = commands->len
                    ? (reply_t){.status = HTTP_OK,
                                .body = codec_build_commands(controller->membership.view.number,
                                                             commands)}
                    : (reply_t){.status = HTTP_OK,
                                .unchanged_fencing_token = controller->membership.view.number};
    }
    if (controller->placement.partition &&
        partition_change_count(controller->placement.partition) != changes)
        controller_notify_placement(controller);
    g_array_unref(commands);
    return reply;
}

static reply_t handle_heartbeat(controller_t *controller, const worker_heartbeat_t *heartbeat)
{
    msec_t now = clock_steady();
    metrics_count(controller->metrics, COUNT_WORKER_HEARTBEATS, 1);
    /* A higher fencing token is out: this controller's view is old, and a 200 from it would be
     * dropped while it holds the worker here. Silence about aborts ends the answers as well. */
    if (controller->membership.view.count == 0 ||
        MAX(heartbeat->fencing_token, controller->membership.highest_view_seen) >
            controller->membership.view.number)
        return api_refuse(HTTP_UNAVAILABLE, "not entitled now", 0);
    if (!worker_lease_may_renew(controller, now)) {
        /* It lives, though its lease may not be renewed: after an outage, machines that were only
         * refused must not be taken for dead. */
        if (controller->placement.is_loaded)
            partition_record_unanswered_heartbeat(controller->placement.partition, heartbeat, now);
        return api_refuse(HTTP_UNAVAILABLE, "not entitled now", 0);
    }
    guint owner = membership_owner_index(controller, heartbeat->machine, heartbeat->zone);
    metrics_count(controller->metrics, COUNT_WORKER_HEARTBEATS_NOT_OWNED,
                  owner != controller->membership.own_index);
    if (owner != controller->membership.own_index)
        return redirect_worker(controller, heartbeat, &controller->membership.view.members[owner],
                               now);
    return answer_own(controller, heartbeat, now);
}

reply_t api_handle_worker_heartbeat(controller_t *controller, const request_t *request)
{
    worker_heartbeat_t heartbeat;
    reason_t why = {"too long"};
    if (request->is_too_long ||
        !codec_parse_worker_heartbeat(request->body->str, request->body->len, &heartbeat, &why))
        return api_refuse(HTTP_BAD_REQUEST, why.text, 0);
    pthread_mutex_lock(&controller->lock);
    reply_t reply = handle_heartbeat(controller, &heartbeat);
    pthread_mutex_unlock(&controller->lock);
    worker_heartbeat_clear(&heartbeat);
    return reply;
}
