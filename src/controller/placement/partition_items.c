/* Sends and handles the items that the leader and the partitions exchange. */
#include "controller/placement/partition_items.h"

#include "io/clock.h"
#include "io/log.h"

/* Appends the machine's summary to data, a GArray of machine_summary_t. */
static void append_summary(const machine_status_t *status, gpointer data)
{
    GArray *summaries = data;
    machine_summary_t summary = {.is_spot = status->is_spot,
                                 .accepts_starts = status->accepts_starts,
                                 .is_draining = status->is_draining,
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
    const GArray *teams = controller->settings->teams;
    GArray *cpus_of_teams = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < teams->len; i++) {
        const char *team = g_array_index(teams, team_t, i).name;
        double cpus = partition_cpus_being_preempted(controller->placement.partition, team);
        g_array_append_val(cpus_of_teams, cpus);
    }
    return cpus_of_teams;
}

/* Puts the item (transfer full) into the channel to another member. */
static void push_to_channel(controller_t *controller, guint partition, channel_item_t item)
{
    GPtrArray *channels = controller->peers.channels;
    if (partition >= channels->len || !g_ptr_array_index(channels, partition))
        return;
    channel_push(g_ptr_array_index(channels, partition), item);
    pthread_cond_broadcast(&controller->peers.item_available);
}

/* Withdraws a placed attempt from this controller's own partition. */
static void withdraw_locally(controller_t *controller, const task_ref_t *ref, msec_t now)
{
    partition_withdraw_placement(controller->placement.partition, ref, now);
    controller_notify_placement(controller);
}

/* Withdraws all outstanding attempts of a gang. Called when no machine was found for one of its
 * tasks, so that the partitions free the resources that are reserved for the others. */
static void withdraw_gang(controller_t *controller, const char *job)
{
    /* Array of partition_attempt_t. */
    g_autoptr(GArray) outstanding = leader_outstanding_attempts(controller->placement.leader, job);
    for (guint i = 0; i < outstanding->len; i++) {
        const partition_attempt_t *attempt = &g_array_index(outstanding, partition_attempt_t, i);
        if (attempt->partition == controller->membership.own_index)
            withdraw_locally(controller, &attempt->ref, clock_steady());
        else
            push_to_channel(controller, attempt->partition,
                            (channel_item_t){.kind = CHANNEL_WITHDRAW, .ref = attempt->ref});
    }
}

static void log_result(const attempt_result_t *result)
{
    log_debug("event=attempt_terminated task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s cause=%d",
              result->ref.job, result->ref.task, result->ref.attempt, result->machine,
              (int)result->cause);
    if (result->cause == CAUSE_ERROR || result->cause == CAUSE_NO_SUCH)
        log_info("event=attempt_failed task=%s/%u machine=%s cause=%d", result->ref.job,
                 result->ref.task, result->machine, (int)result->cause);
}

void partition_items_handle_result(controller_t *controller, guint partition,
                                   const attempt_result_t *result, msec_t now)
{
    leader_t *leader = controller->placement.leader;
    log_result(result);
    const job_t *job = leader_find_job(leader, result->ref.job);
    bool is_gang_refused = job && job->spec.kind == KIND_GANG && result->cause == CAUSE_FULL;
    leader_handle_result(leader, partition, result, now);
    if (is_gang_refused)
        withdraw_gang(controller, result->ref.job);
}

/* Reports to the leader that the partition refuses the request. If this controller is the leader,
 * the refusal is handled at once, otherwise it is sent with the next exchange. */
static void refuse_placement(controller_t *controller, const placement_request_t *request,
                             msec_t now)
{
    attempt_result_t refusal = {.ref = task_ref(request->job, request->task, request->attempt),
                                .cause = CAUSE_FULL};
    if (controller->membership.is_leader)
        partition_items_handle_result(controller, controller->membership.own_index, &refusal, now);
    else
        channel_push(controller->peers.leader_channel,
                     (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT, .result = refusal});
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
    partition_t *partition = controller->placement.partition;
    switch (item->kind) {
    case CHANNEL_PLACEMENT_REQUEST:
        handle_placement_request(controller, &item->request, now);
        break;
    case CHANNEL_ACKNOWLEDGE:
        partition_acknowledge_result(partition, &item->ref);
        controller_notify_placement(controller);
        break;
    case CHANNEL_WITHDRAW:
        withdraw_locally(controller, &item->ref, now);
        break;
    case CHANNEL_DRAIN:
        partition_set_draining(partition, item->machine, true);
        break;
    case CHANNEL_CANCEL_DRAIN:
        partition_set_draining(partition, item->machine, false);
        break;
    case CHANNEL_MACHINE_TERMINATED:
        partition_record_machine_terminated(partition, item->machine);
        controller_notify_placement(controller);
        break;
    case CHANNEL_ATTEMPT_RESULT:
        break; /* only partitions send it */
    }
}

void partition_items_send(controller_t *controller, guint partition, channel_item_t item)
{
    if (partition != controller->membership.own_index) {
        push_to_channel(controller, partition, item);
        return;
    }
    partition_items_handle(controller, &item, clock_steady());
    g_strfreev(item.request.types);
}
