#include "core/partition/commands_internal.h"
#include "core/partition/partition_heartbeats.h"
#include "core/partition/partition_internal.h"
#include "core/partition/push_queue_internal.h"

#include <string.h>

static void update_worker_epoch(partition_t *partition, machine_t *machine,
                                const worker_heartbeat_t *heartbeat)
{
    if (heartbeat->worker_epoch <= machine->worker_epoch && machine->worker_epoch)
        return;
    /* The worker killed and forgot everything of its earlier epochs, and commands of those are
     * refused there: proof for every attempt recorded under them. A placed one has not been sent.
     */
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (attempt->worker_epoch < heartbeat->worker_epoch)
            partition_terminate_attempt(partition, attempt, CAUSE_NONE);
    }
    machine->worker_epoch = heartbeat->worker_epoch;
    machine->unanswered_fencing_token = 0;
    machine->booked = (resources_t){0};
}

static void update_identity(partition_t *partition, machine_t *machine,
                            const worker_heartbeat_t *heartbeat)
{
    if (machine->has_responded && strcmp(machine->address, heartbeat->address) == 0)
        return;
    g_strlcpy(machine->address, heartbeat->address, sizeof machine->address);
    g_strlcpy(machine->type, heartbeat->type, sizeof machine->type);
    machine->is_spot = heartbeat->is_spot;
    partition_look_up_capacity(partition, machine);
}

static msec_t interruption_time(const worker_heartbeat_t *heartbeat, msec_t now)
{
    if (heartbeat->interruption_in_s < 0)
        return 0;
    return MAX(now + (msec_t)(heartbeat->interruption_in_s * MS_PER_S), 1);
}

/* A task that runs has its image: the machine will not fetch that one again soon. */
static void record_image(machine_t *machine, const attempt_t *attempt)
{
    if (!g_hash_table_contains(machine->images, attempt->entry.image))
        g_hash_table_add(machine->images, g_strdup(attempt->entry.image));
}

/* Resources of the attempts that one heartbeat lists. */
typedef struct listed_resources {
    resources_t booked;
    resources_t growth; /* of attempts that no heartbeat listed before */
} listed_resources_t;

static void reset_listed_attempts(machine_t *machine)
{
    machine->starting = 0;
    machine->running = 0;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        attempt->is_listed = attempt->is_listed && attempt->phase == ATTEMPT_TERMINATED;
    }
}

static void count_listed_attempt(machine_t *machine, const attempt_t *attempt)
{
    if (attempt->state == TASK_FETCHING) {
        machine->starting++;
        reservation_record_start(machine->reservations, attempt->reservation_id,
                                 machine->receipt_count);
    } else {
        machine->running++;
        record_image(machine, attempt);
        reservation_remove(machine->reservations, attempt->reservation_id);
    }
}

static void apply_listed_attempt(partition_t *partition, machine_t *machine,
                                 const reported_attempt_t *reported_attempt, msec_t now,
                                 listed_resources_t *resources)
{
    attempt_t *attempt = partition_find_attempt(partition, reported_attempt, machine);
    if (!attempt || attempt->phase == ATTEMPT_TERMINATED)
        return;
    attempt->is_listed = true;
    attempt->state = reported_attempt->state;
    if (attempt->state == TASK_EXITED) {
        partition_terminate_attempt(partition, attempt, reported_attempt->cause);
        return;
    }
    count_listed_attempt(machine, attempt);
    resources_add(&resources->booked, attempt->entry.need, 1);
    if (!attempt->listed_since_at) {
        attempt->listed_since_at = now;
        resources_add(&resources->growth, attempt->entry.need, 1);
    }
}

static void apply_listed_attempts(partition_t *partition, machine_t *machine,
                                  const worker_heartbeat_t *heartbeat, msec_t now)
{
    listed_resources_t resources = {0};
    reset_listed_attempts(machine);
    for (guint i = 0; i < heartbeat->attempts->len; i++)
        apply_listed_attempt(partition, machine,
                             &g_array_index(heartbeat->attempts, reported_attempt_t, i), now,
                             &resources);
    /* Growth is counted by the attempts newly listed, so that one that ended meanwhile hides none.
     */
    reservation_confirm(machine->reservations, resources.growth, machine->receipt_count);
    machine->booked = resources.booked;
}

/* Whether a `run` sent to the worker may still be executed there after it sent this heartbeat.
 *
 * None can if the worker had seen this view's fencing token, no pushed command is in flight, and no
 * pushed `run` went unanswered under a fencing token as high as the one that the worker had seen.
 * Commands in answers to heartbeats need no more care: the worker sent this heartbeat after the
 * answer to the one before arrived or was given up. That holds for ordinary heartbeats only; the
 * answer to a pushed command may overtake what an earlier heartbeat's answer carries. */
static bool is_run_in_flight(const partition_t *partition, const machine_t *machine,
                             const worker_heartbeat_t *heartbeat)
{
    return heartbeat->fencing_token < partition->view || machine->is_push_in_flight ||
           machine->unanswered_fencing_token >= heartbeat->fencing_token;
}

/* Attempts that are to stop, and that an ordinary heartbeat does not list, are over. */
static void terminate_absent_attempts(partition_t *partition, machine_t *machine,
                                      const worker_heartbeat_t *heartbeat)
{
    if (is_run_in_flight(partition, machine, heartbeat))
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (attempt->phase == ATTEMPT_RECORDED && attempt->is_stop_requested && !attempt->is_listed)
            partition_terminate_attempt(partition, attempt, CAUSE_STOPPED);
    }
}

/* Appends the commands for listed attempts that the record does not hold.
 *
 * `forget` ends the worker's memory of an attempt, after which a late copy of its `run` would start
 * it anew. So it is sent only in the answer to an ordinary heartbeat that lists the exit, and while
 * no copy is in flight. */
static void command_unknown_attempts(partition_t *partition, machine_t *machine,
                                     const worker_heartbeat_t *heartbeat, GArray *commands)
{
    bool may_forget = !is_run_in_flight(partition, machine, heartbeat);
    for (guint i = 0; i < heartbeat->attempts->len; i++) {
        const reported_attempt_t *listed =
            &g_array_index(heartbeat->attempts, reported_attempt_t, i);
        if (partition_find_attempt(partition, listed, machine))
            continue;
        if (listed->state != TASK_EXITED)
            commands_append(commands, COMMAND_STOP, listed->job, listed->task, listed->attempt, 0);
        else if (may_forget)
            commands_append(commands, COMMAND_FORGET, listed->job, listed->task, listed->attempt,
                            0);
    }
}

/* The verdict on a heartbeat, by its order alone. A copy may come seconds to minutes late, here or
 * at a controller that never received the original: it must not rewind, prove, confirm or keep
 * anything alive. Against what this partition has received, worker epoch and sequence number
 * decide. For a first heartbeat there is nothing to compare with, but one that bears this view's
 * fencing token was sent in this view. */
static heartbeat_verdict_t judge_heartbeat(const partition_t *partition, const machine_t *machine,
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
    if (heartbeat->heartbeat_sequence <= machine->heartbeat_sequence)
        return HEARTBEAT_OUT_OF_ORDER;
    return HEARTBEAT_ACCEPTED;
}

/* Records an ordinary heartbeat that is newer than those before. One that follows the last within
 * the time that a worker waits for an answer shows that the answer arrived. */
static void record_acknowledgement(machine_t *machine, const worker_heartbeat_t *heartbeat,
                                   msec_t now)
{
    bool is_answer_received = now - machine->last_heartbeat_at < HEARTBEAT_ANSWERED_WITHIN_MS;
    if (is_answer_received || !machine->has_heartbeat) {
        machine->has_heartbeat = true;
        machine->last_acknowledged_at = now;
        machine->is_push_failing = false;
    }
    machine->last_heartbeat_at = now;
    machine->last_accepted_sequence = heartbeat->heartbeat_sequence;
}

/* Whether starts may be sent to the machine, whatever its type and drain. */
static bool may_send_starts(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return partition_is_reachable(partition, machine, now) && !machine->interruption_at;
}

/* Recorded starts that wait for preempted attempts may have the resources now. */
static void queue_waiting_starts(partition_t *partition, machine_t *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const attempt_t *attempt = machine_attempt(machine, i);
        if (attempt->waits_for_preempted && attempt->phase == ATTEMPT_RECORDED &&
            !attempt->is_listed)
            partition_queue_push(partition, machine);
    }
}

static void answer_heartbeat(partition_t *partition, machine_t *machine,
                             const worker_heartbeat_t *heartbeat, msec_t now, GArray *commands)
{
    record_acknowledgement(machine, heartbeat, now);
    machine->has_responded = true;
    terminate_absent_attempts(partition, machine, heartbeat);
    commands_append_wanted(partition, machine, now, commands);
    command_unknown_attempts(partition, machine, heartbeat, commands);
}

static void apply_heartbeat(partition_t *partition, machine_t *machine,
                            const worker_heartbeat_t *heartbeat, bool is_push, msec_t now,
                            GArray *commands)
{
    bool could_send_starts = may_send_starts(partition, machine, now);
    update_identity(partition, machine, heartbeat);
    update_worker_epoch(partition, machine, heartbeat);
    machine->heartbeat_sequence = heartbeat->heartbeat_sequence;
    machine->receipt_count++;
    machine->interruption_at = interruption_time(heartbeat, now);
    apply_listed_attempts(partition, machine, heartbeat, now);
    queue_waiting_starts(partition, machine);
    if (!is_push)
        answer_heartbeat(partition, machine, heartbeat, now, commands);
    if (machine->attempts->len)
        machine->idle_since_at = now;
    if (may_send_starts(partition, machine, now) != could_send_starts)
        partition->change_count++;
}

heartbeat_verdict_t partition_handle_heartbeat(partition_t *partition,
                                               const worker_heartbeat_t *heartbeat, bool is_push,
                                               msec_t now, GArray *commands)
{
    /* A late copy would bring back a machine that is terminated, with all its resources free. */
    if (g_hash_table_contains(partition->terminated_machines, heartbeat->machine))
        return HEARTBEAT_DUPLICATE;
    machine_t *machine = g_hash_table_lookup(partition->machines, heartbeat->machine);
    if (!machine)
        machine = partition_add_machine(partition, heartbeat->machine, heartbeat->zone, NULL, now);
    heartbeat_verdict_t verdict = judge_heartbeat(partition, machine, heartbeat, is_push);
    switch (verdict) {
    case HEARTBEAT_ACCEPTED:
        apply_heartbeat(partition, machine, heartbeat, is_push, now, commands);
        break;
    case HEARTBEAT_OUT_OF_ORDER:
        if (!is_push)
            record_acknowledgement(machine, heartbeat, now);
        break;
    case HEARTBEAT_UNVERIFIED:
    case HEARTBEAT_DUPLICATE:
        break;
    }
    return verdict;
}

/* Only where the machine has not responded yet: the lease of a machine that executes commands, but
 * receives no answers to its heartbeats, ends all the same. */
void partition_record_probe_answer(partition_t *partition, const char *id, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->has_responded)
        return;
    machine->has_responded = true;
    machine->last_acknowledged_at = now;
    partition->change_count++;
    partition_queue_push(partition, machine); /* starts that were recorded and perhaps not sent */
}

/* Whether the heartbeat is newer than all ordinary ones of its machine. */
static bool is_newer_heartbeat(const machine_t *machine, const worker_heartbeat_t *heartbeat)
{
    if (heartbeat->worker_epoch != machine->worker_epoch)
        return heartbeat->worker_epoch > machine->worker_epoch;
    return heartbeat->heartbeat_sequence > machine->last_accepted_sequence;
}

void partition_record_unanswered_heartbeat(partition_t *partition,
                                           const worker_heartbeat_t *heartbeat, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, heartbeat->machine);
    if (!machine || !is_newer_heartbeat(machine, heartbeat))
        return;
    machine->last_heartbeat_at = now;
    machine->last_acknowledged_at = now;
}
