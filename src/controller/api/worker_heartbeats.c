/* Serves workers' heartbeats. */
#include "controller/api/worker_heartbeats.h"

#include <string.h>

#include "controller/command_log.h"
#include "controller/controller.h"
#include "controller/worker_lease.h"
#include "core/membership/fencing_token.h"
#include "io/clock.h"
#include "io/codec/codec.h"
#include "io/log.h"

/* Returns whether workers of the zone can reach the owner, as far as this controller can tell.
 * Network partitions are assumed to separate either whole zones or a single controller. So if this
 * controller or the owner is in the worker's zone and the two can communicate, the worker can reach
 * the owner, too. */
static bool is_owner_reachable_locked(const controller_t *controller, const member_t *owner,
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

static redirection_verdict_t judge_redirection_locked(controller_t *controller,
                                                      const worker_heartbeat_t *heartbeat,
                                                      const member_t *owner, msec_t now)
{
    char owner_key[KV_KEY_BYTES];
    g_snprintf(owner_key, sizeof owner_key, "%s#%" G_GUINT64_FORMAT, owner->name,
               owner->incarnation);
    bool is_reachable = is_owner_reachable_locked(controller, owner, heartbeat->zone, now);
    return redirection_handle_heartbeat(controller->membership.redirection, heartbeat, owner_key,
                                        is_reachable, now);
}

/* Returns the fencing token for the answer to a heartbeat. It is at least the highest one that the
 * worker has seen, because the worker ignores an answer under a lower one;
 * is_view_outdated_locked() has excluded that this belongs to a later view. */
static uint64_t answer_fencing_token_locked(const controller_t *controller,
                                            const worker_heartbeat_t *heartbeat)
{
    uint64_t fencing_token = fencing_token_first(controller->membership.view.number);
    if (controller->placement.is_loaded)
        fencing_token =
            partition_fencing_token(controller->placement.partition, heartbeat->machine);
    return MAX(fencing_token, heartbeat->fencing_token);
}

/* Returns the reply to a heartbeat with these commands, and logs and counts them. */
static reply_t commands_reply_locked(const controller_t *controller,
                                     const worker_heartbeat_t *heartbeat, const GArray *commands)
{
    command_target_t target = {.path = COMMANDS_ANSWERED,
                               .machine = heartbeat->machine,
                               .fencing_token = answer_fencing_token_locked(controller, heartbeat),
                               .worker_epoch = heartbeat->worker_epoch};
    command_log_record(controller, &target, commands);
    if (target.fencing_token > heartbeat->fencing_token)
        metrics_count(controller->metrics, COUNT_FENCING_TOKENS_RAISED, 1);
    if (commands->len == 0)
        return api_reply_no_commands(target.fencing_token);
    return api_reply_json(HTTP_OK, codec_build_commands(target.fencing_token, commands));
}

/* Renews the lease of a worker that another controller owns. The reply starts nothing, but stops
 * the attempts of jobs that are not live. */
static reply_t retain_worker_locked(controller_t *controller, const worker_heartbeat_t *heartbeat)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    log_debug("event=worker_retained machine=%s", heartbeat->machine);
    redirection_append_stops(heartbeat, controller->jobs.live, commands);
    return commands_reply_locked(controller, heartbeat, commands);
}

/* Redirects a worker that this controller does not own to its owner. Retains it here if it cannot
 * reach the owner. */
static reply_t redirect_worker_locked(controller_t *controller, const worker_heartbeat_t *heartbeat,
                                      const member_t *owner, msec_t now)
{
    switch (judge_redirection_locked(controller, heartbeat, owner, now)) {
    case REDIRECTION_DUPLICATE:
        return api_reply_refusal(HTTP_UNAVAILABLE, "an old report", 0);
    case REDIRECTION_TO_OWNER:
        return api_reply_json(HTTP_MISDIRECTED, codec_build_redirect(owner->name));
    case REDIRECTION_RETAINED:
    case REDIRECTION_UNVERIFIED:
        break;
    }
    return retain_worker_locked(controller, heartbeat);
}

/* Applies the heartbeat to the partition, if that is loaded, and appends the worker's commands. */
static heartbeat_verdict_t update_partition_locked(controller_t *controller,
                                                   const worker_heartbeat_t *heartbeat, msec_t now,
                                                   GArray *commands)
{
    partition_t *partition = controller->placement.partition;
    if (!controller->placement.is_loaded)
        return HEARTBEAT_UNVERIFIED;
    partition_pause_starts(partition, !worker_lease_may_start(controller, now));
    return partition_handle_heartbeat(partition, heartbeat, false, now, commands);
}

/* Returns the reply to the heartbeat of a worker that this controller owns. The reply renews the
 * lease of everything that runs on the worker, so it must always stop the jobs whose cancellation
 * was confirmed to users. If the partition did not accept the heartbeat or is not loaded, for
 * example during an outage of the key-value store, the stop commands come from the job directory
 * instead. */
static reply_t own_worker_reply_locked(controller_t *controller,
                                       const worker_heartbeat_t *heartbeat,
                                       heartbeat_verdict_t verdict, GArray *commands)
{
    if (verdict == HEARTBEAT_DUPLICATE)
        return api_reply_refusal(HTTP_UNAVAILABLE, "an old report", 0);
    if (verdict != HEARTBEAT_ACCEPTED)
        redirection_append_stops(heartbeat, controller->jobs.live, commands);
    return commands_reply_locked(controller, heartbeat, commands);
}

static const char *verdict_name(heartbeat_verdict_t verdict)
{
    static const char *const names[] = {[HEARTBEAT_ACCEPTED] = "accepted",
                                        [HEARTBEAT_OUT_OF_ORDER] = "out_of_order",
                                        [HEARTBEAT_UNVERIFIED] = "unverified",
                                        [HEARTBEAT_DUPLICATE] = "duplicate"};
    return names[verdict];
}

static void log_heartbeat(const worker_heartbeat_t *heartbeat, heartbeat_verdict_t verdict)
{
    log_debug("event=heartbeat_handled machine=%s worker_epoch=%" G_GUINT64_FORMAT
              " sequence=%" G_GUINT64_FORMAT " fencing_token=%" G_GUINT64_FORMAT
              " attempts=%u verdict=%s",
              heartbeat->machine, heartbeat->worker_epoch, heartbeat->heartbeat_sequence,
              heartbeat->fencing_token, heartbeat->attempts->len, verdict_name(verdict));
}

static reply_t handle_own_worker_locked(controller_t *controller,
                                        const worker_heartbeat_t *heartbeat, msec_t now)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    const partition_t *partition = controller->placement.partition;
    uint64_t changes = partition ? partition_change_count(partition) : 0;
    heartbeat_verdict_t verdict = update_partition_locked(controller, heartbeat, now, commands);
    log_heartbeat(heartbeat, verdict);
    if (verdict == HEARTBEAT_ACCEPTED)
        controller->peers.worker_heartbeat_at = now;
    reply_t reply = own_worker_reply_locked(controller, heartbeat, verdict, commands);
    if (partition && partition_change_count(partition) != changes)
        controller_notify_placement(controller);
    return reply;
}

/* Returns whether a fencing token of a later view than this controller's is in use, so that its
 * view is outdated. Workers ignore replies with an outdated token, but as long as they get replies
 * they stay with this controller instead of moving to their owner. */
static bool is_view_outdated_locked(const controller_t *controller,
                                    const worker_heartbeat_t *heartbeat)
{
    return MAX(fencing_token_view(heartbeat->fencing_token),
               controller->membership.highest_view_seen) > controller->membership.view.number;
}

static reply_t handle_heartbeat_locked(controller_t *controller,
                                       const worker_heartbeat_t *heartbeat)
{
    const view_t *view = &controller->membership.view;
    msec_t now = clock_steady();
    metrics_count(controller->metrics, COUNT_WORKER_HEARTBEATS, 1);
    if (view->count == 0 || is_view_outdated_locked(controller, heartbeat))
        return api_reply_refusal(HTTP_UNAVAILABLE, "not entitled now", 0);
    if (!worker_lease_may_renew(controller, now)) {
        /* Records that the machine is alive although its lease may not be renewed: after an
         * outage, machines whose heartbeats were refused must not be considered unresponsive. */
        if (controller->placement.is_loaded)
            partition_record_unanswered_heartbeat(controller->placement.partition, heartbeat, now);
        return api_reply_refusal(HTTP_UNAVAILABLE, "not entitled now", 0);
    }
    guint owner = membership_owner_index(controller, heartbeat->machine, heartbeat->zone);
    bool is_own = owner == controller->membership.own_index;
    metrics_count(controller->metrics, COUNT_WORKER_HEARTBEATS_NOT_OWNED, !is_own);
    if (!is_own)
        return redirect_worker_locked(controller, heartbeat, &view->members[owner], now);
    return handle_own_worker_locked(controller, heartbeat, now);
}

reply_t api_handle_worker_heartbeat(controller_t *controller, const request_t *request)
{
    worker_heartbeat_t heartbeat;
    g_autoptr(GError) error = NULL;
    if (request->is_body_too_long ||
        !codec_parse_worker_heartbeat(request->body->str, request->body->len, &heartbeat, &error))
        return api_reply_refusal(HTTP_BAD_REQUEST, error ? error->message : "too long", 0);
    pthread_mutex_lock(&controller->lock);
    reply_t reply = handle_heartbeat_locked(controller, &heartbeat);
    pthread_mutex_unlock(&controller->lock);
    worker_heartbeat_clear(&heartbeat);
    return reply;
}
