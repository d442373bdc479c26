/* A swarm of one-task jobs fills the record of one machine. Another machine is idle. */
#include <string.h>

#include "../standins-2/net.c"
#include "../standins-2/stage.c"

enum {
    JOBS = 84,
    GAP_MS = 250,      /* four a second */
    ALLOWED_MS = 90000 /* "no job is left waiting for 90 s", once the swarm is over */
};

static void use_small_site(void)
{
    site_default();
    site.zones[0] = "gyor";
    site.zones[1] = "szeged";
    site.node_zones[0] = site.node_zones[2] = "gyor";
    site.node_zones[1] = "szeged";
    site.teams[0] = (team_t){"egyetemilabor", 0, 176};
    site.teams[1] = (team_t){0};
    site.types[0] = (type_t){"turul", 64, 128, 3.85, 1.02, 15, {{0}}};
    site.types[1] = (type_t){"fecske", 4, 8, 0.24, 0.07, 40, {{0}}};
    site.report_s = 1.5;
    site.lease_s = 12;
    site.cancel_s = 37;
    site.rps = 250;
    site.write_rps = 80;
    site.txn_ops = 48;
    site.list_lag_s = 4;
    site.fd_limit = 700;
}

/* Submits one job of this many tasks. */
static void submit(int number, int pieces)
{
    job_t *job = job_add();
    job->pieces = pieces;
    job->cpus = 0.5;
    job->memory = 1;
    job->run_s = 300;
    snprintf(job->image, sizeof job->image,
             "egyetemilabor/probafotok-single-sample-check:2026-12-06.1");
    user_submit_later(number % NODES, job);
}

/* Sends each submission that was put off again, as users do. */
static void repeat_submissions(void)
{
    for (int i = 0; i < job_count; i++)
        if (!jobs[i].accepted_at && net_now() - jobs[i].submitted_at > 1500)
            user_submit_later(i % NODES, &jobs[i]);
}

static ms_t longest_wait(int *waiting)
{
    ms_t longest = 0;
    *waiting = 0;
    for (int i = 0; i < job_count; i++) {
        ms_t wait = job_waits_ms(&jobs[i]);
        *waiting += wait > 0;
        longest = wait > longest ? wait : longest;
    }
    return longest;
}

int main(int argc, char **argv)
{
    int waiting = 0;
    ms_t wait = 0;
    (void)argc;
    use_small_site();
    stage_start(argv[1], argv[2]);
    worker_add(0, 0, false, 0);
    worker_add(1, 1, false, 0);
    net_run(2000);
    /* Without the swarm, as many tasks come as arrays of twelve. */
    int pieces = is_without_trouble() ? 12 : 1;
    for (int i = 0; i < JOBS / pieces; i++) {
        submit(i, pieces);
        net_run(GAP_MS * pieces);
        if (i % 8 == 7)
            repeat_submissions();
    }
    ms_t swarm_ended_at = net_now();
    stage_record("the swarm is over");
    while (net_now() - stage_began_at < 117000 && wait <= ALLOWED_MS) {
        net_run(1000);
        wait = longest_wait(&waiting);
        if (wait > net_now() - swarm_ended_at)
            wait = net_now() - swarm_ended_at;
        if ((net_now() - stage_began_at) / 1000 % 3 == 0)
            repeat_submissions();
        if (waiting == 0 && net_now() - stage_began_at > 45000)
            break;
    }
    stage_record("%d jobs wait, the longest for %lld ms since the swarm; on %s %d tasks, on %s %d", waiting,
           (long long)wait, workers[0].name, workers[0].task_count, workers[1].name,
           workers[1].task_count);
    stage_end();
    return wait > ALLOWED_MS;
}
