/* A random test of the readers of jobs/: the watch and the load of a view's records read the same
 * store in random order, their answers are applied late, and jobs are submitted, started and
 * cancelled in between. When all answers have been applied, the job directory, the leader and the
 * partition must agree with the store. The seed is fixed; SOAK_EVENTS sets the number of events,
 * and SOAK_SEED another seed. Time and revisions are those of the test. */
#include "controller/placement/record_loader.h"
#include "controller_fixture.h"
#include "core/membership/fencing_token.h"
#include "soak_setting.h"
#include "stored_jobs.h"

enum { DEFAULT_EVENTS = 20000, DEFAULT_SEED = 34, EVENTS_PER_CHECK = 40 };

/* An answer of the store that has not been applied yet. */
typedef struct answer {
    bool is_pending;
    GArray *entries; /* kv_entry_t, owned */
    kv_coverage_t coverage;
} answer_t;

typedef struct soak {
    controller_t *controller;
    GRand *random;
    GArray *jobs; /* stored_job_t: all jobs since the last check */
    uint64_t revision;
    msec_t now;
    bool is_watch_synced;     /* whether the watch has listed the jobs */
    uint64_t watch_revision;  /* up to which the watch has applied the changes */
    answer_t watch_answer;    /* to the watch's list or watch request */
    bool is_list;             /* whether that is the answer to a list */
    record_listing_t listing; /* of the load that is under way */
    bool has_machines;        /* the load has read machines/ */
    bool has_jobs;            /* the load has read jobs/ */
    uint64_t job_count;
} soak_t;

static guint random_below(soak_t *soak, guint count)
{
    return (guint)g_rand_int_range(soak->random, 0, (gint32)count);
}

static void submit(soak_t *soak)
{
    stored_job_t job = {.created_at = ++soak->revision};
    soak->job_count++;
    g_snprintf(job.id, sizeof job.id, "j-%06" G_GUINT64_FORMAT, soak->job_count);
    g_array_append_val(soak->jobs, job);
}

static void end_job(soak_t *soak)
{
    if (soak->jobs->len == 0)
        return;
    stored_job_t *job = stored_job_at(soak->jobs, random_below(soak, soak->jobs->len));
    if (job->ended_at)
        return;
    job->ended_at = ++soak->revision;
    /* The user may have cancelled it at this controller, or at another one that tells this one. */
    if (random_below(soak, 4) == 0)
        job_directory_record_terminal(soak->controller, job->id, false);
}

/* The store executes the request of the watch. */
static void execute_watch(soak_t *soak)
{
    if (soak->watch_answer.is_pending)
        return;
    soak->is_list = !soak->is_watch_synced;
    soak->watch_answer = (answer_t){
        .is_pending = true, .entries = kv_entries_new(), .coverage = {soak->revision, soak->now}};
    if (soak->is_list)
        stored_jobs_append_live(soak->jobs, soak->watch_answer.entries);
    else
        stored_jobs_append_changes(soak->jobs, soak->watch_revision, soak->watch_answer.entries);
}

static void apply_watch(soak_t *soak)
{
    answer_t *answer = &soak->watch_answer;
    if (!answer->is_pending)
        return;
    if (soak->is_list)
        job_directory_apply_list(soak->controller, answer->entries, answer->coverage);
    else
        job_directory_apply_changes(soak->controller, answer->entries, answer->coverage);
    soak->is_watch_synced = true;
    soak->watch_revision = answer->coverage.revision;
    g_array_unref(answer->entries);
    answer->is_pending = false;
}

/* Takes the next step of a load: reads machines/, reads jobs/, applies both. */
static void advance_load(soak_t *soak)
{
    if (soak->controller->placement.is_loaded)
        return;
    if (!soak->has_machines) {
        soak->listing = record_listing_new();
        stored_jobs_append_page(soak->jobs, soak->listing.machines);
        soak->has_machines = true;
    } else if (!soak->has_jobs) {
        soak->listing.jobs_coverage = (kv_coverage_t){soak->revision, soak->now};
        stored_jobs_append_live(soak->jobs, soak->listing.jobs);
        soak->has_jobs = true;
    } else {
        record_loader_apply(soak->controller, &soak->listing, soak->now);
        record_listing_clear(&soak->listing);
        soak->has_machines = false;
        soak->has_jobs = false;
        assert_true(soak->controller->placement.is_loaded);
    }
}

/* Installs a new view. A load that is under way was read in the former view and is dropped. */
static void change_view(soak_t *soak)
{
    view_t view = soak->controller->membership.view;
    view.number++;
    view.revision = ++soak->revision;
    if (soak->has_machines)
        record_listing_clear(&soak->listing);
    soak->has_machines = false;
    soak->has_jobs = false;
    membership_install_view(soak->controller, &view);
}

/* Returns the heartbeat of the machine's worker, which runs all recorded attempts (clear with
 * worker_heartbeat_clear). */
static worker_heartbeat_t build_heartbeat(const soak_t *soak)
{
    worker_heartbeat_t heartbeat = {
        .type = "t",
        .zone = "zone-a",
        .worker_epoch = 1,
        .heartbeat_sequence = (uint64_t)soak->now,
        .fencing_token = fencing_token_first(soak->controller->membership.view.number),
        .interruption_in_s = -1};
    g_strlcpy(heartbeat.machine, stored_machine_id, sizeof heartbeat.machine);
    g_strlcpy(heartbeat.address, "127.0.0.1:1", sizeof heartbeat.address);
    heartbeat.attempts = g_array_new(FALSE, TRUE, sizeof(reported_attempt_t));
    for (guint i = 0; i < soak->jobs->len; i++) {
        const stored_job_t *job = stored_job_at(soak->jobs, i);
        reported_attempt_t attempt = {.attempt = job->created_at, .state = TASK_RUNNING};
        g_strlcpy(attempt.job, job->id, sizeof attempt.job);
        if (job->is_recorded)
            g_array_append_val(heartbeat.attempts, attempt);
    }
    return heartbeat;
}

static void exchange_heartbeat(soak_t *soak, GArray *commands)
{
    worker_heartbeat_t heartbeat = build_heartbeat(soak);
    assert_int_equal(partition_handle_heartbeat(soak->controller->placement.partition, &heartbeat,
                                                false, soak->now, commands),
                     HEARTBEAT_ACCEPTED);
    worker_heartbeat_clear(&heartbeat);
}

/* The leader, here or elsewhere, requests the task of a job, which the partition places. The store
 * executes the transaction of the start only if the job is live. */
static void start_task(soak_t *soak)
{
    partition_t *partition = soak->controller->placement.partition;
    if (soak->jobs->len == 0 || !soak->controller->placement.is_loaded)
        return;
    stored_job_t *job = stored_job_at(soak->jobs, random_below(soak, soak->jobs->len));
    if (job->ended_at || job->is_recorded)
        return;
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    exchange_heartbeat(soak, commands);
    placement_request_t request = {.need = {1, 0, 1},
                                   .attempt = job->created_at,
                                   .job_revision = job->created_at,
                                   .team = "team-a",
                                   .image = "i"};
    g_strlcpy(request.job, job->id, sizeof request.job);
    if (!partition_place(partition, &request, soak->now))
        return;
    partition_batch_t *batch =
        partition_batch_take(partition, &(partition_limits_t){20, 80, 16384, 49152}, soak->now);
    partition_batch_commit(partition, batch, ++soak->revision, soak->now);
    partition_batch_free(batch);
    job->is_recorded = true;
}

static void play_event(soak_t *soak)
{
    soak->now += 1 + random_below(soak, 200);
    switch (random_below(soak, 16)) {
    case 0:
    case 1:
    case 2:
        submit(soak);
        break;
    case 3:
    case 4:
        end_job(soak);
        break;
    case 5:
    case 6:
        execute_watch(soak);
        break;
    case 7:
    case 8:
        apply_watch(soak);
        break;
    case 9:
    case 10:
    case 11:
        advance_load(soak);
        break;
    case 12:
        change_view(soak);
        break;
    case 13:
        soak->is_watch_synced = soak->is_watch_synced && soak->watch_answer.is_pending;
        break; /* compaction: the watch lists the jobs again */
    default:
        start_task(soak);
        break;
    }
}

/* What must hold at any time: a job that was created up to the directory's revision and is not live
 * there has ended, and the times and revisions never decrease. */
static void check_always(const soak_t *soak, const job_directory_t *before)
{
    const job_directory_t *jobs = &soak->controller->jobs;
    assert_true(jobs->revision >= before->revision);
    assert_true(jobs->complete_until >= before->complete_until);
    for (guint i = 0; i < soak->jobs->len; i++) {
        const stored_job_t *job = stored_job_at(soak->jobs, i);
        bool is_missing =
            job->created_at <= jobs->revision && !g_hash_table_contains(jobs->live, job->id);
        assert_false(is_missing && !job->ended_at);
    }
}

static bool is_stopped(const GArray *commands, const char *job)
{
    for (guint i = 0; i < commands->len; i++) {
        const worker_command_t *command = &g_array_index(commands, worker_command_t, i);
        if (command->op == COMMAND_STOP && strcmp(command->job, job) == 0)
            return true;
    }
    return false;
}

/* Applies all answers, and checks that all data agree with the store. */
static void check_after_all_answers(soak_t *soak)
{
    const controller_t *controller = soak->controller;
    g_autoptr(GArray) commands = g_array_new(FALSE, FALSE, sizeof(worker_command_t));
    while (!controller->placement.is_loaded)
        advance_load(soak);
    apply_watch(soak);
    execute_watch(soak);
    apply_watch(soak);
    soak->now++;
    exchange_heartbeat(soak, commands);
    for (guint i = 0; i < soak->jobs->len; i++) {
        const stored_job_t *job = stored_job_at(soak->jobs, i);
        assert_int_equal(g_hash_table_contains(controller->jobs.live, job->id), !job->ended_at);
        if (controller->membership.is_leader)
            assert_int_equal(leader_find_job(controller->placement.leader, job->id) != NULL,
                             !job->ended_at);
        if (job->is_recorded)
            assert_int_equal(is_stopped(commands, job->id), job->ended_at != 0);
    }
}

/* Ends all jobs, so that the next events begin without jobs and records. */
static void clear_jobs(soak_t *soak)
{
    for (guint i = 0; i < soak->jobs->len; i++)
        if (!stored_job_at(soak->jobs, i)->ended_at)
            stored_job_at(soak->jobs, i)->ended_at = ++soak->revision;
    execute_watch(soak);
    apply_watch(soak);
    g_array_set_size(soak->jobs, 0);
    change_view(soak);
}

static soak_t soak_new(const fixture_t *fixture, bool is_leader)
{
    soak_t soak = {.controller = fixture_new_idle_controller(fixture, 2),
                   .random = g_rand_new_with_seed(soak_setting("SOAK_SEED", DEFAULT_SEED)),
                   .jobs = g_array_new(FALSE, FALSE, sizeof(stored_job_t)),
                   .revision = 10,
                   .now = 1000};
    machine_type_t machine_type = {.name = "t", .capacity = {1000, 0, 1000}};
    view_t view = {.number = 1, .revision = 2, .count = 1};
    view.incarnation = soak.controller->incarnation + (is_leader ? 0 : 1);
    view.members[0].incarnation = soak.controller->incarnation;
    g_strlcpy(view.members[0].name, "controller-0", sizeof view.members[0].name);
    g_strlcpy(view.members[0].zone, "zone-a", sizeof view.members[0].zone);
    pthread_mutex_lock(&soak.controller->lock);
    g_array_append_val(soak.controller->placement.machine_types, machine_type);
    membership_install_view(soak.controller, &view);
    return soak;
}

static void play(const fixture_t *fixture, bool is_leader)
{
    guint events = soak_setting("SOAK_EVENTS", DEFAULT_EVENTS);
    soak_t soak = soak_new(fixture, is_leader);
    for (guint i = 1; i <= events; i++) {
        job_directory_t before = soak.controller->jobs;
        play_event(&soak);
        check_always(&soak, &before);
        if (i % EVENTS_PER_CHECK == 0) {
            check_after_all_answers(&soak);
            clear_jobs(&soak);
        }
    }
    pthread_mutex_unlock(&soak.controller->lock);
    g_rand_free(soak.random);
    g_array_unref(soak.jobs);
}

/* Guards against jobs that a controller loses, restores or does not stop, in any order of the
 * answers of its two readers, as a member and as the leader. */
static void test_a_member_agrees_with_the_store_after_any_order_of_answers(void **state)
{
    play(*state, false);
}

static void test_a_leader_agrees_with_the_store_after_any_order_of_answers(void **state)
{
    play(*state, true);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(test_a_member_agrees_with_the_store_after_any_order_of_answers,
                               setup_fakes),
        cmocka_unit_test_setup(test_a_leader_agrees_with_the_store_after_any_order_of_answers,
                               setup_fakes),
    };
    fixture_run_tests("controller_job_lists_soak", tests, G_N_ELEMENTS(tests));
}
