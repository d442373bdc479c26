/* Commands to workers: which ones bring a machine to what is wanted, and whose turn it is to get
 * them directly. */
#include "core/partition/partition_internal.h"

void partition_queue_push(partition_t *partition, machine_t *machine)
{
    if (!machine->is_push_queued)
        g_queue_push_tail(partition->push_queue, machine);
    machine->is_push_queued = true;
}

void partition_command_add(GArray *commands, worker_command_op_t op, const char *job, uint32_t task,
                           uint64_t number, double grace_s)
{
    worker_command_t command = {.op = op, .task = task, .attempt = number, .grace_s = grace_s};
    g_strlcpy(command.job, job, sizeof command.job);
    g_array_append_val(commands, command);
}

static double stop_grace(const attempt_t *attempt, msec_t now)
{
    /* A task without checkpoints has nothing to save; one that is already saving is cut off only
     * when its time is over. */
    if (attempt->entry.checkpoint_s <= 0 || attempt->kill_at <= now)
        return 0;
    return (double)(attempt->kill_at - now) / MS_PER_S;
}

/* Resources free on the machine once the stops that give no time have been executed. */
static resources_t resources_after_stops(const machine_t *machine, msec_t now)
{
    resources_t resources = machine->capacity;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->is_listed &&
            !(attempt->is_stop_requested && stop_grace(attempt, now) <= 0))
            resources_add(&resources, attempt->entry.need, -1);
    }
    return resources;
}

static bool is_sent_here(const machine_t *machine, const attempt_t *attempt)
{
    return attempt->phase == ATTEMPT_RECORDED && attempt->is_in_record &&
           attempt->worker_epoch == machine->worker_epoch;
}

void partition_wanted_commands(const partition_t *partition, const machine_t *machine, msec_t now,
                               GArray *commands)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        const record_entry_t *entry = &attempt->entry;
        if (!is_sent_here(machine, attempt) || !attempt->is_stop_requested || !attempt->is_listed)
            continue;
        double grace = stop_grace(attempt, now);
        if (attempt->state != TASK_SAVING || grace <= 0)
            partition_command_add(commands, COMMAND_STOP, entry->job, entry->task, entry->attempt,
                                  grace);
    }
    resources_t resources = resources_after_stops(machine, now);
    for (guint i = 0; !partition->are_starts_paused && i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        const record_entry_t *entry = &attempt->entry;
        if (!is_sent_here(machine, attempt) || attempt->is_stop_requested || attempt->is_listed)
            continue;
        if (attempt->waits_for_preempted && !resources_fit(entry->need, resources))
            continue;
        resources_add(&resources, entry->need, -1);
        partition_command_add(commands, COMMAND_RUN, entry->job, entry->task, entry->attempt, 0);
    }
}

void partition_pause_starts(partition_t *partition, bool pause)
{
    partition->are_starts_paused = pause;
}

/* Whether the machine's turn has come; commands: what to send. Some probes hang, and must leave
 * dispatchers for the live. */
static bool take_push(partition_t *partition, machine_t *machine, msec_t now, GArray *commands)
{
    machine->is_push_in_flight = true;
    if (machine->needs_probe && !machine->has_responded) {
        partition->probes_in_flight++;
        return true;
    }
    machine->needs_probe = false;
    partition_wanted_commands(partition, machine, now, commands);
    machine->is_push_in_flight = commands->len > 0;
    return machine->is_push_in_flight;
}

/* Whether the machine's turn may come now. */
static bool is_push_due(const partition_t *partition, const machine_t *machine, msec_t now)
{
    bool probe = machine->needs_probe && !machine->has_responded;
    if (machine->is_push_in_flight)
        return false;
    return probe ? partition->probes_in_flight < DISPATCHERS_COUNT / 2 &&
                       now - machine->first_seen_at >= partition->probe_delay
                 : partition_is_reachable(partition, machine, now);
}

machine_t *partition_take_push(partition_t *partition, uint32_t dispatchers, msec_t now,
                               GArray *commands)
{
    for (GList *at = partition->push_queue->head, *next; at; at = next) {
        machine_t *machine = at->data;
        next = at->next;
        if (!(dispatchers >> machine->dispatcher_index & 1) ||
            !is_push_due(partition, machine, now))
            continue;
        g_queue_delete_link(partition->push_queue, at);
        machine->is_push_queued = false;
        if (take_push(partition, machine, now, commands))
            return machine;
    }
    return NULL;
}

uint32_t partition_due_dispatchers(const partition_t *partition, msec_t now)
{
    uint32_t dispatchers = 0;
    for (const GList *at = partition->push_queue->head; at; at = at->next) {
        const machine_t *machine = at->data;
        if (is_push_due(partition, machine, now))
            dispatchers |= 1U << machine->dispatcher_index;
    }
    return dispatchers;
}

void partition_finish_push(partition_t *partition, const char *id, const GArray *commands,
                           uint64_t fencing_token, push_result_t result)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    partition->probes_in_flight -= commands->len == 0;
    if (!machine)
        return;
    machine->is_push_in_flight = false;
    if (result == PUSH_DISCARDED) {
        partition_queue_push(partition, machine);
        return;
    }
    machine->needs_probe = false;
    machine->is_push_failing = result == PUSH_UNANSWERED || result == PUSH_NOT_SENT;
    for (guint i = 0; result == PUSH_UNANSWERED && i < commands->len; i++)
        if (g_array_index(commands, worker_command_t, i).op == COMMAND_RUN)
            machine->unanswered_fencing_token =
                MAX(machine->unanswered_fencing_token, fencing_token);
}

bool partition_needs_new_fencing_token(const partition_t *partition)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const machine_t *machine = value;
        if (machine->unanswered_fencing_token >= partition->view && machine->has_responded)
            return true;
    }
    return false;
}
