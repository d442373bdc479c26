/* Case 2: a controller ends and is started again. The leader reads the records anew, and the answer
 * to its read of the list of jobs takes a few hundred ms. A job is accepted in that time. */
#include "../standins/platform.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum {
    ENDING = 1,          /* the controller that ends; it is alone in its zone */
    WAIT_MS = 90000,     /* the stated bound */
    MARGIN_MS = 500,     /* for the test's own clock readings */
    SLOW_MIN_MS = 200,   /* the slow answer takes this long at least */
    SLOW_MAX_MS = 900,   /* and this long at most */
    AFTER_ACCEPTED_MS = 150
};

static const double job_cpus = 4;
static atomic_bool is_troubled;
static atomic_bool has_listed_done[NODES_MAX]; /* the controller reads the records as the leader */
static atomic_bool is_slow_begun;
static atomic_bool is_slow_over;
static _Atomic int64_t accepted_at;

static bool is_list_of(const http_request_t *request, const char *prefix)
{
    char under[64];
    http_query(request, "Under", under, sizeof under);
    return strcmp(request->path, "/keys") == 0 && strcmp(under, prefix) == 0;
}

/* Delays one answer: that to the leader's read of the list of jobs. */
static bool observe_state(int node, const http_request_t *request, bool before)
{
    if (!is_troubled || before)
        return true;
    if (is_list_of(request, "done/"))
        has_listed_done[node] = true;
    if (!is_list_of(request, "jobs/") || !has_listed_done[node] || is_slow_begun)
        return true;
    int64_t begin = now_ms();
    is_slow_begun = true;
    while (now_ms() < begin + SLOW_MAX_MS) {
        bool is_accepted = accepted_at && now_ms() > accepted_at + AFTER_ACCEPTED_MS;
        if (is_accepted && now_ms() > begin + SLOW_MIN_MS)
            break;
        sleep_ms(5);
    }
    record("state: a list of jobs for %s was answered after %lld ms", fleet_name(node),
           (long long)(now_ms() - begin));
    is_slow_over = true;
    return true;
}

/* Returns when the controller is ready again. */
static void make_trouble(const job_t *job)
{
    is_troubled = true;
    fleet_kill_node(ENDING);
    sleep_ms(3000);
    fleet_start_node(ENDING);
    int64_t until = now_ms() + 5000;
    while (!is_slow_begun && now_ms() < until)
        sleep_ms(2);
    if (!is_slow_begun)
        finish(2, "the leader has not read the records");
    user_submit_until_accepted(0, job);
    accepted_at = now_ms();
    while (!is_slow_over)
        sleep_ms(5);
    fleet_wait_ready(10000);
}

static void wait_for_tasks(const char *job, int count, int64_t timeout_ms)
{
    int64_t until = now_ms() + timeout_ms;
    while (tasks_on_machines(job, NULL, 0) < count) {
        if (now_ms() > until)
            finish(2, "only %d tasks of %s run", tasks_on_machines(job, NULL, 0), job);
        sleep_ms(50);
    }
    record("%d tasks of %s run", count, job);
}

int main(int argc, char **argv)
{
    /* arguments: record, temporary folder, command of the deploy file */
    if (argc < 4)
        return 2;
    char trim[32];
    record_open(argv[1]);
    state_hook = observe_state;
    fleet_init(&ondapartilhada_grown, argv + 3, argc - 3, argv[2]);
    fleet_start();
    machine_start("alfama", false);
    machine_start("alfama", false);
    fleet_wait_ready(20000);
    /* Keeps both machines, so that they are not returned, and leaves 7 cpus on each. */
    const job_t *long_job = job_describe("j-000001", "sweep", NULL, 2, 9, 300);
    const job_t *job = job_describe("j-000002", "sweep", NULL, 1, job_cpus, 5);
    const job_t *later_job = job_describe("j-000003", "sweep", NULL, 1, job_cpus, 2);
    user_submit_until_accepted(0, long_job);
    wait_for_tasks(long_job->id, 2, 15000);
    if (has_trouble()) {
        make_trouble(job);
    } else {
        user_submit_until_accepted(0, job);
    }
    int64_t over_at = now_ms();
    int64_t polled_at = over_at;
    int64_t no_room_at = 0;
    record("the troubles are over");
    sleep_ms(1000);
    user_submit_until_accepted(2, later_job);
    while (now_ms() < over_at + WAIT_MS + MARGIN_MS) {
        sleep_ms(50);
        if (tasks_started(job->id) > 0)
            finish(0, "held: %s started", job->id);
        if (largest_room(NULL) < job_cpus)
            no_room_at = now_ms();
        if (now_ms() - polled_at >= 5000) {
            polled_at = now_ms();
            user_poll(2, job->id, trim, sizeof trim);
        }
    }
    record("%s: %d starts; later %s: %d starts, %d done; room on a machine: %.1f cpus", job->id,
           tasks_started(job->id), later_job->id, tasks_started(later_job->id),
           tasks_exited(later_job->id, "done"), largest_room(NULL));
    if (no_room_at)
        finish(0, "held: there was no room %lld ms before the end",
               (long long)(now_ms() - no_room_at));
    finish(1, "broken: %s has waited for 90 s while a machine has room", job->id);
}
