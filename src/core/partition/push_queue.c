#include "core/partition/commands_internal.h"
#include "core/partition/partition_internal.h"
#include "core/partition/push_queue_internal.h"
#include "core/partition/pushed_commands.h"

void partition_queue_push(partition_t *partition, machine_t *machine)
{
    if (!machine->is_push_queued)
        g_queue_push_tail(partition->push_queue, machine);
    machine->is_push_queued = true;
}

void partition_pause_starts(partition_t *partition, bool are_starts_paused)
{
    partition->are_starts_paused = are_starts_paused;
}

static bool is_probe_needed(const machine_t *machine)
{
    return machine->needs_probe && !machine->has_responded;
}

/* Some probes hang until they time out, so at most half of the dispatchers send probes. The others
 * stay free for machines that have responded. */
static bool is_probe_due(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return partition->probes_in_flight < DISPATCHERS_COUNT / 2 &&
           now - machine->first_seen_at >= partition->probe_delay_ms;
}

static bool is_push_due(const partition_t *partition, const machine_t *machine, msec_t now)
{
    if (machine->is_push_in_flight)
        return false;
    if (is_probe_needed(machine))
        return is_probe_due(partition, machine, now);
    return partition_is_reachable(partition, machine, now);
}

/* Begins the push and appends its commands. Returns false if there is nothing to send. */
static bool begin_push(partition_t *partition, machine_t *machine, msec_t now, GArray *commands)
{
    machine->is_push_in_flight = true;
    if (is_probe_needed(machine)) {
        partition->probes_in_flight++;
        return true;
    }
    machine->needs_probe = false;
    commands_append_for_desired_state(partition, machine, now, commands);
    machine->is_push_in_flight = commands->len > 0;
    return machine->is_push_in_flight;
}

static bool is_served_by(const machine_t *machine, uint32_t dispatchers)
{
    return dispatchers >> machine->dispatcher_index & 1;
}

machine_t *partition_take_push(partition_t *partition, uint32_t dispatchers, msec_t now,
                               GArray *commands)
{
    GList *next = NULL;
    for (GList *item = partition->push_queue->head; item; item = next) {
        machine_t *machine = item->data;
        next = item->next;
        if (!is_served_by(machine, dispatchers) || !is_push_due(partition, machine, now))
            continue;
        g_queue_delete_link(partition->push_queue, item);
        machine->is_push_queued = false;
        if (begin_push(partition, machine, now, commands))
            return machine;
    }
    return NULL;
}

uint32_t partition_due_dispatchers(const partition_t *partition, msec_t now)
{
    uint32_t dispatchers = 0;
    for (const GList *item = partition->push_queue->head; item; item = item->next) {
        const machine_t *machine = item->data;
        if (is_push_due(partition, machine, now))
            dispatchers |= 1U << machine->dispatcher_index;
    }
    return dispatchers;
}

static bool has_run(const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++)
        if (g_array_index(commands, worker_command_t, i).op == COMMAND_RUN)
            return true;
    return false;
}

void partition_finish_push(partition_t *partition, const char *id, const GArray *commands,
                           uint64_t fencing_token, push_result_t result)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (commands->len == 0)
        partition->probes_in_flight--;
    if (!machine)
        return;
    machine->is_push_in_flight = false;
    if (result == PUSH_DISCARDED) {
        partition_queue_push(partition, machine);
        return;
    }
    machine->needs_probe = false;
    machine->is_push_failing = result == PUSH_UNANSWERED || result == PUSH_NOT_SENT;
    if (result == PUSH_UNANSWERED && has_run(commands))
        machine->unanswered_fencing_token = MAX(machine->unanswered_fencing_token, fencing_token);
    /* The machine's token was raised while the push was in flight. */
    if (result == PUSH_REFUSED && fencing_token < machine->fencing_token)
        partition_queue_push(partition, machine);
}

bool partition_needs_new_view(const partition_t *partition)
{
    return partition->needs_new_view;
}
