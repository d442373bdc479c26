/* Heartbeats: what one of them is worth, and what follows from it. */
#include "core/partition/partition_internal.h"

#include <string.h>

static void handle_worker_epoch(partition_t *partition, machine_t *machine,
                                const worker_heartbeat_t *heartbeat)
{
    if (heartbeat->worker_epoch <= machine->worker_epoch && machine->worker_epoch)
        return;
    /* The worker killed and forgot all of its earlier epochs, and commands of those are refused
     * there: proof for every attempt recorded under them. A placed one has not been sent. */
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->worker_epoch < heartbeat->worker_epoch)
            partition_terminate_attempt(partition, attempt, CAUSE_NONE);
    }
    machine->worker_epoch = heartbeat->worker_epoch;
    machine->unanswered_fencing_token = 0;
    machine->booked = (resources_t){0};
}

static void take_identity(partition_t *partition, machine_t *machine,
                          const worker_heartbeat_t *heartbeat)
{
    if (machine->has_responded && strcmp(machine->address, heartbeat->address) == 0)
        return;
    g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
    g_strlcpy(machine->type, heartbeat->type, sizeof machine->type);
    machine->spot = heartbeat->spot;
    partition_look_up_capacity(partition, machine);
}

/* A task that runs has its image: the machine will not fetch that one again soon. */
static void take_image(machine_t *machine, const attempt_t *attempt)
{
    if (!g_hash_table_contains(machine->images, attempt->entry.image))
        g_hash_table_add(machine->images, g_strdup(attempt->entry.image));
}

static void take_attempts(partition_t *partition, machine_t *machine,
                          const worker_heartbeat_t *heartbeat, msec_t now)
{
    resources_t booked = {0};
    resources_t grown = {0};
    machine->starting = machine->running = 0;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        attempt->is_listed = attempt->is_listed && attempt->phase == ATTEMPT_TERMINATED;
    }
    for (guint i = 0; i < heartbeat->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(heartbeat->attempts, reported_attempt_t, i);
        attempt_t *attempt = partition_find_attempt(partition, reported_attempt, machine);
        if (!attempt || attempt->phase == ATTEMPT_TERMINATED)
            continue;
        attempt->is_listed = true;
        attempt->state = reported_attempt->state;
        if (reported_attempt->state == TASK_EXITED) {
            partition_terminate_attempt(partition, attempt, reported_attempt->cause);
            continue;
        }
        if (reported_attempt->state == TASK_FETCHING)
            machine->starting++;
        else
            take_image(machine, attempt);
        machine->running += reported_attempt->state != TASK_FETCHING;
        resources_add(&booked, attempt->entry.need, 1);
        if (!attempt->listed_since_at) {
            attempt->listed_since_at = now;
            resources_add(&grown, attempt->entry.need, 1);
        }
        if (reported_attempt->state == TASK_FETCHING)
            reservation_record_start(machine->reservations, attempt->reservation_id,
                                     machine->receipt_count);
        else
            reservation_free(machine->reservations, attempt->reservation_id);
    }
    /* Growth is counted by the tasks newly listed, so that one that ended meanwhile hides none. */
    reservation_confirm(machine->reservations, grown, machine->receipt_count);
    machine->booked = booked;
}

/* Whether no `run` of ours that the worker has not executed can still be executed there: it has
 * seen this view's fencing token, no pushed command is under way, and none went unanswered under a
 * fencing token as high as the one it has seen. Commands in answers to heartbeats need no more
 * care: this heartbeat was sent after the answer to the one before arrived or was given up. That
 * holds for ordinary heartbeats only; the answer to a pushed command may overtake what an earlier
 * heartbeat's answer carries. */
static bool nothing_under_way(const partition_t *partition, const machine_t *machine,
                              const worker_heartbeat_t *heartbeat)
{
    return heartbeat->fencing_token >= partition->view && !machine->is_push_in_flight &&
           machine->unanswered_fencing_token < heartbeat->fencing_token;
}

static void prove_absent(partition_t *partition, machine_t *machine,
                         const worker_heartbeat_t *heartbeat)
{
    if (!nothing_under_way(partition, machine, heartbeat))
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->is_stop_requested && !attempt->is_listed)
            partition_terminate_attempt(partition, attempt, CAUSE_STOPPED);
    }
}

static void answer_unknown(partition_t *partition, machine_t *machine,
                           const worker_heartbeat_t *heartbeat, GArray *commands)
{
    /* `forget` ends the worker's memory of an attempt, after which a late copy of its `run` would
     * start it anew. So it goes out only in an ordinary answer, to a heartbeat that lists the exit,
     * and while no copy is under way. */
    bool may_forget = nothing_under_way(partition, machine, heartbeat);
    for (guint i = 0; i < heartbeat->attempts->len; i++) {
        const reported_attempt_t *reported_attempt =
            &g_array_index(heartbeat->attempts, reported_attempt_t, i);
        if (partition_find_attempt(partition, reported_attempt, machine))
            continue;
        if (reported_attempt->state != TASK_EXITED)
            partition_command_add(commands, COMMAND_STOP, reported_attempt->job,
                                  reported_attempt->task, reported_attempt->attempt, 0);
        else if (may_forget)
            partition_command_add(commands, COMMAND_FORGET, reported_attempt->job,
                                  reported_attempt->task, reported_attempt->attempt, 0);
    }
}

/* What a heartbeat is worth by its order alone. A copy may come seconds to minutes late, here or at
 * a controller that never saw the original: it must not rewind, prove, confirm or keep anything
 * alive. Within what this partition has seen, the worker's numbers tell. For a first heartbeat
 * there is nothing to compare with, but one that bears this view's fencing token was sent in this
 * view. */
static heartbeat_verdict_t judge_heartbeat(partition_t *partition, machine_t *machine,
                                           const worker_heartbeat_t *heartbeat, bool is_push)
{
    if (machine->is_terminated || heartbeat->worker_epoch < machine->worker_epoch)
        return HEARTBEAT_DUPLICATE;
    if (!is_push && !machine->has_heartbeat && heartbeat->fencing_token < partition->view)
        return HEARTBEAT_UNVERIFIED;
    if (!machine->has_responded || heartbeat->worker_epoch > machine->worker_epoch)
        return HEARTBEAT_ACCEPTED;
    if (!is_push && heartbeat->heartbeat_sequence <= machine->last_accepted_sequence)
        return HEARTBEAT_DUPLICATE;
    return heartbeat->heartbeat_sequence <= machine->heartbeat_sequence ? HEARTBEAT_OUT_OF_ORDER
                                                                        : HEARTBEAT_ACCEPTED;
}

/* An ordinary heartbeat came in its turn: what does it show about our answers? */
static void record_acknowledgement(machine_t *machine, const worker_heartbeat_t *heartbeat,
                                   msec_t now)
{
    bool follows = now - machine->last_heartbeat_at < HEARTBEAT_ANSWERED_WITHIN_MS;
    if (follows || !machine->has_heartbeat) {
        machine->has_heartbeat = true;
        machine->last_acknowledged_at = now;
        machine->is_push_failing = false;
    }
    machine->last_heartbeat_at = now;
    machine->last_accepted_sequence = heartbeat->heartbeat_sequence;
}

/* Whether starts may be sent there, as far as the machine goes. */
static bool takes_starts(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return partition_is_reachable(partition, machine, now) && !machine->interruption_at;
}

heartbeat_verdict_t partition_handle_heartbeat(partition_t *partition,
                                               const worker_heartbeat_t *heartbeat, bool is_push,
                                               msec_t now, GArray *commands)
{
    /* A late copy would bring a machine that is gone back to life, with all its resources free. */
    if (g_hash_table_contains(partition->terminated_machines, heartbeat->machine))
        return HEARTBEAT_DUPLICATE;
    machine_t *machine = g_hash_table_lookup(partition->machines, heartbeat->machine);
    if (!machine)
        machine = partition_machine_add(partition, heartbeat->machine, heartbeat->zone, NULL, now);
    heartbeat_verdict_t verdict = judge_heartbeat(partition, machine, heartbeat, is_push);
    if (verdict == HEARTBEAT_OUT_OF_ORDER && !is_push)
        record_acknowledgement(machine, heartbeat, now);
    if (verdict != HEARTBEAT_ACCEPTED)
        return verdict;
    bool took_starts = takes_starts(partition, machine, now);
    take_identity(partition, machine, heartbeat);
    handle_worker_epoch(partition, machine, heartbeat);
    machine->heartbeat_sequence = heartbeat->heartbeat_sequence;
    machine->fencing_token = heartbeat->fencing_token;
    machine->receipt_count++;
    machine->interruption_at = heartbeat->interruption_in_s >= 0
                                   ? MAX(now + (msec_t)(heartbeat->interruption_in_s * MS_PER_S), 1)
                                   : 0;
    take_attempts(partition, machine, heartbeat, now);
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->waits_for_preempted && attempt->phase == ATTEMPT_RECORDED &&
            !attempt->is_listed)
            partition_queue_push(partition, machine);
    }
    if (!is_push) {
        record_acknowledgement(machine, heartbeat, now);
        machine->has_responded = true;
        prove_absent(partition, machine, heartbeat);
        partition_wanted_commands(partition, machine, now, commands);
        answer_unknown(partition, machine, heartbeat, commands);
    }
    if (machine->attempts->len)
        machine->idle_since = now;
    partition->changes += takes_starts(partition, machine, now) != took_starts;
    return HEARTBEAT_ACCEPTED;
}

/* Only where it has not spoken yet: the lease of a machine that answers commands, but gets no
 * answers to its heartbeats, ends all the same. */
void partition_record_probe_answer(partition_t *partition, const char *id, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->has_responded)
        return;
    machine->has_responded = true;
    machine->last_acknowledged_at = now;
    partition->changes++;
    partition_queue_push(partition, machine); /* starts that were recorded and perhaps not sent */
}

void partition_record_unanswered_heartbeat(partition_t *partition,
                                           const worker_heartbeat_t *heartbeat, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, heartbeat->machine);
    if (!machine || heartbeat->worker_epoch < machine->worker_epoch ||
        (heartbeat->worker_epoch == machine->worker_epoch &&
         heartbeat->heartbeat_sequence <= machine->last_accepted_sequence))
        return;
    machine->last_acknowledged_at = machine->last_heartbeat_at = now;
}
