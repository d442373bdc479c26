/* Failure records: back-off of jobs and quarantine of machines after failed attempts. */
#include "core/leader/leader_internal.h"

#include <string.h>

/* Limits the shift. After this many doublings the wait has reached JOB_BACKOFF_MAX_MS. */
enum { BACKOFF_DOUBLINGS_MAX = 5 };

static void back_off_until(job_t *job, msec_t retry_at)
{
    job->retry_at = MAX(job->retry_at, retry_at);
}

/* The first failures cause no back-off, since a faulty machine may have caused them. The tasks of a
 * service never end successfully; instead, a service is successful while its attempts last. */
static void back_off_after_error(job_t *job, msec_t now)
{
    if (job->spec.kind == KIND_SERVICE && leader_has_newest_lasted(job, now))
        job->consecutive_errors = 0;
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

void leader_free_failure_record(gpointer data)
{
    failure_record_t *record = data;
    g_hash_table_unref(record->jobs);
    g_free(record);
}

static failure_record_t *ensure_record(leader_t *leader, const char *machine)
{
    failure_record_t *record = g_hash_table_lookup(leader->failure_records, machine);
    if (!record) {
        record = g_new0(failure_record_t, 1);
        record->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(leader->failure_records, g_strdup(machine), record);
    }
    return record;
}

static failed_job_t *ensure_failed_job(failure_record_t *record, job_t *job)
{
    failed_job_t *failed = g_hash_table_lookup(record->jobs, job->spec.id);
    if (!failed) {
        failed = g_new0(failed_job_t, 1);
        g_hash_table_insert(record->jobs, g_strdup(job->spec.id), failed);
        job->failed_machine_count++;
    }
    return failed;
}

/* Records that the job has finished a task, so that its failures were caused by the machines. */
static void record_job_success(leader_t *leader, job_t *job)
{
    GHashTableIter iter;
    gpointer value;
    if (job->failed_machine_count == 0)
        return;
    job->failed_machine_count = 0;
    g_hash_table_iter_init(&iter, leader->failure_records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        failed_job_t *failed = g_hash_table_lookup(((failure_record_t *)value)->jobs, job->spec.id);
        if (failed)
            failed->has_succeeded = true;
    }
}

void leader_record_failure(leader_t *leader, const attempt_result_t *result, job_t *job)
{
    if (result->cause == CAUSE_DONE) {
        g_hash_table_remove(leader->failure_records, result->machine);
        if (job)
            record_job_success(leader, job);
        return;
    }
    if (result->cause != CAUSE_ERROR || !result->machine[0] || !job)
        return;
    failed_job_t *failed = ensure_failed_job(ensure_record(leader, result->machine), job);
    failed->error_count++;
    failed->has_succeeded |= job->done_count > 0;
}

void leader_forget_failures(leader_t *leader, const job_t *job)
{
    GHashTableIter iter;
    gpointer value;
    if (job->done_count > 0 || job->failed_machine_count == 0)
        return;
    g_hash_table_iter_init(&iter, leader->failure_records);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        g_hash_table_remove(((failure_record_t *)value)->jobs, job->spec.id);
}

/* Returns whether the failures of the job on a machine are evidence against the machine: the job
 * has finished tasks, or it has failed on no other machine. */
static bool is_evidence(const leader_t *leader, const char *id, const failed_job_t *failed)
{
    const job_t *job = g_hash_table_lookup(leader->jobs, id);
    return failed->has_succeeded || (job && job->failed_machine_count <= 1);
}

/* Most errors are caused by the machine. A machine on which every task fails at once always has the
 * lowest load, so least-loaded placement would send all work to it. However, a job that was
 * submitted with a mistake fails on every machine, until its user cancels it, and must not cause
 * machines to be quarantined. A machine is therefore quarantined only after several failures
 * without a success in between, if they concern more than one job or a job that has finished tasks,
 * not counting jobs that fail elsewhere as well and have finished no task. */
bool leader_is_quarantined(const leader_t *leader, const char *machine)
{
    const failure_record_t *record = g_hash_table_lookup(leader->failure_records, machine);
    if (!record)
        return false;
    guint errors = 0;
    guint jobs = 0;
    bool has_succeeded = false;
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, record->jobs);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const failed_job_t *failed = value;
        if (!is_evidence(leader, id, failed))
            continue;
        errors += failed->error_count;
        jobs++;
        has_succeeded |= failed->has_succeeded;
    }
    return errors >= MACHINE_ERRORS_QUARANTINE_COUNT && (jobs > 1 || has_succeeded);
}

static void begin_quarantines(leader_t *leader, msec_t now)
{
    GHashTableIter iter;
    gpointer machine;
    g_hash_table_iter_init(&iter, leader->failure_records);
    while (g_hash_table_iter_next(&iter, &machine, NULL))
        if (!g_hash_table_contains(leader->quarantines, machine) &&
            leader_is_quarantined(leader, machine))
            g_hash_table_insert(leader->quarantines, g_strdup(machine),
                                g_memdup2(&now, sizeof now));
}

GPtrArray *leader_update_quarantines(leader_t *leader, msec_t now)
{
    GPtrArray *ended = g_ptr_array_new_with_free_func(g_free); /* machine ids, owned */
    GHashTableIter iter;
    gpointer machine;
    gpointer since_at;
    begin_quarantines(leader, now);
    g_hash_table_iter_init(&iter, leader->quarantines);
    while (g_hash_table_iter_next(&iter, &machine, &since_at)) {
        if (now - *(msec_t *)since_at >= QUARANTINE_MAX_MS)
            g_hash_table_remove(leader->failure_records, machine);
        if (leader_is_quarantined(leader, machine))
            continue;
        g_ptr_array_add(ended, g_strdup(machine));
        g_hash_table_iter_remove(&iter);
    }
    return ended;
}
