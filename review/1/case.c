/* Case 1: a controller joins, and a job is cancelled between its read of the records and its first
 * read of the list of jobs, while connections between controllers are refused. */
#include "../standins/platform.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum {
    JOINING = 1,          /* the controller that joins, alone in its zone */
    TASKS = 4,            /* one on each machine of that zone */
    HOLD_MAX_MS = 1500,   /* most by which the request is delayed; about 600 suffice */
    REFUSED_MS = 40000,   /* how long connections between controllers are refused */
    MARGIN_MS = 500,      /* for the test's own clock readings, added to cancel_s */
    OBSERVED_MS = 6000    /* after the end of cancel_s */
};

static atomic_bool is_joining;      /* the controller has been started again */
static atomic_bool has_read_pages;  /* it has asked for the machines' records */
static atomic_bool has_loaded;      /* it has got them and the list of jobs */
static atomic_bool is_cancelled;    /* the user has the answer */
static atomic_bool is_held;
static int64_t refused_at; /* when connections between controllers began to be refused */

static bool is_list_of(const http_request_t *request, const char *prefix)
{
    char under[64];
    http_query(request, "Under", under, sizeof under);
    return strcmp(request->path, "/keys") == 0 && strcmp(under, prefix) == 0;
}

/* Delays one request of the joining controller, its first read of the list of jobs. */
static bool observe_state(int node, const http_request_t *request, bool before)
{
    if (node != JOINING || !is_joining)
        return true;
    if (before && is_list_of(request, "machines/"))
        has_read_pages = true;
    if (!is_list_of(request, "jobs/"))
        return true;
    if (!before && has_read_pages)
        has_loaded = true;
    if (before && !has_read_pages && !is_held) {
        is_held = true;
        int64_t until = now_ms() + HOLD_MAX_MS;
        record("state: the first list of jobs for %s is delayed", fleet_name(node));
        while (!is_cancelled && now_ms() < until)
            sleep_ms(5);
        record("state: the delayed request arrives");
    }
    return true;
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

static void make_trouble(void)
{
    fleet_kill_node(JOINING);
    sleep_ms(6000);
    fleet_refuse_peers(true);
    refused_at = now_ms();
    is_joining = true;
    fleet_start_node(JOINING);
    int64_t until = now_ms() + 2500;
    while (!has_loaded && now_ms() < until)
        sleep_ms(5);
    if (!has_loaded)
        finish(2, "%s has not read the records", fleet_name(JOINING));
    sleep_ms(50);
}

static int64_t cancel(const char *job)
{
    char trim[32];
    for (int i = 0; i < 60; i++) {
        int status = user_abort(0, job, trim, sizeof trim);
        if (status == 200 && strcmp(trim, "cancelled") == 0) {
            is_cancelled = true;
            return now_ms();
        }
        sleep_ms(1000);
    }
    finish(2, "%s was not cancelled", job);
}

int main(int argc, char **argv)
{
    /* arguments: record, temporary folder, command of the deploy file */
    if (argc < 4)
        return 2;
    record_open(argv[1]);
    state_hook = observe_state;
    fleet_init(&fotominoseg_grown, argv + 3, argc - 3, argv[2]);
    fleet_start();
    for (int i = 0; i < TASKS; i++)
        machine_start("szeged", false);
    machine_start("gyor", false);
    fleet_wait_ready(20000);
    const job_t *job = job_describe("j-000001", "sweep", "szeged", TASKS, 10, 300);
    user_submit_until_accepted(0, job);
    wait_for_tasks(job->id, TASKS, 15000);
    if (has_trouble())
        make_trouble();
    int64_t cancelled_at = cancel(job->id);
    bool is_over = false;
    char names[512];
    bool is_broken = false;
    while (now_ms() < cancelled_at + deployment->cancel_ms + OBSERVED_MS) {
        sleep_ms(100);
        if (has_trouble() && !is_over && now_ms() - refused_at > REFUSED_MS) {
            fleet_refuse_peers(false);
            is_over = true;
        }
        int64_t age_ms = now_ms() - cancelled_at;
        int count = tasks_on_machines(job->id, names, sizeof names);
        if (age_ms > deployment->cancel_ms + MARGIN_MS && count > 0 && !is_broken) {
            record("BROKEN: %.1f s after the cancellation was confirmed, on machines:%s",
                   (double)age_ms / 1000, names);
            is_broken = true;
        }
        if (count == 0 && age_ms > 3000 && !is_broken) {
            sleep_ms(3000);
            if (tasks_on_machines(job->id, NULL, 0) == 0)
                break;
        }
    }
    if (is_broken)
        finish(1, "ran_cancelled is broken");
    finish(0, "ran_cancelled held: no task of the cancelled job is on a machine");
}
