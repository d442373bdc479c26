/* A machine is held to be faulty because of jobs with a mistake. The view changes, and the jobs are
 * cancelled. The machine stays closed, and a sound job waits beside it. */
#include <string.h>

#include "../standins-2/net.c"
#include "../standins-2/stage.c"

enum {
    BACK_MS = 3000,    /* "back about 3 s after an end" */
    ALLOWED_MS = 90000 /* "no job is left waiting for 90 s" */
};

static void submit(int node, job_t *job)
{
    for (int i = 0; i < 5 && stage_submit(node, job) != 201; i++)
        net_run(1000);
}

static void wait_until_on_machines(const job_t *job, int count)
{
    for (int i = 0; i < 150 && job_on_machines(job) < count; i++)
        net_run(100);
}

static json_int_t view_number(void)
{
    const entry_t *it = find_entry("view/number");
    return it ? json_integer_value(json_object_get(it->value, "Number")) : 0;
}

static job_t *add_mistake(void)
{
    job_t *job = job_add();
    job->pieces = 2;
    job->memory = 11;
    job->fails = true;
    snprintf(job->zone, sizeof job->zone, "ribeira");
    return job;
}

static void cancel(int node, job_t *job)
{
    for (int i = 0; i < 5 && !job->cancelled_at; i++)
        if (stage_abort(node, job) != 200)
            net_run(300);
}

int main(int argc, char **argv)
{
    (void)argc;
    site_default();
    memset(site.types[0].capacity, 0, sizeof site.types[0].capacity);
    stage_start(argv[1], argv[2]);
    for (int i = 0; i < 4; i++)
        worker_add(0, 0, true, 0);
    worker_add(0, 1, true, 0);
    net_run(2500);
    /* Each machine in alfama has 3 of 16 CPUs left, the one in ribeira 14. */
    job_t *large = job_add();
    large->pieces = 4;
    large->cpus = 13;
    large->run_s = 300;
    snprintf(large->zone, sizeof large->zone, "alfama");
    submit(1, large);
    job_t *small = job_add();
    small->run_s = 300;
    snprintf(small->zone, sizeof small->zone, "ribeira");
    submit(1, small);
    wait_until_on_machines(large, 4);
    wait_until_on_machines(small, 1);
    int leader = state_leader();
    int other = leader == 0 ? 2 : 0;
    if (job_on_machines(large) < 4 || !job_on_machines(small) || leader < 0 || leader == 1) {
        fprintf(stderr, "the case cannot run: no leader in alfama, or tasks do not run\n");
        stage_end();
        return 2;
    }
    job_t *first = add_mistake();
    job_t *second = add_mistake();
    submit(1, first);
    submit(1, second);
    net_run(4000);
    json_int_t before = view_number();
    if (!is_without_trouble()) {
        node_kill(other);
        net_run(BACK_MS);
        node_start(other);
        for (int i = 0; i < 100 && view_number() == before; i++)
            net_run(50);
    } else {
        net_run(BACK_MS);
    }
    net_run(500);
    cancel(1, first);
    cancel(1, second);
    net_run(2000);
    stage_record("the troubles are over");
    job_t *job = job_add();
    job->cpus = 4;
    job->memory = 11;
    submit(1, job);
    ms_t wait = 0;
    while (wait <= ALLOWED_MS && !job->first_start_at && net_now() - stage_began_at < 117000) {
        net_run(500);
        wait = job_waits_ms(job);
    }
    stage_record("%s: %s, %lld ms while %s had room for it", job->id,
                 job->first_start_at ? "started" : "not started", (long long)wait,
                 workers[4].name);
    stage_end();
    return wait > ALLOWED_MS;
}
