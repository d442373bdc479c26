/* A node's partition and the leader's data: the items that they exchange. */
#include "app/node.h"

#include "io/clock.h"
#include "log.h"

GArray *node_summaries(const node_t *node, msec_t now)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->is_terminated)
            continue;
        machine_summary_t summary = {.spot = machine->spot,
                                     .open =
                                         partition_is_reachable(node->partition, machine, now) &&
                                         machine->is_capacity_known && !machine->is_draining &&
                                         !machine->interruption_at,
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
        g_array_append_val(summaries, summary);
    }
    return summaries;
}

GArray *node_cpus_being_preempted(const node_t *node)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < node->settings->teams->len; i++) {
        double cpus = partition_cpus_being_preempted(
            node->partition, g_array_index(node->settings->teams, team_t, i).name);
        g_array_append_val(list, cpus);
    }
    return list;
}

void node_send(node_t *node, guint partition, channel_item_t item)
{
    if (partition == node->own_index) {
        node_handle_item(node, &item, clock_steady());
        g_strfreev(item.request.types);
    } else if (partition < node->channels->len && g_ptr_array_index(node->channels, partition)) {
        channel_push(g_ptr_array_index(node->channels, partition), item);
        pthread_cond_broadcast(&node->peer_work);
    }
}

/* A gang's task found no room: what its partition holds for the others is freed. */
static void withdraw_gang(node_t *node, const char *job)
{
    GArray *outstanding = leader_outstanding(node->leader, job);
    for (guint i = 0; i < outstanding->len; i++) {
        const partition_attempt_t *entry = &g_array_index(outstanding, partition_attempt_t, i);
        node_send(node, entry->partition,
                  (channel_item_t){.kind = CHANNEL_WITHDRAW, .ref = entry->ref});
    }
    g_array_unref(outstanding);
}

void node_handle_result(node_t *node, guint partition, const attempt_result_t *result, msec_t now)
{
    log_debug("event=attempt_terminated task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s cause=%d",
              result->ref.job, result->ref.task, result->ref.attempt, result->machine,
              (int)result->cause);
    if (result->cause == CAUSE_ERROR || result->cause == CAUSE_UNKNOWN)
        log_info("event=attempt_failed task=%s/%u machine=%s cause=%d", result->ref.job,
                 result->ref.task, result->machine, (int)result->cause);
    const job_t *job = g_hash_table_lookup(node->leader->jobs, result->ref.job);
    bool refused = job && job->spec.kind == KIND_GANG && result->cause == CAUSE_FULL;
    leader_handle_result(node->leader, partition, result, now);
    if (refused)
        withdraw_gang(node, result->ref.job);
}

/* The leader itself hears at once; another's results wait for the exchange. */
static void refuse_placement(node_t *node, const placement_request_t *request, msec_t now)
{
    attempt_result_t refused = {.ref = task_ref(request->job, request->task, request->attempt),
                                .cause = CAUSE_FULL};
    if (node->is_leader)
        node_handle_result(node, node->own_index, &refused, now);
    else
        channel_push(node->leader_channel,
                     (channel_item_t){.kind = CHANNEL_ATTEMPT_RESULT, .result = refused});
}

static void handle_placement_request(node_t *node, const placement_request_t *request, msec_t now)
{
    const machine_t *machine = partition_place(node->partition, request, now);
    metrics_count(node->metrics, machine ? COUNT_PLACEMENTS : COUNT_PLACEMENTS_REFUSED, 1);
    if (!machine) {
        refuse_placement(node, request, now);
        return;
    }
    log_debug("event=task_placed task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", request->job,
              request->task, request->attempt, machine->id);
    node_notify_placement(node);
}

void node_handle_item(node_t *node, const channel_item_t *item, msec_t now)
{
    switch (item->kind) {
    case CHANNEL_PLACEMENT_REQUEST:
        handle_placement_request(node, &item->request, now);
        break;
    case CHANNEL_ACKNOWLEDGE:
        partition_acknowledge(node->partition, &item->ref);
        node_notify_placement(node);
        break;
    case CHANNEL_WITHDRAW:
        partition_withdraw(node->partition, &item->ref, now);
        node_notify_placement(node);
        break;
    case CHANNEL_DRAIN:
        partition_set_draining(node->partition, item->machine, true);
        break;
    case CHANNEL_CANCEL_DRAIN:
        partition_set_draining(node->partition, item->machine, false);
        break;
    case CHANNEL_MACHINE_TERMINATED:
        partition_machine_terminated(node->partition, item->machine);
        node_notify_placement(node);
        break;
    case CHANNEL_ATTEMPT_RESULT:
        break; /* never said by a leader */
    }
}
