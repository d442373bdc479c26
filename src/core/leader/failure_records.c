/* Failure records: back-off of jobs and quarantine of machines after failed attempts. */
#include "core/leader/leader_internal.h"

#include <string.h>

/* Limits the shift. After this many doublings the wait has reached JOB_BACKOFF_MAX_MS. */
enum { BACKOFF_DOUBLINGS_MAX = 5 };

static void back_off_until(job_t *job, msec_t retry_at)
{
    job->retry_at = MAX(job->retry_at, retry_at);
}

/* The first failures cause no back-off, since a faulty machine may have caused them. */
static void back_off_after_error(job_t *job, msec_t now)
{
    job->consecutive_errors++;
    if (job->consecutive_errors < JOB_ERRORS_BACKOFF_COUNT)
        return;
    guint doublings =
        MIN(job->consecutive_errors - JOB_ERRORS_BACKOFF_COUNT, BACKOFF_DOUBLINGS_MAX);
    msec_t wait_ms = MIN((msec_t)JOB_BACKOFF_MS << doublings, JOB_BACKOFF_MAX_MS);
    back_off_until(job, now + wait_ms);
}

void leader_back_off_job(job_t *job, cause_t cause, msec_t now)
{
    switch (cause) {
    case CAUSE_FULL:
    case CAUSE_IN_USE:
        back_off_until(job, now + JOB_REFUSED_BACKOFF_MS);
        break;
    case CAUSE_ERROR:
    case CAUSE_NO_SUCH:
        back_off_after_error(job, now);
        break;
    case CAUSE_NONE:
    case CAUSE_DONE:
    case CAUSE_STOPPED:
    case CAUSE_GANG_PEER_ENDED:
    case CAUSE_GANG_INCOMPLETE:
        break; /* not a failure of the job */
    }
}

static failure_record_t *failure_record_of(leader_t *leader, const attempt_result_t *result)
{
    failure_record_t *record = g_hash_table_lookup(leader->failure_records, result->machine);
    if (!record) {
        record = g_new0(failure_record_t, 1);
        g_strlcpy(record->first_failed_job, result->ref.job, sizeof record->first_failed_job);
        g_hash_table_insert(leader->failure_records, g_strdup(result->machine), record);
    }
    return record;
}

/* Most errors are caused by the machine. A machine on which every task fails at once always has the
 * lowest load, so least-loaded placement would send all work to it. However, a job that was
 * submitted with a mistake fails on every machine and must not cause all of them to be quarantined.
 * A machine is therefore quarantined only after several failures without a success in between, if
 * they concern more than one job or a job that has finished tasks. */
void leader_record_failure(leader_t *leader, const attempt_result_t *result, const job_t *job)
{
    if (result->cause == CAUSE_DONE) {
        g_hash_table_remove(leader->failure_records, result->machine);
        return;
    }
    if (result->cause != CAUSE_ERROR || !result->machine[0])
        return;
    failure_record_t *record = failure_record_of(leader, result);
    record->error_count++;
    bool has_finished_tasks = job && job->done_count > 0;
    if (has_finished_tasks || strcmp(record->first_failed_job, result->ref.job) != 0)
        record->is_machine_at_fault = true;
}

bool leader_is_quarantined(const leader_t *leader, const char *machine)
{
    const failure_record_t *record = g_hash_table_lookup(leader->failure_records, machine);
    return record && record->is_machine_at_fault &&
           record->error_count >= MACHINE_ERRORS_QUARANTINE_COUNT;
}
