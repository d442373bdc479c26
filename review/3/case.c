/* Case 3: two jobs that were submitted with a mistake fail on a machine, and are cancelled. A job
 * that is bound to the machine's zone is accepted after that. */
#include "../standins/platform.h"

#include <stdio.h>
#include <string.h>

enum {
    WAIT_MS = 90000,     /* the stated bound */
    MARGIN_MS = 500,     /* for the test's own clock readings */
    MISTAKES = 2,        /* jobs with a mistake */
    FAILURES = 4,        /* how many of their tasks have failed when the users look */
    NOTICE_MS = 2000,    /* the users then take this long to cancel the jobs */
    PAUSE_MS = 3000,     /* from the end of the troubles to the next job */
    POLL_MS = 5000
};

static const char *const zone = "ribeira";
static const double job_cpus = 4;

static void wait_for_tasks(const char *job, int count, int64_t timeout_ms)
{
    int64_t until = now_ms() + timeout_ms;
    while (tasks_on_machines(job, NULL, 0) < count) {
        if (now_ms() > until)
            finish(2, "only %d tasks of %s run", tasks_on_machines(job, NULL, 0), job);
        sleep_ms(50);
    }
}

static void cancel(const char *job)
{
    char trim[32];
    for (int i = 0; i < 20; i++) {
        if (user_abort(0, job, trim, sizeof trim) == 200)
            return;
        sleep_ms(1000);
    }
    finish(2, "%s was not cancelled", job);
}

/* Returns when the users have cancelled the jobs and none of their tasks is on a machine. */
static void make_trouble(void)
{
    job_t *jobs[MISTAKES];
    int failures = 0;
    jobs[0] = job_describe("j-000002", "sweep", zone, 2, 1, 10);
    jobs[1] = job_describe("j-000003", "sweep", zone, 2, 1, 10);
    for (int i = 0; i < MISTAKES; i++) {
        jobs[i]->is_mistaken = true;
        user_submit_until_accepted(0, jobs[i]);
    }
    int64_t until = now_ms() + 12000;
    while (failures < FAILURES && now_ms() < until) {
        sleep_ms(50);
        failures = tasks_exited(jobs[0]->id, "error") + tasks_exited(jobs[1]->id, "error");
    }
    sleep_ms(NOTICE_MS);
    for (int i = 0; i < MISTAKES; i++)
        cancel(jobs[i]->id);
    while (tasks_on_machines(jobs[0]->id, NULL, 0) + tasks_on_machines(jobs[1]->id, NULL, 0) > 0)
        sleep_ms(50);
}

int main(int argc, char **argv)
{
    /* arguments: record, temporary folder, command of the deploy file */
    if (argc < 4)
        return 2;
    char trim[32];
    record_open(argv[1]);
    fleet_init(&ondapartilhada_grown, argv + 3, argc - 3, argv[2]);
    cloud_capacity = 8;
    fleet_start();
    machine_start("alfama", false);
    machine_start(zone, false);
    fleet_wait_ready(20000);
    const job_t *long_job = job_describe("j-000001", "sweep", zone, 1, 4, 200);
    user_submit_until_accepted(0, long_job);
    wait_for_tasks(long_job->id, 1, 10000);
    if (has_trouble())
        make_trouble();
    record("the troubles are over");
    sleep_ms(PAUSE_MS);
    const job_t *job = job_describe("j-000004", "sweep", zone, 1, job_cpus, 5);
    user_submit_until_accepted(0, job);
    int64_t accepted_at = now_ms();
    int64_t polled_at = accepted_at;
    bool had_room = true;
    while (now_ms() < accepted_at + WAIT_MS + MARGIN_MS) {
        sleep_ms(50);
        if (tasks_started(job->id) > 0)
            finish(0, "held: %s started", job->id);
        had_room = had_room && largest_room(zone) >= job_cpus;
        if (now_ms() - polled_at < POLL_MS)
            continue;
        polled_at = now_ms();
        user_poll(0, job->id, trim, sizeof trim);
    }
    record("the machine in %s has room for %.1f cpus; the cloud would have rented out %d machines and "
           "was asked %d times",
           zone, largest_room(zone), cloud_capacity, cloud_asked_count);
    if (!had_room)
        finish(0, "held: there was no room in %s", zone);
    finish(1, "broken: %s has waited for 90 s while a machine that fits has room", job->id);
}
