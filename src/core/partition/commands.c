#include "core/partition/commands_internal.h"
#include "core/partition/partition_internal.h"

void commands_append(GArray *commands, worker_command_op_t op, command_reason_t reason,
                     const task_ref_t *ref, double grace_s)
{
    worker_command_t command = {
        .op = op, .task = ref->task, .attempt = ref->attempt, .grace_s = grace_s, .reason = reason};
    g_strlcpy(command.job, ref->job, sizeof command.job);
    g_array_append_val(commands, command);
}

/* Returns the time in seconds that a stop command at `now` gives the task to save. */
static double stop_grace_s(const attempt_t *attempt, msec_t now)
{
    /* A task without checkpoints has nothing to save. */
    if (attempt->entry.checkpoint_s <= 0 || attempt->kill_at <= now)
        return 0;
    return (double)(attempt->kill_at - now) / MS_PER_S;
}

/* Returns whether commands for the attempt may be sent: it is recorded under the machine's current
 * worker epoch and is not proven to be over. */
static bool may_send_commands(const machine_t *machine, const attempt_t *attempt)
{
    return attempt->phase == ATTEMPT_RECORDED && attempt->is_in_record &&
           attempt->worker_epoch == machine->worker_epoch;
}

static void append_stops(const machine_t *machine, msec_t now, GArray *commands)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = machine_attempt(machine, i);
        if (!may_send_commands(machine, attempt) || !attempt->is_stop_requested ||
            !attempt->is_listed)
            continue;
        double grace_s = stop_grace_s(attempt, now);
        /* A task that is already saving gets another stop only when its time to save is over. */

        if (attempt->state != TASK_SAVING || grace_s <= 0)
            commands_append(commands, COMMAND_STOP, REASON_STOP_REQUESTED, &attempt->ref, grace_s);
    }
}

/* Returns whether the attempt still holds its resources after the stops without a grace period are
 * executed. */
static bool holds_resources_after_stops(const attempt_t *attempt, msec_t now)
{
    bool is_killed_at_once = attempt->is_stop_requested && stop_grace_s(attempt, now) <= 0;
    return attempt->phase == ATTEMPT_RECORDED && attempt->is_listed && !is_killed_at_once;
}

static resources_t resources_after_stops(const machine_t *machine, msec_t now)
{
    resources_t resources = machine->capacity;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = machine_attempt(machine, i);
        if (holds_resources_after_stops(attempt, now))
            resources_add(&resources, attempt->entry.need, -1);
    }
    return resources;
}

static void append_runs(const machine_t *machine, msec_t now, GArray *commands)
{
    resources_t resources = resources_after_stops(machine, now);
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = machine_attempt(machine, i);
        const record_entry_t *entry = &attempt->entry;
        if (!may_send_commands(machine, attempt) || attempt->is_stop_requested ||
            attempt->is_listed)
            continue;
        if (attempt->waits_for_preempted && !resources_fit(entry->need, resources))
            continue;
        resources_add(&resources, entry->need, -1);
        commands_append(commands, COMMAND_RUN, REASON_RECORDED, &attempt->ref, 0);
    }
}

void commands_append_for_desired_state(const partition_t *partition, const machine_t *machine,
                                       msec_t now, GArray *commands)
{
    append_stops(machine, now, commands);
    if (!partition->are_starts_paused)
        append_runs(machine, now, commands);
}
