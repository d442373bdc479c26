#include "core/membership/fencing_token.h"
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
    /* The worker killed and forgot all attempts of its earlier epochs, and refuses commands of
     * those epochs. This proves that every attempt recorded under them is over. An attempt that is
     * only placed has not been sent, so it cannot run either. */
    for (guint i = 0; i < machine->attempts->len; i++) {
        attempt_t *attempt = machine_attempt(machine, i);
        if (attempt->worker_epoch < heartbeat->worker_epoch)
            partition_terminate_attempt(partition, attempt, CAUSE_NONE);
    }
    machine->worker_epoch = heartbeat->worker_epoch;
    machine->unanswered_fencing_token = 0;
    g_hash_table_remove_all(machine->exited);
    machine->unforgotten = 0;
    machine->listed_resources = (resources_t){0};
}

/* Commands must not be sent under a lower token than one that the worker has seen. */
static void record_fencing_token(const partition_t *partition, machine_t *machine,
                                 const worker_heartbeat_t *heartbeat)
{
    uint64_t first = fencing_token_first(partition->view);
    machine->fencing_token = MAX(machine->fencing_token, first);
    if (fencing_token_view(heartbeat->fencing_token) == partition->view)
        machine->fencing_token = MAX(machine->fencing_token, heartbeat->fencing_token);
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

/* A running task has its image, so the machine will not fetch that image again soon. */
static void record_image(machine_t *machine, const attempt_t *attempt)
{
    if (!g_hash_table_contains(machine->images, attempt->entry.image))
        g_hash_table_add(machine->images, g_strdup(attempt->entry.image));
}

/* The resources of the attempts that one heartbeat lists. */
typedef struct listed_resources {
    resources_t total;  /* of all these attempts */
    resources_t growth; /* of those among them that no earlier heartbeat listed */
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
                                 machine->accepted_count);
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
    if (reported_attempt->state == TASK_EXITED) {
        exited_attempts_record(machine->exited, reported_attempt, machine->accepted_count, now);
        machine->unforgotten += !attempt;
    }
    if (!attempt || attempt->phase == ATTEMPT_TERMINATED)
        return;
    attempt->is_listed = true;
    attempt->state = reported_attempt->state;
    if (attempt->state == TASK_EXITED) {
        partition_terminate_attempt(partition, attempt, reported_attempt->cause);
        return;
    }
    count_listed_attempt(machine, attempt);
    resources_add(&resources->total, attempt->entry.need, 1);
    if (!attempt->listed_since_at) {
        attempt->listed_since_at = now;
        resources_add(&resources->growth, attempt->entry.need, 1);
    }
}

static void apply_listed_attempts(partition_t *partition, machine_t *machine,
                                  const worker_heartbeat_t *heartbeat, msec_t now)
{
    listed_resources_t resources = {0};
    machine->unforgotten = 0;
    reset_listed_attempts(machine);
    for (guint i = 0; i < heartbeat->attempts->len; i++)
        apply_listed_attempt(partition, machine,
                             &g_array_index(heartbeat->attempts, reported_attempt_t, i), now,
                             &resources);
    exited_attempts_remove_unlisted(machine->exited, machine->accepted_count);
    /* Growth is the sum over newly listed attempts, not the difference of the totals, so that an
     * attempt that ended in the meantime does not hide a new one. */
    reservation_confirm(machine->reservations, resources.growth, machine->accepted_count);
    machine->listed_resources = resources.total;
}

/* Returns whether the worker may still execute an unanswered `run` after it sent this heartbeat.
 *
 * No such `run` can arrive later if the worker had seen a fencing token of this view, no pushed
 * command is in flight, and no pushed `run` went unanswered under a fencing token as high as the
 * one that the worker had seen. Commands in answers to heartbeats need no further check, because
 * the worker sends a heartbeat only after it received the answer to the previous one or stopped
 * waiting for it. That holds for periodic heartbeats only: the answer to a pushed command may
 * overtake the commands in the answer to an earlier heartbeat.
 */
static bool is_run_in_flight(const partition_t *partition, const machine_t *machine,
                             const worker_heartbeat_t *heartbeat)
{
    return fencing_token_view(heartbeat->fencing_token) < partition->view ||
           machine->is_push_in_flight ||
           machine->unanswered_fencing_token >= heartbeat->fencing_token;
}

/* Raises the fencing token of the machine, which the answer to this heartbeat then carries. The
 * worker refuses every push that was sent to it before. Returns whether the view has a higher
 * token.
 */
static bool raise_fencing_token(partition_t *partition, machine_t *machine)
{
    if (fencing_token_view(machine->fencing_token + 1) > partition->view) {
        partition->needs_new_view = true;
        return false;
    }
    machine->fencing_token++;
    return true;
}

/* Terminates the attempts that are to stop and that a periodic heartbeat does not list, unless a
 * `run` may still be in flight. */
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

/* Appends the commands for listed attempts that the partition does not have on this machine. Those
 * that have not exited are stopped without time to save.
 *
 * After a `forget`, the worker no longer remembers the attempt, so any copy of its `run` would
 * start it again, even if that `run` was answered. A `forget` is therefore sent only in an answer
 * that raises the fencing token: whether or not it arrives, the worker starts the attempt no more.
 */
static void append_commands_for_unknown_attempts(partition_t *partition, machine_t *machine,
                                                 const worker_heartbeat_t *heartbeat,
                                                 GArray *commands)
{
    bool may_forget = machine->unforgotten > 0 && raise_fencing_token(partition, machine);
    for (guint i = 0; i < heartbeat->attempts->len; i++) {
        const reported_attempt_t *listed =
            &g_array_index(heartbeat->attempts, reported_attempt_t, i);
        if (partition_find_attempt(partition, listed, machine))
            continue;
        task_ref_t ref = task_ref(listed->job, listed->task, listed->attempt);
        if (listed->state != TASK_EXITED)
            commands_append(commands, COMMAND_STOP, REASON_UNRECORDED, &ref, 0);
        else if (may_forget)
            commands_append(commands, COMMAND_FORGET, REASON_EXITED, &ref, 0);
    }
}

/* Raises the fencing token if the worker has not seen one yet under which it refuses each `run`
 * that went unanswered. */
static void refuse_unanswered_runs(partition_t *partition, machine_t *machine)
{
    if (machine->unanswered_fencing_token >= machine->fencing_token)
        raise_fencing_token(partition, machine);
}

/* Returns the verdict on a heartbeat. A copy of a heartbeat may arrive seconds to minutes late,
 * here or at a controller that never received the original. It must not restore an older state,
 * prove that an attempt is over, confirm a reservation or make a machine look alive. If this
 * partition has received a heartbeat of the machine before, the worker epoch and the sequence
 * number show which one is newer. There is nothing to compare the first periodic heartbeat with. It
 * is accepted only if it carries a fencing token of this view, which shows that it was sent in
 * this view. */
static heartbeat_verdict_t classify_heartbeat(const partition_t *partition,
                                              const machine_t *machine,
                                              const worker_heartbeat_t *heartbeat,
                                              bool is_push_answer)
{
    if (machine->is_terminated || heartbeat->worker_epoch < machine->worker_epoch)
        return HEARTBEAT_DUPLICATE;
    if (!is_push_answer && !machine->has_heartbeat &&
        fencing_token_view(heartbeat->fencing_token) < partition->view)
        return HEARTBEAT_UNVERIFIED;
    if (!machine->has_responded || heartbeat->worker_epoch > machine->worker_epoch)
        return HEARTBEAT_ACCEPTED;
    if (!is_push_answer && heartbeat->heartbeat_sequence <= machine->last_periodic_sequence)
        return HEARTBEAT_DUPLICATE;
    if (heartbeat->heartbeat_sequence <= machine->heartbeat_sequence)
        return HEARTBEAT_OUT_OF_ORDER;
    return HEARTBEAT_ACCEPTED;
}

/* Records a periodic heartbeat that is newer than the periodic ones before. If it follows the last
 * one within the time that a worker waits for an answer, it shows that the answer arrived. The
 * first one in this view counts as an acknowledgement, too. */
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
    machine->last_periodic_sequence = heartbeat->heartbeat_sequence;
}

/* Returns whether starts may be sent to the machine, regardless of its type and of whether it is
 * draining. */
static bool may_send_starts(const partition_t *partition, const machine_t *machine, msec_t now)
{
    return partition_is_reachable(partition, machine, now) && !machine->interruption_at;
}

/* Queues a push if a recorded start waits for preempted attempts, because their resources may be
 * free now. */
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
    commands_append_for_desired_state(partition, machine, now, commands);
    append_commands_for_unknown_attempts(partition, machine, heartbeat, commands);
    refuse_unanswered_runs(partition, machine);
}

static void apply_heartbeat(partition_t *partition, machine_t *machine,
                            const worker_heartbeat_t *heartbeat, bool is_push_answer, msec_t now,
                            GArray *commands)
{
    bool could_send_starts = may_send_starts(partition, machine, now);
    update_identity(partition, machine, heartbeat);
    update_worker_epoch(partition, machine, heartbeat);
    record_fencing_token(partition, machine, heartbeat);
    machine->heartbeat_sequence = heartbeat->heartbeat_sequence;
    machine->accepted_count++;
    machine->interruption_at = interruption_time(heartbeat, now);
    apply_listed_attempts(partition, machine, heartbeat, now);
    queue_waiting_starts(partition, machine);
    if (!is_push_answer)
        answer_heartbeat(partition, machine, heartbeat, now, commands);
    if (machine->attempts->len)
        machine->idle_since_at = now;
    if (may_send_starts(partition, machine, now) != could_send_starts)
        partition->change_count++;
}

heartbeat_verdict_t partition_handle_heartbeat(partition_t *partition,
                                               const worker_heartbeat_t *heartbeat,
                                               bool is_push_answer, msec_t now, GArray *commands)
{
    /* A late copy would add a terminated machine again, with all its resources free. */
    if (g_hash_table_contains(partition->terminated_machines, heartbeat->machine))
        return HEARTBEAT_DUPLICATE;
    machine_t *machine = g_hash_table_lookup(partition->machines, heartbeat->machine);
    if (!machine)
        machine = partition_add_machine(partition, heartbeat->machine, heartbeat->zone, NULL, now);
    heartbeat_verdict_t verdict = classify_heartbeat(partition, machine, heartbeat, is_push_answer);
    switch (verdict) {
    case HEARTBEAT_ACCEPTED:
        apply_heartbeat(partition, machine, heartbeat, is_push_answer, now, commands);
        break;
    case HEARTBEAT_OUT_OF_ORDER:
        if (!is_push_answer)
            record_acknowledgement(machine, heartbeat, now);
        break;
    case HEARTBEAT_UNVERIFIED:
    case HEARTBEAT_DUPLICATE:
        break;
    }
    return verdict;
}

/* Has no effect if the machine has already responded: a machine that executes commands but receives
 * no answers to its heartbeats loses its lease nevertheless, so it must not stay reachable. */
void partition_record_probe_answer(partition_t *partition, const char *id, msec_t now)
{
    machine_t *machine = g_hash_table_lookup(partition->machines, id);
    if (!machine || machine->has_responded)
        return;
    machine->has_responded = true;
    machine->last_acknowledged_at = now;
    partition->change_count++;
    /* Recorded starts may not have been sent yet. */
    partition_queue_push(partition, machine);
}

/* Returns whether the heartbeat is newer than all periodic heartbeats received from its machine. */
static bool is_newer_heartbeat(const machine_t *machine, const worker_heartbeat_t *heartbeat)
{
    if (heartbeat->worker_epoch != machine->worker_epoch)
        return heartbeat->worker_epoch > machine->worker_epoch;
    return heartbeat->heartbeat_sequence > machine->last_periodic_sequence;
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
