#include "core/partition/attempt_internal.h"
#include "core/partition/partition_internal.h"
#include "core/partition/push_queue_internal.h"

#include <string.h>

attempt_t *partition_add_attempt(partition_t *partition, machine_t *machine,
                                 const record_entry_t *entry)
{
    attempt_t *attempt = g_new0(attempt_t, 1);
    attempt->entry = *entry;
    attempt->ref = task_ref(entry->job, entry->task, entry->attempt);
    attempt->reservation_id = ++partition->last_reservation_id;
    attempt->machine = machine;
    g_ptr_array_add(machine->attempts, attempt);
    g_hash_table_insert(partition->attempts, &attempt->ref, attempt);
    return attempt;
}

void partition_drop_attempt(partition_t *partition, attempt_t *attempt)
{
    reservation_remove(attempt->machine->reservations, attempt->reservation_id);
    g_hash_table_remove(partition->attempts, &attempt->ref);
    g_ptr_array_remove(attempt->machine->attempts, attempt);
}

/* Returns the attempt with this number, or NULL if the task has an attempt with another number or
 * none. */
static attempt_t *find_by_ref(partition_t *partition, const task_ref_t *ref)
{
    attempt_t *attempt = g_hash_table_lookup(partition->attempts, ref);
    return attempt && attempt->ref.attempt == ref->attempt ? attempt : NULL;
}

attempt_t *partition_find_attempt(partition_t *partition,
                                  const reported_attempt_t *reported_attempt,
                                  const machine_t *machine)
{
    task_ref_t ref =
        task_ref(reported_attempt->job, reported_attempt->task, reported_attempt->attempt);
    attempt_t *attempt = find_by_ref(partition, &ref);
    return attempt && attempt->machine == machine ? attempt : NULL;
}

void partition_add_result(partition_t *partition, const attempt_t *attempt)
{
    attempt_result_t result = {.ref = attempt->ref, .cause = attempt->cause};
    g_strlcpy(result.machine, attempt->machine->id, sizeof result.machine);
    g_array_append_val(partition->results, result);
    partition->change_count++;
}

void partition_terminate_attempt(partition_t *partition, attempt_t *attempt, cause_t cause)
{
    if (attempt->phase == ATTEMPT_TERMINATED)
        return;
    attempt->phase = ATTEMPT_TERMINATED;
    attempt->cause = cause;
    reservation_remove(attempt->machine->reservations, attempt->reservation_id);
    if (cause == CAUSE_DONE) {
        attempt->is_done_reported = true;
        partition_add_result(partition, attempt);
        attempt->machine->page->is_flush_deferred |= attempt->is_acknowledged;
    } else {
        partition_request_flush(partition, attempt->machine);
    }
}

void partition_stop_attempt(partition_t *partition, attempt_t *attempt, msec_t now)
{
    if (attempt->is_stop_requested)
        return;
    attempt->is_stop_requested = true;
    attempt->kill_at = attempt->entry.checkpoint_s > 0
                           ? now + (msec_t)(attempt->entry.save_s * 2 * MS_PER_S) + MS_PER_S
                           : 0;
    partition_queue_push(partition, attempt->machine);
}

void partition_withdraw_placement(partition_t *partition, const task_ref_t *ref, msec_t now)
{
    attempt_t *attempt = find_by_ref(partition, ref);
    if (!attempt)
        return;
    partition_stop_attempt(partition, attempt, now);
    /* An attempt that is not recorded is dropped when the next batch is taken. */
    partition_request_flush(partition, attempt->machine);
}

static void end_attempt(partition_t *partition, attempt_t *attempt)
{
    attempt->is_stop_requested = true;
    attempt->kill_at = 0; /* the job is over, so a saved checkpoint would not be used */
    attempt->is_acknowledged = true;
    partition_queue_push(partition, attempt->machine);
    if (attempt->is_in_record)
        attempt->machine->page->is_flush_deferred = true;
    else
        partition_request_flush(partition, attempt->machine);
}

void partition_end_job(partition_t *partition, const char *job)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        attempt_t *attempt = value;
        if (strcmp(attempt->entry.job, job) == 0)
            end_attempt(partition, attempt);
    }
}

bool partition_end_unknown_jobs(partition_t *partition, GHashTable *live_jobs, uint64_t revision)
{
    bool has_ended = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, partition->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        attempt_t *attempt = value;
        if (attempt->job_revision > revision ||
            g_hash_table_contains(live_jobs, attempt->entry.job))
            continue;
        end_attempt(partition, attempt);
        has_ended = true;
    }
    return has_ended;
}

void partition_acknowledge_result(partition_t *partition, const task_ref_t *ref)
{
    attempt_t *attempt = find_by_ref(partition, ref);
    if (!attempt)
        return;
    attempt->is_acknowledged = true;
    attempt->machine->page->is_flush_deferred = true;
}
