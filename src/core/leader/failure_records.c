/* Failure records: jobs that back off, machines that are quarantined. */
#include "core/leader/leader_internal.h"

#include <string.h>

void leader_back_off_job(job_t *job, cause_t cause, msec_t now)
{
    if (cause == CAUSE_FULL || cause == CAUSE_BUSY) {
        job->retry_at = MAX(job->retry_at, now + TASK_BACKOFF_MS);
    } else if (cause == CAUSE_ERROR || cause == CAUSE_UNKNOWN) {
        job->errors++;
        if (job->errors >= JOB_ERRORS_ALARM_COUNT) {
            guint doublings = MIN(job->errors - JOB_ERRORS_ALARM_COUNT, 5);
            msec_t wait = MIN((msec_t)JOB_BACKOFF_MS << doublings, JOB_BACKOFF_MAX_MS);
            job->retry_at = MAX(job->retry_at, now + wait);
        }
    }
}

/* An error is mostly the machine's. One that fails at once is always the emptiest, so least-loaded
 * placement would feed it everything; but a job submitted with a mistake fails on every machine,
 * and must not quarantine them all. So it takes several failures without a success between, of more
 * than one job or of a job that has finished tasks. */
void leader_record_failure(leader_t *leader, const attempt_result_t *result, const job_t *job)
{
    if (result->cause == CAUSE_DONE) {
        g_hash_table_remove(leader->failure_records, result->machine);
        return;
    }
    if (result->cause != CAUSE_ERROR || !result->machine[0])
        return;
    failure_record_t *failure_record =
        g_hash_table_lookup(leader->failure_records, result->machine);
    if (!failure_record) {
        failure_record = g_new0(failure_record_t, 1);
        g_strlcpy(failure_record->job, result->ref.job, sizeof failure_record->job);
        g_hash_table_insert(leader->failure_records, g_strdup(result->machine), failure_record);
    }
    failure_record->errors++;
    if ((job && job->done_count > 0) || strcmp(failure_record->job, result->ref.job) != 0)
        failure_record->is_machine_at_fault = true;
}

bool leader_is_quarantined(const leader_t *leader, const char *machine)
{
    const failure_record_t *failure_record = g_hash_table_lookup(leader->failure_records, machine);
    return failure_record && failure_record->is_machine_at_fault &&
           failure_record->errors >= MACHINE_ERRORS_ALARM_COUNT;
}
