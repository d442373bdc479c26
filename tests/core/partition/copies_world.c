#include "copies_world.h"

#include <stdio.h>
#include <string.h>

#include "core/partition/partition_internal.h"
#include "unit_test.h"

enum {
    FIRST_VIEW = 7,
    STEP_MAX_MS = 120,
};

bool world_chance(world_t *world, guint percent)
{
    return g_rand_int_range(world->random, 0, 100) < (gint32)percent;
}

guint world_pick(world_t *world, guint count)
{
    return (guint)g_rand_int_range(world->random, 0, (gint32)count);
}

char *world_attempt_name(const char *job, uint32_t task, uint64_t attempt)
{
    return g_strdup_printf("%s/%u@%" G_GUINT64_FORMAT, job, task, attempt);
}

void world_fail(const world_t *world, const char *what, const char *name)
{
    printf("seed %u step %u: %s: %s\n", world->seed, world->step, name, what);
    fail();
}

static void sent_push_free(gpointer data)
{
    sent_push_t *push = data;
    g_array_unref(push->commands);
    g_free(push);
}

static void heartbeat_free(gpointer data)
{
    worker_heartbeat_clear(data);
    g_free(data);
}

static void page_free(gpointer data)
{
    page_record_t *record = data;
    g_array_unref(record->machines);
    g_free(record);
}

static void replace_job(world_t *world, world_job_t *job)
{
    *job = (world_job_t){0};
    g_snprintf(job->id, sizeof job->id, "j-%06u", ++world->last_job);
}

world_t *world_new(const partition_fixture_t *fixture, guint seed)
{
    world_t *world = g_new0(world_t, 1);
    *world = (world_t){.fixture = fixture,
                       .random = g_rand_new_with_seed(seed),
                       .seed = seed,
                       .now = MS_PER_S,
                       .view = FIRST_VIEW,
                       .revision = 1};
    world->partition = partition_fixture_new_partition(fixture, world->view);
    world->pages = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, page_free);
    world->copies = g_ptr_array_new_with_free_func(sent_push_free);
    world->heartbeats = g_ptr_array_new_with_free_func(heartbeat_free);
    world->started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->over = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    world->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < WORLD_MACHINES; i++) {
        char id[ID_BYTES];
        g_snprintf(id, sizeof id, "m-%06u", i + 1);
        world->machines[i].worker = fake_worker_new(id);
        world->machines[i].answer_commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    }
    for (guint i = 0; i < WORLD_JOBS; i++)
        replace_job(world, &world->jobs[i]);
    return world;
}

void world_free(world_t *world)
{
    for (guint i = 0; i < WORLD_MACHINES; i++) {
        world_machine_drop_heartbeat(&world->machines[i]);
        world_machine_drop_push(&world->machines[i]);
        fake_worker_free(world->machines[i].worker);
        g_array_unref(world->machines[i].answer_commands);
    }
    partition_free(world->partition);
    g_hash_table_unref(world->pages);
    g_ptr_array_unref(world->copies);
    g_ptr_array_unref(world->heartbeats);
    g_hash_table_unref(world->started);
    g_hash_table_unref(world->over);
    g_hash_table_unref(world->listed);
    g_rand_free(world->random);
    g_free(world);
}

world_job_t *world_find_job(world_t *world, const char *id)
{
    for (guint i = 0; i < WORLD_JOBS; i++)
        if (strcmp(world->jobs[i].id, id) == 0)
            return &world->jobs[i];
    return NULL;
}

/* Takes the results as the leader does, and acknowledges those that are done. */
static void take_results(world_t *world)
{
    const GArray *results = partition_results(world->partition);
    for (guint i = 0; i < results->len; i++) {
        const attempt_result_t *result = &g_array_index(results, attempt_result_t, i);
        const task_ref_t *ref = &result->ref;
        g_hash_table_add(world->over, world_attempt_name(ref->job, ref->task, ref->attempt));
        world_job_t *job = world_find_job(world, ref->job);
        if (job && job->attempts[ref->task] == ref->attempt) {
            job->attempts[ref->task] = 0;
            job->is_finished[ref->task] |= result->cause == CAUSE_DONE;
        }
        if (result->cause == CAUSE_DONE)
            partition_acknowledge_result(world->partition, ref);
    }
    partition_clear_results(world->partition);
}

static void end_job(world_t *world, world_job_t *job)
{
    job->is_end_known = true;
    partition_end_job(world->partition, job->id);
}

static bool has_cancelled_job(world_t *world, const partition_batch_t *batch)
{
    bool has_cancelled = false;
    for (guint i = 0; i < WORLD_JOBS; i++) {
        world_job_t *job = &world->jobs[i];
        if (job->is_cancelled && g_hash_table_contains(batch->jobs, job->id)) {
            end_job(world, job);
            has_cancelled = true;
        }
    }
    return has_cancelled;
}

static page_record_t *copy_page(const page_record_t *record, uint64_t revision)
{
    page_record_t *copy = g_new0(page_record_t, 1);
    *copy = *record;
    copy->revision = revision;
    copy->machines = machine_records_new();
    for (guint i = 0; i < record->machines->len; i++) {
        machine_record_t machine = g_array_index(record->machines, machine_record_t, i);
        machine.entries = g_array_copy(machine.entries);
        g_array_append_val(copy->machines, machine);
    }
    return copy;
}

static void store_batch(world_t *world, const partition_batch_t *batch)
{
    world->revision++;
    for (guint i = 0; i < batch->records->len; i++) {
        const page_record_t *record = &g_array_index(batch->records, page_record_t, i);
        char name[PAGE_NAME_BYTES];
        page_name(record->shard, record->page, name, sizeof name);
        if (record->machines->len)
            g_hash_table_replace(world->pages, g_strdup(name), copy_page(record, world->revision));
        else
            g_hash_table_remove(world->pages, name);
    }
}

/* Restores the leader's outstanding attempts from a record. */
static void load_outstanding(world_t *world, const page_record_t *record)
{
    for (guint i = 0; i < record->machines->len; i++) {
        const GArray *entries = g_array_index(record->machines, machine_record_t, i).entries;
        for (guint k = 0; k < entries->len; k++) {
            const record_entry_t *entry = &g_array_index(entries, record_entry_t, k);
            world_job_t *job = world_find_job(world, entry->job);
            if (job)
                job->attempts[entry->task] = entry->attempt;
            if (!job || job->is_cancelled)
                partition_end_job(world->partition, entry->job);
        }
    }
}

/* A new view, in which the records are read by a new owner, or by the same one once more. */
static void change_view(world_t *world)
{
    partition_free(world->partition);
    world->partition = partition_fixture_new_partition(world->fixture, ++world->view);
    g_hash_table_remove_all(world->listed);
    for (guint i = 0; i < WORLD_MACHINES; i++) {
        world_machine_drop_push(&world->machines[i]);
        world->machines[i].is_answer_counted = false;
    }
    for (guint i = 0; i < WORLD_JOBS; i++) {
        memset(world->jobs[i].attempts, 0, sizeof world->jobs[i].attempts);
        world->jobs[i].is_end_known = world->jobs[i].is_cancelled;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, world->pages);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        partition_load_record(world->partition, value, world->now);
        load_outstanding(world, value);
    }
}

static void play_commit(world_t *world)
{
    const partition_limits_t limits = {
        .ops = 20, .jobs = 80, .value_max = 16384, .bytes = KV_TXN_VALUES_BYTES};
    partition_tick(world->partition, world->now);
    partition_batch_t *batch = partition_batch_take(world->partition, &limits, world->now);
    bool is_refused = has_cancelled_job(world, batch) || world_chance(world, 5);
    bool is_answered = world_chance(world, 98);
    if (!is_refused && (is_answered || world_chance(world, 50)))
        store_batch(world, batch);
    if (is_answered && is_refused)
        partition_batch_undo(world->partition, batch);
    else if (is_answered)
        partition_batch_commit(world->partition, batch, world->revision, world->now);
    partition_batch_free(batch);
    if (!is_answered)
        change_view(world);
}

static void play_placement(world_t *world)
{
    world_job_t *job = &world->jobs[world_pick(world, WORLD_JOBS)];
    uint32_t task = world_pick(world, WORLD_JOB_TASKS);
    if (job->is_cancelled || job->is_finished[task] || job->attempts[task])
        return;
    placement_request_t request = placement_request_of(job->id, task, ++world->last_attempt, 4);
    request.checkpoint_s = world_chance(world, 50) ? 1 : 0;
    if (partition_place(world->partition, &request, world->now))
        job->attempts[task] = request.attempt;
}

static bool is_over(const world_job_t *job)
{
    for (guint task = 0; task < WORLD_JOB_TASKS; task++)
        if (job->attempts[task] || !(job->is_cancelled || job->is_finished[task]))
            return false;
    return true;
}

/* Cancels a job, lets the partition learn of it, or replaces a job that is over. */
static void play_job(world_t *world)
{
    world_job_t *job = &world->jobs[world_pick(world, WORLD_JOBS)];
    if (is_over(job)) {
        end_job(world, job);
        replace_job(world, job);
    } else if (!job->is_cancelled && world_chance(world, 40)) {
        job->is_cancelled = true;
        if (world_chance(world, 50))
            end_job(world, job);
    } else if (job->is_cancelled) {
        end_job(world, job);
    }
}

static void play_withdrawal(world_t *world)
{
    const world_job_t *job = &world->jobs[world_pick(world, WORLD_JOBS)];
    uint32_t task = world_pick(world, WORLD_JOB_TASKS);
    task_ref_t ref = task_ref(job->id, task, job->attempts[task]);
    if (ref.attempt && world_chance(world, 20))
        partition_withdraw_placement(world->partition, &ref, world->now);
}

static void play_drain(world_t *world)
{
    const world_machine_t *machine = &world->machines[world_pick(world, WORLD_MACHINES)];
    partition_set_draining(world->partition, machine->worker->id, world_chance(world, 10));
}

/* An attempt ends on its worker; some at once, as a refused one does. */
static void play_exit(world_t *world)
{
    static const cause_t causes[] = {CAUSE_DONE, CAUSE_ERROR,  CAUSE_ERROR,
                                     CAUSE_FULL, CAUSE_IN_USE, CAUSE_NO_SUCH};
    fake_worker_t *worker = world->machines[world_pick(world, WORLD_MACHINES)].worker;
    if (worker->attempts->len == 0)
        return;
    reported_attempt_t *attempt = &g_array_index(worker->attempts, reported_attempt_t,
                                                 world_pick(world, worker->attempts->len));
    if (attempt->state == TASK_EXITED)
        return;
    attempt->state = TASK_EXITED;
    attempt->cause = causes[world_pick(world, G_N_ELEMENTS(causes))];
}

static void play_rare_event(world_t *world)
{
    if (world_chance(world, 50))
        fake_worker_expire_lease(world->machines[world_pick(world, WORLD_MACHINES)].worker);
    else
        change_view(world);
}

static void play_event(world_t *world)
{
    guint luck = world_pick(world, 1000);
    if (luck < 400)
        world_play_heartbeat(world);
    else if (luck < 600)
        world_play_push(world);
    else if (luck < 690)
        world_play_copy(world);
    else if (luck < 700)
        world_play_heartbeat_copy(world);
    else if (luck < 780)
        play_commit(world);
    else if (luck < 880)
        play_placement(world);
    else if (luck < 920)
        play_exit(world);
    else if (luck < 960)
        play_job(world);
    else if (luck < 980)
        play_withdrawal(world);
    else if (luck < 994)
        play_drain(world);
    else
        play_rare_event(world);
}

/* Checks the attempts that the worker started since the last check. */
static void check_starts(world_t *world, world_machine_t *machine)
{
    const GArray *started = machine->worker->started;
    for (; machine->checked_starts < started->len; machine->checked_starts++) {
        const task_ref_t *ref = &g_array_index(started, task_ref_t, machine->checked_starts);
        char *name = world_attempt_name(ref->job, ref->task, ref->attempt);
        if (g_hash_table_contains(world->over, name))
            world_fail(world, "an attempt starts after it was reported as over", name);
        if (!g_hash_table_add(world->started, name))
            world_fail(world, "an attempt starts twice",
                       world_attempt_name(ref->job, ref->task, 0));
        world->attempts_started++;
    }
}

static void check_machines(world_t *world)
{
    g_autoptr(GHashTable) active = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < WORLD_MACHINES; i++) {
        check_starts(world, &world->machines[i]);
        const GArray *attempts = world->machines[i].worker->attempts;
        for (guint k = 0; k < attempts->len; k++) {
            const reported_attempt_t *attempt = &g_array_index(attempts, reported_attempt_t, k);
            char *task = world_attempt_name(attempt->job, attempt->task, 0);
            if (attempt->state == TASK_EXITED)
                g_free(task);
            else if (!g_hash_table_add(active, task))
                world_fail(world, "a task is on two machines", task);
        }
    }
}

void world_play_step(world_t *world)
{
    world->step++;
    world->now += 1 + world_pick(world, STEP_MAX_MS);
    play_event(world);
    take_results(world);
    check_machines(world);
}
