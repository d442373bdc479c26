/* A controller's partition and the leader's data: the items that they exchange. */
#include "controller/placement/partition_items.h"
#include "controller/controller.h"

#include "io/clock.h"
#include "io/log.h"

/* Appends the machine's summary to data, an array of machine_summary_t. */
static void append_summary(const machine_status_t *status, gpointer data)
{
    GArray *summaries = data;
    machine_summary_t summary = {.spot = status->is_spot,
                                 .open = status->accepts_starts,
                                 .draining = status->is_draining,
                                 .total = status->total,
                                 .free = status->free,
                                 .attempts = status->attempts,
                                 .silent_ms = status->unacknowledged_ms,
                                 .idle_ms = status->idle_ms,
                                 .known_ms = status->known_ms};
    g_strlcpy(summary.machine, status->id, sizeof summary.machine);
    g_strlcpy(summary.type, status->type, sizeof summary.type);
    g_strlcpy(summary.zone, status->zone, sizeof summary.zone);
    g_array_append_val(summaries, summary);
}

GArray *partition_items_summaries(const controller_t *controller, msec_t now)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    partition_visit_machines(controller->placement.partition, now, append_summary, summaries);
    return summaries;
}

GArray *partition_items_cpus_being_preempted(const controller_t *controller)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < controller->settings->teams->len; i++) {
        double cpus = partition_cpus_being_preempted(
            controller->placement.partition,
            g_array_index(controller->settings->teams, team_t, i).name);
        g_array_append_val(list, cpus);
    }
    return list;
}

void partition_items_send(controller_t *controller, guint partition, channel_item_t item)
{
    if (partition == controller->membership.own_index) {
        partition_items_handle(controller, &item, clock_steady());
        g_strfreev(item.request.types);
    } else if (partition < controller->peers.channels->len &&
               g_ptr_array_index(controller->peers.channels, partition)) {
        channel_push(g_ptr_array_index(controller->peers.channels, partition), item);
        pthread_cond_broadcast(&controller->peers.item_available);
    }
}

/* A gang's task found no room: what its partition holds for the others is freed. */
static void withdraw_gang(controller_t *controller, const char *job)
{
    GArray *outstanding = leader_outstanding(controller->placement.leader, job);
    for (guint i = 0; i < outstanding->len; i++) {
        const partition_attempt_t *entry = &g_array_index(outstanding, partition_attempt_t, i);
        partition_items_send(controller, entry->partition,
                             (channel_item_t){.kind = CHANNEL_WITHDRAW, .ref = entry->ref});
    }
    g_array_unref(outstanding);
}

void partition_items_handle_result(controller_t *controller, guint partition,
                                   const attempt_result_t *result, msec_t now)
{
    log_debug("event=attempt_terminated task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s cause=%d",
              result->ref.job, result->ref.task, result->ref.attempt, result->machine,
              (int)result->cause);
    if (result->cause == CAUSE_ERROR || result->cause == CAUSE_UNKNOWN)
        log_info("event=attempt_failed task=%s/%u machine=%s cause=%d", result->ref.job,
                 result->ref.task, result->machine, (int)result->cause);
    const job_t *job = g_hash_table_lookup(controller->placement.leader->jobs, result->ref.job);
    bool refused = job && job->spec.kind == KIND_GANG && result->cause == CAUSE_FULL;
    leader_handle_result(controller->placement.leader, partition, result, now);
    if (refused)
        withdraw_gang(controller, result->ref.job);
}

/* The leader itself hears at once; another's results wait for the exchange. */
static void refuse_placement(controller_t *controller, const placement_request_t *request,
                             msec_t now)
{
    attempt_result_t refused = {.ref = task_ref(request->job, request->task, request->attempt),
                                .cause = CAUSE_FULL};
    if (controller->membership.is_leader)
        partition_items_handle_result(controller, controller->membership.own_index, &refused, now);
    else
        channel_push(controller->peers.leader_channel,
                     (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT, .result = refused});
}

static void handle_placement_request(controller_t *controller, const placement_request_t *request,
                                     msec_t now)
{
    const machine_t *machine = partition_place(controller->placement.partition, request, now);
    metrics_count(controller->metrics, machine ? COUNT_PLACEMENTS : COUNT_PLACEMENTS_REFUSED, 1);
    if (!machine) {
        refuse_placement(controller, request, now);
        return;
    }
    log_debug("event=task_placed task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", request->job,
              request->task, request->attempt, machine_id(machine));
    controller_notify_placement(controller);
}

void partition_items_handle(controller_t *controller, const channel_item_t *item, msec_t now)
{
    switch (item->kind) {
    case CHANNEL_PLACEMENT_REQUEST:
        handle_placement_request(controller, &item->request, now);
        break;
    case CHANNEL_ACKNOWLEDGE:
        partition_acknowledge(controller->placement.partition, &item->ref);
        controller_notify_placement(controller);
        break;
    case CHANNEL_WITHDRAW:
        partition_withdraw(controller->placement.partition, &item->ref, now);
        controller_notify_placement(controller);
        break;
    case CHANNEL_DRAIN:
        partition_set_draining(controller->placement.partition, item->machine, true);
        break;
    case CHANNEL_CANCEL_DRAIN:
        partition_set_draining(controller->placement.partition, item->machine, false);
        break;
    case CHANNEL_MACHINE_TERMINATED:
        partition_machine_terminated(controller->placement.partition, item->machine);
        controller_notify_placement(controller);
        break;
    case CHANNEL_ATTEMPT_RESULT:
        break; /* never said by a leader */
    }
}
