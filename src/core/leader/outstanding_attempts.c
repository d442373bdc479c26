/* Outstanding attempts, which count against team quotas and the zone constraints of jobs. */
#include "core/leader/leader_internal.h"

#include <string.h>

static void adjust_zone_count(job_t *job, const char *zone, int delta)
{
    if (!zone[0])
        return;
    int count = GPOINTER_TO_INT(g_hash_table_lookup(job->zone_outstanding, zone)) + delta;
    g_hash_table_insert(job->zone_outstanding, g_strdup(zone), GINT_TO_POINTER(count));
}

/* Counts the attempt for its job if the job is live. The index of the task comes from a machine's
 * record and may exceed the number of the job's tasks. The task's bit is set only if it exists. */
static void add_to_job(leader_t *leader, const outstanding_attempt_t *outstanding)
{
    job_t *job = g_hash_table_lookup(leader->jobs, outstanding->ref.job);
    if (!job)
        return;
    uint32_t task = outstanding->ref.task;
    if (task < job->spec.tasks && !task_bitmap_get(job->outstanding_bits, task)) {
        task_bitmap_set(job->outstanding_bits, task, true);
        job->outstanding_count++;
    }
    adjust_zone_count(job, outstanding->zone, 1);
}

void leader_add_outstanding(leader_t *leader, task_ref_t ref, const char *team, resources_t need,
                            const char *zone, guint partition)
{
    outstanding_attempt_t *outstanding = g_new0(outstanding_attempt_t, 1);
    outstanding->ref = ref;
    g_strlcpy(outstanding->zone, zone, sizeof outstanding->zone);
    outstanding->need = need;
    outstanding->partition = partition;
    outstanding->team_index = G_MAXUINT;
    team_state_t *state = leader_find_team(leader, team, &outstanding->team_index);
    if (state) {
        state->outstanding_cpus += need.cpus;
        state->outstanding_gpus += need.gpus;
    }
    g_hash_table_insert(leader->outstanding, &outstanding->ref, outstanding);
    add_to_job(leader, outstanding);
}

job_t *leader_remove_outstanding(leader_t *leader, const task_ref_t *ref)
{
    outstanding_attempt_t *outstanding = g_hash_table_lookup(leader->outstanding, ref);
    if (!outstanding || outstanding->ref.attempt != ref->attempt)
        return NULL;
    if (outstanding->team_index < leader->teams->len) {
        team_state_t *state = &g_array_index(leader->teams, team_state_t, outstanding->team_index);
        state->outstanding_cpus -= outstanding->need.cpus;
        state->outstanding_gpus -= outstanding->need.gpus;
    }
    job_t *job = g_hash_table_lookup(leader->jobs, outstanding->ref.job);
    if (job)
        adjust_zone_count(job, outstanding->zone, -1);
    g_hash_table_remove(leader->outstanding, ref);
    if (!job || ref->task >= job->spec.tasks)
        return NULL;
    if (task_bitmap_get(job->outstanding_bits, ref->task)) {
        task_bitmap_set(job->outstanding_bits, ref->task, false);
        job->outstanding_count--;
    }
    return job;
}

void leader_load_attempt(leader_t *leader, const record_entry_t *entry, const char *zone,
                         guint partition)
{
    leader_add_outstanding(leader, task_ref(entry->job, entry->task, entry->attempt), entry->team,
                           entry->need, zone, partition);
}

bool leader_is_outstanding(const leader_t *leader, const task_ref_t *ref)
{
    const outstanding_attempt_t *outstanding = g_hash_table_lookup(leader->outstanding, ref);
    return outstanding && outstanding->ref.attempt == ref->attempt;
}

GArray *leader_outstanding_attempts(const leader_t *leader, const char *job)
{
    GArray *attempts = g_array_new(FALSE, FALSE, sizeof(partition_attempt_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, leader->outstanding);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const outstanding_attempt_t *outstanding = value;
        partition_attempt_t entry = {.ref = outstanding->ref, .partition = outstanding->partition};
        if (strcmp(outstanding->ref.job, job) == 0)
            g_array_append_val(attempts, entry);
    }
    return attempts;
}
