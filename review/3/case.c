/* Case 3: a job that is bound to one zone loses its machine, while a machine of another zone is
 * idle. */
#include "../standins/platform.h"

#include <stdio.h>
#include <string.h>

enum {
    WAIT_MS = 105000, /* from the acceptance; a machine of the type boots in 20 s */
    POLL_MS = 5000
};

static const double image_gb = 1.6; /* fetched in 2.4 s */

static void take_machine_of(const job_t *job, machine_t *machine)
{
    int64_t until = now_ms() + 10000;
    while (tasks_known(machine, job->id) == 0) {
        if (now_ms() > until)
            finish(2, "%s got no machine", job->id);
        sleep_ms(20);
    }
    machine_take(machine);
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
    machine_t *machine = machine_start("ribeira", true);
    fleet_wait_ready(20000);
    const job_t *job = job_describe("j-000001", "sweep", "ribeira", 1, 4, 10);
    json_object_set_new(job->spec, "ImageGb", json_real(image_gb));
    user_submit_until_accepted(0, job);
    int64_t accepted_at = now_ms();
    if (has_trouble())
        take_machine_of(job, machine);
    int64_t polled_at = accepted_at;
    while (now_ms() < accepted_at + WAIT_MS) {
        sleep_ms(50);
        if (tasks_started(job->id) > 0)
            finish(0, "held: %s started", job->id);
        if (now_ms() - polled_at < POLL_MS)
            continue;
        polled_at = now_ms();
        user_poll(0, job->id, trim, sizeof trim);
    }
    record("the cloud would have rented out %d machines and was asked %d times", cloud_capacity,
           cloud_asked_count);
    finish(1, "broken: %s was accepted and no task was started", job->id);
}
