#include "scaling_day.h"

#include <string.h>

enum {
    RETRY_S = 12, /* after a refusal by the cloud */
    BOOT_S = 20,
    DRAINS_PER_ROUND = 8
};

static char *both_zones[] = {"zone-a", "zone-b", NULL};
static char *first_zone[] = {"zone-a", NULL};
static char *second_zone[] = {"zone-b", NULL};

static const machine_type_t machine_types[] = {{.name = "small",
                                                .capacity = {4, 0, 16},
                                                .price = 1,
                                                .spot_price = 0.3,
                                                .boot_s = BOOT_S,
                                                .zones = both_zones},
                                               {.name = "medium",
                                                .capacity = {16, 0, 64},
                                                .price = 4,
                                                .spot_price = 1,
                                                .boot_s = BOOT_S,
                                                .zones = both_zones},
                                               {.name = "large",
                                                .capacity = {64, 0, 256},
                                                .price = 15,
                                                .spot_price = 4,
                                                .boot_s = BOOT_S,
                                                .zones = first_zone},
                                               {.name = "gpu",
                                                .capacity = {16, 4, 64},
                                                .price = 30,
                                                .spot_price = 9,
                                                .boot_s = BOOT_S,
                                                .zones = second_zone}};

static bool is_one_in(day_t *day, gint32 count)
{
    return g_rand_int_range(day->random, 0, count) == 0;
}

static gint32 random_between(day_t *day, gint32 first, gint32 last)
{
    return g_rand_int_range(day->random, first, last + 1);
}

bool day_are_troubles_over(const day_t *day)
{
    return day->now >= TROUBLES_S * (msec_t)MS_PER_S;
}

static void free_machine(gpointer data)
{
    simulated_machine_t *machine = data;
    g_array_unref(machine->tasks);
    g_free(machine);
}

static void add_constraints(day_t *day, job_spec_t *spec)
{
    static char *large_only[] = {"large", NULL};
    static char *small_or_medium[] = {"small", "medium", NULL};
    if (is_one_in(day, 3))
        g_strlcpy(spec->zone, both_zones[random_between(day, 0, 1)], sizeof spec->zone);
    if (is_one_in(day, 6))
        spec->types = small_or_medium;
    if (is_one_in(day, 8) && strcmp(spec->zone, "zone-b") != 0)
        spec->types = large_only;
    spec->may_use_spot = !is_one_in(day, 4);
    spec->needs_same_zone = is_one_in(day, 6);
    spec->needs_spread =
        !spec->zone[0] && !spec->types && !spec->needs_same_zone && is_one_in(day, 8);
    if (is_one_in(day, 5))
        spec->kind = KIND_GANG;
    if (is_one_in(day, 8) && !spec->types && strcmp(spec->zone, "zone-a") != 0 &&
        !spec->needs_spread)
        spec->need.gpus = random_between(day, 1, 4);
    else if (is_one_in(day, 5) && !spec->needs_spread && spec->types != small_or_medium &&
             strcmp(spec->zone, "zone-b") != 0)
        spec->need.cpus = random_between(day, 17, 64);
}

static void submit_job(day_t *day)
{
    simulated_job_t *job = g_new0(simulated_job_t, 1);
    char id[ID_BYTES];
    g_snprintf(id, sizeof id, "j-%06u", ++day->job_count);
    job->spec =
        make_job(id, is_one_in(day, 2) ? "team-b" : "team-c", (uint32_t)random_between(day, 1, 6));
    job->spec.need = (resources_t){random_between(day, 1, 4), 0, random_between(day, 1, 16)};
    job->spec.estimate_s = random_between(day, 2, 60);
    job->spec.submitted_ms = day->now;
    job->spec.priority = (priority_t)random_between(day, PRIORITY_LOW, PRIORITY_CRITICAL);
    job->is_mistaken = is_one_in(day, 8);
    job->active_at = day->now;
    add_constraints(day, &job->spec);
    leader_add_job(day->leader, &job->spec, 5);
    g_ptr_array_add(day->jobs, job);
}

static simulated_job_t *find_job(const day_t *day, const char *id)
{
    for (guint i = 0; i < day->jobs->len; i++) {
        simulated_job_t *job = g_ptr_array_index(day->jobs, i);
        if (strcmp(job->spec.id, id) == 0)
            return job;
    }
    return NULL;
}

static guint partition_of(const machine_summary_t *summary)
{
    return strcmp(summary->zone, "zone-a") == 0 ? 0 : 1;
}

static void report(day_t *day, const simulated_machine_t *machine, const task_ref_t *ref,
                   cause_t cause)
{
    attempt_result_t result = {.ref = *ref, .cause = cause};
    g_strlcpy(result.machine, machine->summary.machine, sizeof result.machine);
    leader_handle_result(day->leader, partition_of(&machine->summary), &result, day->now);
    simulated_job_t *job = find_job(day, ref->job);
    if (job)
        job->active_at = day->now;
}

static void end_task(day_t *day, simulated_machine_t *machine, guint index, cause_t cause)
{
    running_task_t task = g_array_index(machine->tasks, running_task_t, index);
    resources_add(&machine->summary.free, task.need, 1);
    g_array_remove_index_fast(machine->tasks, index);
    report(day, machine, &task.ref, cause);
}

static void remove_machine(day_t *day, simulated_machine_t *machine)
{
    while (machine->tasks->len > 0)
        end_task(day, machine, 0, CAUSE_NONE);
    autoscaler_remove_booting(day->autoscaler, machine->summary.machine);
    g_ptr_array_remove(day->machines, machine);
}

static void end_due_tasks(day_t *day)
{
    for (guint i = 0; i < day->machines->len; i++) {
        simulated_machine_t *machine = g_ptr_array_index(day->machines, i);
        for (guint k = machine->tasks->len; k > 0; k--) {
            const running_task_t *task = &g_array_index(machine->tasks, running_task_t, k - 1);
            if (task->ends_at > day->now)
                continue;
            const simulated_job_t *job = find_job(day, task->ref.job);
            bool has_failed = machine->is_faulty || !job || job->is_mistaken;
            end_task(day, machine, k - 1, has_failed ? CAUSE_ERROR : CAUSE_DONE);
        }
    }
}

static void end_finished_jobs(day_t *day)
{
    for (guint i = day->jobs->len; i > 0; i--) {
        const simulated_job_t *job = g_ptr_array_index(day->jobs, i - 1);
        bool is_cancelled = job->is_mistaken && (day_are_troubles_over(day) || is_one_in(day, 60));
        if (!is_cancelled && leader_job_counts(day->leader, job->spec.id).done < job->spec.tasks)
            continue;
        leader_remove_job(day->leader, job->spec.id);
        g_ptr_array_remove_index(day->jobs, i - 1);
    }
}

static void provide_machines(day_t *day, const scale_out_request_t *request)
{
    for (guint i = 0; i < request->count; i++) {
        simulated_machine_t *machine = g_new0(simulated_machine_t, 1);
        machine_summary_t *summary = &machine->summary;
        *summary = (machine_summary_t){.is_spot = request->is_spot};
        g_snprintf(summary->machine, sizeof summary->machine, "m-%06u", ++day->machine_count);
        g_strlcpy(summary->type, request->type, sizeof summary->type);
        g_strlcpy(summary->zone, request->zone, sizeof summary->zone);
        for (guint k = 0; k < G_N_ELEMENTS(machine_types); k++)
            if (strcmp(machine_types[k].name, request->type) == 0)
                summary->total = machine_types[k].capacity;
        summary->free = summary->total;
        bool never_boots = !day_are_troubles_over(day) && is_one_in(day, 8);
        machine->up_at = never_boots ? G_MAXINT64 : day->now + BOOT_S * (msec_t)MS_PER_S;
        machine->tasks = g_array_new(FALSE, FALSE, sizeof(running_task_t));
        machine->is_faulty = !day_are_troubles_over(day) && is_one_in(day, 20);
        g_ptr_array_add(day->machines, machine);
        autoscaler_add_booting(day->autoscaler, summary->machine, summary->type, summary->zone,
                               summary->is_spot, day->now);
    }
}

static simulated_machine_t *find_machine(const day_t *day, const char *id)
{
    for (guint i = 0; i < day->machines->len; i++) {
        simulated_machine_t *machine = g_ptr_array_index(day->machines, i);
        if (strcmp(machine->summary.machine, id) == 0)
            return machine;
    }
    return NULL;
}

static void scale_out(day_t *day)
{
    scale_out_request_t request;
    if (!autoscaler_next_scale_out(day->autoscaler, day->leader, day->types, day->now, day->now,
                                   &request))
        return;
    const machine_summary_t *drained = autoscaler_drain_to_cancel(day->leader, &request, day->now);
    if (drained)
        find_machine(day, drained->machine)->summary.is_draining = false;
    else if (!day_are_troubles_over(day) && is_one_in(day, 3))
        autoscaler_record_refusal(day->autoscaler, &request, day->now + RETRY_S * (msec_t)MS_PER_S);
    else
        provide_machines(day, &request);
}

static void remove_stuck_instances(day_t *day)
{
    g_autoptr(GPtrArray) stuck = autoscaler_stuck_instances(day->autoscaler, day->types, day->now);
    for (guint i = 0; i < stuck->len; i++)
        remove_machine(day, find_machine(day, g_ptr_array_index(stuck, i)));
}

static void scale_in(day_t *day)
{
    remove_stuck_instances(day);
    g_autoptr(GPtrArray) ended = leader_update_quarantines(day->leader, day->now);
    for (guint i = 0; i < ended->len; i++) {
        simulated_machine_t *machine = find_machine(day, g_ptr_array_index(ended, i));
        if (machine)
            machine->summary.is_draining = false;
    }
    for (guint i = 0; i < DRAINS_PER_ROUND; i++) {
        machine_summary_t *surplus =
            autoscaler_next_scale_in(day->autoscaler, day->leader, day->types, day->now, day->now);
        if (!surplus)
            break;
        surplus->accepts_starts = false;
        find_machine(day, surplus->machine)->summary.is_draining = true;
    }
    for (guint i = day->machines->len; i > 0; i--) {
        simulated_machine_t *machine = g_ptr_array_index(day->machines, i - 1);
        if (leader_is_quarantined(day->leader, machine->summary.machine))
            machine->summary.is_draining = true;
        if (machine->summary.is_draining && machine->tasks->len == 0)
            remove_machine(day, machine);
    }
}

/* Gives the leader the summaries of the machines that are up. */
static void update_summaries(day_t *day)
{
    GArray *summaries[2];
    for (guint i = 0; i < 2; i++)
        summaries[i] = g_array_new(FALSE, FALSE, sizeof(machine_summary_t));
    for (guint i = 0; i < day->machines->len; i++) {
        simulated_machine_t *machine = g_ptr_array_index(day->machines, i);
        if (machine->up_at > day->now)
            continue;
        autoscaler_remove_booting(day->autoscaler, machine->summary.machine);
        machine->summary.accepts_starts = !machine->summary.is_draining;
        machine->summary.attempts = machine->tasks->len;
        g_array_append_val(summaries[partition_of(&machine->summary)], machine->summary);
    }
    for (guint i = 0; i < 2; i++)
        leader_set_summaries(day->leader, i, summaries[i]);
}

/* Returns a machine of the partition on which the task fits. */
static simulated_machine_t *choose_machine(const day_t *day, const job_spec_t *spec,
                                           const leader_request_t *request)
{
    for (guint i = 0; i < day->machines->len; i++) {
        simulated_machine_t *machine = g_ptr_array_index(day->machines, i);
        const machine_summary_t *summary = &machine->summary;
        if (machine->up_at <= day->now && summary->accepts_starts && !summary->is_draining &&
            partition_of(summary) == request->partition &&
            (!request->request.zone[0] || strcmp(request->request.zone, summary->zone) == 0) &&
            job_spec_allows(spec, summary->type, summary->zone, summary->is_spot) &&
            resources_fit(spec->need, summary->free))
            return machine;
    }
    return NULL;
}

static void place_tasks(day_t *day)
{
    g_autoptr(GArray) requests = leader_schedule(day->leader, day->now, day->now, 500);
    for (guint i = 0; i < requests->len; i++) {
        const leader_request_t *request = &g_array_index(requests, leader_request_t, i);
        simulated_job_t *job = find_job(day, request->request.job);
        simulated_machine_t *machine = choose_machine(day, &job->spec, request);
        running_task_t task = {.need = job->spec.need};
        task.ref = task_ref(request->request.job, request->request.task, request->request.attempt);
        if (!machine) {
            attempt_result_t refused = {.ref = task.ref, .cause = CAUSE_FULL};
            leader_handle_result(day->leader, request->partition, &refused, day->now);
            continue;
        }
        bool fails_at_once = machine->is_faulty || job->is_mistaken;
        double run_s = fails_at_once ? 1 : job->spec.estimate_s * random_between(day, 5, 15) / 10.0;
        task.ends_at = day->now + (msec_t)(run_s * MS_PER_S);
        resources_add(&machine->summary.free, task.need, -1);
        g_array_append_val(machine->tasks, task);
        job->active_at = day->now;
    }
}

static void make_trouble(day_t *day)
{
    if (is_one_in(day, 4))
        submit_job(day);
    if (is_one_in(day, 10) && day->machines->len > 0)
        remove_machine(
            day, g_ptr_array_index(day->machines,
                                   (guint)random_between(day, 0, (gint32)day->machines->len - 1)));
}

void day_play_second(day_t *day)
{
    day->now += MS_PER_S;
    if (!day_are_troubles_over(day))
        make_trouble(day);
    end_due_tasks(day);
    end_finished_jobs(day);
    update_summaries(day);
    place_tasks(day);
    update_summaries(day);
    scale_out(day);
    scale_in(day);
}

day_t day_new(leader_fixture_t *fixture, guint seed)
{
    replace_leader(fixture, 2, 3);
    day_t day = {.leader = fixture->leader,
                 .autoscaler = autoscaler_new(),
                 .types = g_array_new(FALSE, FALSE, sizeof(machine_type_t)),
                 .random = g_rand_new_with_seed(seed),
                 .machines = g_ptr_array_new_with_free_func(free_machine),
                 .jobs = g_ptr_array_new_with_free_func(g_free)};
    g_array_append_vals(day.types, machine_types, G_N_ELEMENTS(machine_types));
    return day;
}

void day_clear(day_t *day)
{
    g_ptr_array_unref(day->jobs);
    g_ptr_array_unref(day->machines);
    g_rand_free(day->random);
    g_array_unref(day->types);
    autoscaler_free(day->autoscaler);
}
