#include "copies_world.h"

#include <string.h>

#include "core/partition/partition_internal.h"

enum {
    /* An exited attempt that has left the record is forgotten in the answer to the next heartbeat,
     * or to the one after it if it left the record while that answer was on its way. */
    LISTED_MAX_COUNT = 2,
    NEWEST_COPIES_COUNT = 6
};

void world_machine_drop_heartbeat(world_machine_t *machine)
{
    if (machine->hello_phase == EXCHANGE_SENT)
        worker_heartbeat_clear(&machine->heartbeat);
    machine->hello_phase = EXCHANGE_IDLE;
}

void world_machine_drop_push(world_machine_t *machine)
{
    if (machine->push_phase == EXCHANGE_HANDLED)
        worker_heartbeat_clear(&machine->answer);
    machine->push_phase = EXCHANGE_IDLE;
    machine->push = NULL;
}

/* Checks that no start of a job is sent whose end the partition knows. */
static void check_commands(world_t *world, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        const world_job_t *job = world_find_job(world, command->job);
        if (command->op == COMMAND_RUN && (!job || job->is_end_known))
            world_fail(world, "a start of an ended job is sent", command->job);
    }
}

static bool execute_push(world_t *world, const sent_push_t *push)
{
    return fake_worker_handle_push(world->machines[push->machine].worker, push->fencing_token,
                                   push->worker_epoch, push->commands);
}

static void take_push(world_t *world)
{
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    const machine_t *taken =
        partition_take_push(world->partition, G_MAXUINT32, world->now, commands);
    if (!taken)
        return;
    check_commands(world, commands);
    sent_push_t *push = g_new0(sent_push_t, 1);
    g_ptr_array_add(world->copies, push);
    *push = (sent_push_t){.fencing_token = partition_fencing_token(world->partition, taken->id),
                          .worker_epoch = taken->worker_epoch,
                          .commands = g_array_ref(commands)};
    while (strcmp(world->machines[push->machine].worker->id, taken->id) != 0)
        push->machine++;
    world->machines[push->machine].push = push;
    world->machines[push->machine].push_phase = EXCHANGE_SENT;
}

static void finish_push(world_t *world, world_machine_t *machine, push_result_t result)
{
    const sent_push_t *push = machine->push;
    partition_finish_push(world->partition, machine->worker->id, push->commands,
                          push->fencing_token, result);
    bool is_answered = result == PUSH_EXECUTED || result == PUSH_REFUSED;
    if (is_answered &&
        partition_handle_heartbeat(world->partition, &machine->answer, true, world->now, NULL) ==
            HEARTBEAT_ACCEPTED &&
        result == PUSH_EXECUTED)
        partition_record_probe_answer(world->partition, machine->worker->id, world->now);
    if (result == PUSH_NOT_SENT)
        g_ptr_array_remove(world->copies, machine->push);
    world_machine_drop_push(machine);
}

void world_play_push(world_t *world)
{
    world_machine_t *machine = &world->machines[world_pick(world, WORLD_MACHINES)];
    guint luck = world_pick(world, 100);
    switch (machine->push_phase) {
    case EXCHANGE_IDLE:
        take_push(world);
        break;
    case EXCHANGE_SENT:
        if (luck < 10) {
            finish_push(world, machine, PUSH_NOT_SENT);
        } else if (luck < 20) {
            finish_push(world, machine, PUSH_UNANSWERED);
        } else {
            machine->is_push_refused = !execute_push(world, machine->push);
            machine->answer = fake_worker_heartbeat(machine->worker);
            machine->push_phase = EXCHANGE_HANDLED;
        }
        break;
    case EXCHANGE_HANDLED:
        if (luck < 10)
            finish_push(world, machine, PUSH_UNANSWERED);
        else
            finish_push(world, machine, machine->is_push_refused ? PUSH_REFUSED : PUSH_EXECUTED);
        break;
    }
}

void world_play_copy(world_t *world)
{
    if (world->copies->len == 0)
        return;
    /* A copy that follows soon after its push meets more states of the exchange. */
    guint newest = MIN(world->copies->len, NEWEST_COPIES_COUNT);
    guint first = world_chance(world, 60) ? world->copies->len - newest : 0;
    const sent_push_t *push =
        g_ptr_array_index(world->copies, first + world_pick(world, world->copies->len - first));
    if (world->machines[push->machine].push != push)
        world->copies_delivered += execute_push(world, push);
}

static void keep_copy(world_t *world, const worker_heartbeat_t *heartbeat)
{
    worker_heartbeat_t *copy = g_new(worker_heartbeat_t, 1);
    *copy = *heartbeat;
    copy->attempts = g_array_copy(heartbeat->attempts);
    g_ptr_array_add(world->heartbeats, copy);
}

/* The worker no longer waits for the answer. */
void world_play_heartbeat_copy(world_t *world)
{
    if (world->heartbeats->len == 0)
        return;
    const worker_heartbeat_t *copy =
        g_ptr_array_index(world->heartbeats, world_pick(world, world->heartbeats->len));
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    partition_handle_heartbeat(world->partition, copy, false, world->now, commands);
}

static void handle_heartbeat(world_t *world, world_machine_t *machine)
{
    g_array_set_size(machine->answer_commands, 0);
    heartbeat_verdict_t verdict = partition_handle_heartbeat(
        world->partition, &machine->heartbeat, false, world->now, machine->answer_commands);
    check_commands(world, machine->answer_commands);
    machine->is_answer_counted = verdict == HEARTBEAT_ACCEPTED;
    machine->answer_epoch = machine->heartbeat.worker_epoch;
    machine->answer_token = partition_fencing_token(world->partition, machine->worker->id);
    world_machine_drop_heartbeat(machine);
    if (verdict != HEARTBEAT_DUPLICATE)
        machine->hello_phase = EXCHANGE_HANDLED;
}

/* Counts the answered heartbeats that listed exited attempts which the partition does not have. */
static void count_listed(world_t *world, const world_machine_t *machine)
{
    const GArray *attempts = machine->worker->attempts;
    const machine_t *known = g_hash_table_lookup(world->partition->machines, machine->worker->id);
    for (guint i = 0; i < attempts->len; i++) {
        const reported_attempt_t *attempt = &g_array_index(attempts, reported_attempt_t, i);
        if (attempt->state != TASK_EXITED ||
            partition_find_attempt(world->partition, attempt, known))
            continue;
        char *name = world_attempt_name(attempt->job, attempt->task, attempt->attempt);
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(world->listed, name)) + 1;
        if (count > LISTED_MAX_COUNT)
            world_fail(world, "an exited attempt is not forgotten", name);
        g_hash_table_replace(world->listed, name, GUINT_TO_POINTER(count));
    }
}

static void deliver_answer(world_t *world, world_machine_t *machine)
{
    machine->hello_phase = EXCHANGE_IDLE;
    if (machine->answer_epoch != machine->worker->worker_epoch ||
        !fake_worker_handle_answer(machine->worker, machine->answer_token,
                                   machine->answer_commands))
        return;
    if (machine->is_answer_counted)
        count_listed(world, machine);
}

void world_play_heartbeat(world_t *world)
{
    world_machine_t *machine = &world->machines[world_pick(world, WORLD_MACHINES)];
    bool is_lost = world_chance(world, 4);
    switch (machine->hello_phase) {
    case EXCHANGE_IDLE:
        machine->heartbeat = fake_worker_heartbeat(machine->worker);
        keep_copy(world, &machine->heartbeat);
        machine->hello_phase = EXCHANGE_SENT;
        break;
    case EXCHANGE_SENT:
        if (is_lost)
            world_machine_drop_heartbeat(machine);
        else
            handle_heartbeat(world, machine);
        break;
    case EXCHANGE_HANDLED:
        if (is_lost)
            machine->hello_phase = EXCHANGE_IDLE;
        else
            deliver_answer(world, machine);
        break;
    }
}
