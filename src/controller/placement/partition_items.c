/* What happens for each item that the leader and a partition exchange. */
#include "controller/placement/partition_items.h"

#include "io/clock.h"
#include "io/log.h"

static bool is_open_for_placement(const partition_t *partition, const machine_t *machine,
                                  msec_t now)
{
    return partition_is_reachable(partition, machine, now) && machine->is_capacity_known &&
           !machine->is_draining && !machine->interruption_at;
}

static machine_summary_t summarize_machine(const partition_t *partition, const machine_t *machine,
                                           msec_t now)
{
    machine_summary_t summary = {.spot = machine->spot,
                                 .open = is_open_for_placement(partition, machine, now),
                                 .draining = machine->is_draining,
                                 .total = machine->capacity,
                                 .free = partition_free_resources(machine),
                                 .attempts = machine->attempts->len,
                                 .silent_ms = now - machine->last_acknowledged_at,
                                 .idle_ms = now - machine->idle_since,
                                 .known_ms = now - machine->first_seen_at};
    g_strlcpy(summary.machine, machine->id, sizeof summary.machine);
    g_strlcpy(summary.type, machine->type, sizeof summary.type);
    g_strlcpy(summary.zone, machine->zone, sizeof summary.zone);
    return summary;
}

GArray *partition_items_summaries(const controller_t *controller, msec_t now)
{
    const partition_t *partition = controller->placement.partition;
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->is_terminated)
            continue;
        machine_summary_t summary = summarize_machine(partition, machine, now);
        g_array_append_val(summaries, summary);
    }
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

void partition_items_send(controller_t *controller, guint partition, channel_item_t item)
{
    GPtrArray *channels = controller->peers.channels;
    if (partition == controller->membership.own_index) {
        partition_items_handle(controller, &item, clock_steady());
        g_strfreev(item.request.types);
    } else if (partition < channels->len && g_ptr_array_index(channels, partition)) {
        channel_push(g_ptr_array_index(channels, partition), item);
        pthread_cond_broadcast(&controller->peers.item_available);
    }
}

/* One task of a gang found no machine: what the partitions hold for the others is freed. */
static void withdraw_gang(controller_t *controller, const char *job)
{
    /* Of partition_attempt_t, owned. */
    GArray *outstanding = leader_outstanding(controller->placement.leader, job);
    for (guint i = 0; i < outstanding->len; i++) {
        const partition_attempt_t *attempt = &g_array_index(outstanding, partition_attempt_t, i);
        partition_items_send(controller, attempt->partition,
                             (channel_item_t){.kind = CHANNEL_WITHDRAW, .ref = attempt->ref});
    }
    g_array_unref(outstanding);
}

static void log_result(const attempt_result_t *result)
{
    log_debug("event=attempt_terminated task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s cause=%d",
              result->ref.job, result->ref.task, result->ref.attempt, result->machine,
              (int)result->cause);
    if (result->cause == CAUSE_ERROR || result->cause == CAUSE_UNKNOWN)
        log_info("event=attempt_failed task=%s/%u machine=%s cause=%d", result->ref.job,
                 result->ref.task, result->machine, (int)result->cause);
}

void partition_items_handle_result(controller_t *controller, guint partition,
                                   const attempt_result_t *result, msec_t now)
{
    leader_t *leader = controller->placement.leader;
    log_result(result);
    const job_t *job = g_hash_table_lookup(leader->jobs, result->ref.job);
    bool is_refused_gang = job && job->spec.kind == KIND_GANG && result->cause == CAUSE_FULL;
    leader_handle_result(leader, partition, result, now);
    if (is_refused_gang)
        withdraw_gang(controller, result->ref.job);
}

/* The leader's own data get the refusal at once; another leader gets it with the next exchange. */
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
              request->task, request->attempt, machine->id);
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
        partition_acknowledge(partition, &item->ref);
        controller_notify_placement(controller);
        break;
    case CHANNEL_WITHDRAW:
        partition_withdraw(partition, &item->ref, now);
        controller_notify_placement(controller);
        break;
    case CHANNEL_DRAIN:
        partition_set_draining(partition, item->machine, true);
        break;
    case CHANNEL_CANCEL_DRAIN:
        partition_set_draining(partition, item->machine, false);
        break;
    case CHANNEL_MACHINE_TERMINATED:
        partition_machine_terminated(partition, item->machine);
        controller_notify_placement(controller);
        break;
    case CHANNEL_ATTEMPT_RESULT:
        break; /* sent by partitions only */
    }
}
