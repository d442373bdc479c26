#include "stored_jobs.h"

#include "controller/jobs/job_directory.h"
#include "core/partition/page_record.h"
#include "io/codec/codec.h"

const char stored_machine_id[] = "m-000001";

stored_job_t *stored_job_at(const GArray *jobs, guint index)
{
    return &g_array_index(jobs, stored_job_t, index);
}

static void append_entry(GArray *entries, const stored_job_t *job, bool is_deletion)
{
    job_spec_t spec = {.tasks = 1, .need = {1, 0, 1}, .team = "team-a", .class_name = "c"};
    g_strlcpy(spec.id, job->id, sizeof spec.id);
    g_strlcpy(spec.image, "i", sizeof spec.image);
    kv_entry_t entry = {.key = g_strconcat(JOBS_PREFIX, job->id, NULL),
                        .value = is_deletion ? NULL : codec_build_job(&spec),
                        .revision = is_deletion ? job->ended_at : job->created_at};
    g_array_append_val(entries, entry);
}

void stored_jobs_append_live(const GArray *jobs, GArray *entries)
{
    for (guint i = 0; i < jobs->len; i++)
        if (!stored_job_at(jobs, i)->ended_at)
            append_entry(entries, stored_job_at(jobs, i), false);
}

static gint compare_revisions(gconstpointer left, gconstpointer right)
{
    uint64_t first = ((const kv_entry_t *)left)->revision;
    uint64_t second = ((const kv_entry_t *)right)->revision;
    return (first > second) - (first < second);
}

void stored_jobs_append_changes(const GArray *jobs, uint64_t revision, GArray *changes)
{
    for (guint i = 0; i < jobs->len; i++) {
        const stored_job_t *job = stored_job_at(jobs, i);
        if (job->created_at > revision)
            append_entry(changes, job, false);
        if (job->ended_at > revision)
            append_entry(changes, job, true);
    }
    g_array_sort(changes, compare_revisions);
}

/* Returns the machine's record, with an attempt of each recorded job. */
static machine_record_t build_machine_record(const GArray *jobs)
{
    machine_record_t machine = {.worker_epoch = 1,
                                .entries = g_array_new(FALSE, TRUE, sizeof(record_entry_t))};
    g_strlcpy(machine.machine, stored_machine_id, sizeof machine.machine);
    g_strlcpy(machine.address, "127.0.0.1:1", sizeof machine.address);
    g_strlcpy(machine.type, "t", sizeof machine.type);
    g_strlcpy(machine.zone, "zone-a", sizeof machine.zone);
    for (guint i = 0; i < jobs->len; i++) {
        const stored_job_t *job = stored_job_at(jobs, i);
        record_entry_t attempt = {
            .team = "team-a", .image = "i", .need = {1, 0, 1}, .attempt = job->created_at};
        g_strlcpy(attempt.job, job->id, sizeof attempt.job);
        if (job->is_recorded)
            g_array_append_val(machine.entries, attempt);
    }
    return machine;
}

void stored_jobs_append_page(const GArray *jobs, GArray *entries)
{
    page_record_t page = {.machines = machine_records_new()};
    shard_of(stored_machine_id, "zone-a", page.shard, sizeof page.shard);
    machine_record_t machine = build_machine_record(jobs);
    g_array_append_val(page.machines, machine);
    kv_entry_t entry = {.key = g_strconcat("machines/", page.shard, NULL),
                        .value = codec_build_page_record(&page),
                        .revision = 3};
    g_array_append_val(entries, entry);
    g_array_unref(page.machines);
}
