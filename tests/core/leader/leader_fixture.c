#include "leader_fixture.h"

#include <string.h>

enum { NOW_MS = 1000, WALL_CLOCK_MS = 2000, MAX_REQUESTS = 100, JOB_REVISION = 5 };

int set_up_leader(void **state)
{
    leader_fixture_t *fixture = g_new0(leader_fixture_t, 1);
    fixture->teams = g_array_new(FALSE, FALSE, sizeof(team_t));
    fixture->slos = g_hash_table_new(g_str_hash, g_str_equal);
    fixture->policy = policy_default();
    add_team(fixture, "team-a", 8, 24);
    add_team(fixture, "team-b", 24, 0);
    fixture->leader = leader_new(fixture->teams, fixture->slos, fixture->policy, 2);
    leader_set_view(fixture->leader, 3);
    *state = fixture;
    return 0;
}

int tear_down_leader(void **state)
{
    leader_fixture_t *fixture = *state;
    leader_free(fixture->leader);
    policy_free(fixture->policy);
    g_array_unref(fixture->teams);
    g_hash_table_unref(fixture->slos);
    g_free(fixture);
    return 0;
}

void replace_leader(leader_fixture_t *fixture, guint partitions, uint64_t view)
{
    leader_free(fixture->leader);
    fixture->leader = leader_new(fixture->teams, fixture->slos, fixture->policy, partitions);
    leader_set_view(fixture->leader, view);
}

void add_team(leader_fixture_t *fixture, const char *name, double guaranteed_cpus, double max_cpus)
{
    team_t team = {.guaranteed_cpus = guaranteed_cpus, .max_cpus = max_cpus};
    g_strlcpy(team.name, name, sizeof team.name);
    g_array_append_val(fixture->teams, team);
}

job_spec_t make_job(const char *id, const char *team, uint32_t tasks)
{
    job_spec_t spec = {.tasks = tasks,
                       .need = {2, 0, 1},
                       .estimate_s = 10,
                       .submitted_ms = 1000,
                       .priority = PRIORITY_NORMAL};
    g_strlcpy(spec.id, id, sizeof spec.id);
    g_strlcpy(spec.team, team, sizeof spec.team);
    g_strlcpy(spec.class_name, "c", sizeof spec.class_name);
    return spec;
}

void add_job(leader_fixture_t *fixture, const job_spec_t *spec)
{
    leader_add_job(fixture->leader, spec, JOB_REVISION);
}

void set_idle_machine(leader_fixture_t *fixture, guint partition, const char *zone, double cpus)
{
    set_machine(fixture, partition, zone, cpus, cpus);
}

void set_machine(leader_fixture_t *fixture, guint partition, const char *zone, double cpus,
                 double free_cpus)
{
    GArray *summaries = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    machine_summary_t summary = {
        .accepts_starts = true, .total = {cpus, 0, 999}, .free = {free_cpus, 0, 999}};
    g_snprintf(summary.machine, sizeof summary.machine, "m-%s", zone);
    g_strlcpy(summary.type, "t", sizeof summary.type);
    g_strlcpy(summary.zone, zone, sizeof summary.zone);
    g_array_append_val(summaries, summary);
    leader_set_summaries(fixture->leader, partition, summaries);
}

record_entry_t make_record_entry(const char *job, const char *team, uint32_t task, uint64_t attempt)
{
    record_entry_t entry = {.need = {2, 0, 1}, .task = task, .attempt = attempt};
    g_strlcpy(entry.job, job, sizeof entry.job);
    g_strlcpy(entry.team, team, sizeof entry.team);
    return entry;
}

void load_attempt(leader_fixture_t *fixture, const record_entry_t *entry, const char *zone,
                  guint partition)
{
    leader_load_attempt(fixture->leader, entry, zone, partition);
}

GArray *schedule(leader_fixture_t *fixture)
{
    return leader_schedule(fixture->leader, NOW_MS, WALL_CLOCK_MS, MAX_REQUESTS);
}

guint schedule_and_count(leader_fixture_t *fixture)
{
    g_autoptr(GArray) requests = schedule(fixture);
    return requests->len;
}

guint count_requests(const GArray *requests, const char *job)
{
    guint found = 0;
    for (guint i = 0; i < requests->len; i++)
        found += strcmp(request_at(requests, i)->request.job, job) == 0;
    return found;
}

const leader_request_t *request_at(const GArray *requests, guint index)
{
    return &g_array_index(requests, leader_request_t, index);
}

void handle_result(leader_fixture_t *fixture, guint partition, task_ref_t ref, cause_t cause)
{
    attempt_result_t result = {.ref = ref, .cause = cause};
    leader_handle_result(fixture->leader, partition, &result, NOW_MS);
}

void finish_task(leader_fixture_t *fixture, const leader_request_t *leader_request)
{
    const placement_request_t *request = &leader_request->request;
    handle_result(fixture, leader_request->partition,
                  task_ref(request->job, request->task, request->attempt), CAUSE_DONE);
}
