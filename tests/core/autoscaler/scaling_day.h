/* A simulated day for tests of scaling: a cloud that provides machines, partitions that place tasks
 * at once, and troubles in the first seconds of the day. Everything follows from the seed. */
#ifndef PEPPERPULLEY_SCALING_DAY_H
#define PEPPERPULLEY_SCALING_DAY_H

#include "core/autoscaler/autoscaler.h"
#include "leader_fixture.h"

enum { TROUBLES_S = 200 }; /* how long jobs arrive, machines are lost and the cloud refuses some */

/* A task that runs on a machine. */
typedef struct running_task {
    task_ref_t ref;
    resources_t need;
    msec_t ends_at;
} running_task_t;

/* A machine that the cloud provided. */
typedef struct simulated_machine {
    machine_summary_t summary;
    msec_t up_at;
    GArray *tasks; /* running_task_t, owned */
    bool is_faulty;
} simulated_machine_t;

/* What the test knows about a job. */
typedef struct simulated_job {
    job_spec_t spec;
    bool is_mistaken;
    msec_t active_at; /* when it last had an outstanding task or ended one */
} simulated_job_t;

typedef struct day {
    leader_t *leader; /* borrowed from the fixture */
    autoscaler_t *autoscaler;
    GArray *types; /* machine_type_t */
    GRand *random;
    GPtrArray *machines; /* simulated_machine_t, owned */
    GPtrArray *jobs;     /* simulated_job_t, owned: live jobs */
    guint machine_count; /* provided so far */
    guint job_count;
    msec_t now;
} day_t;

/* Returns a day that begins without jobs and machines, for a new leader of the fixture. */
day_t day_new(leader_fixture_t *fixture, guint seed);
void day_clear(day_t *day);
/* Plays one second: events, placement, scale-out and scale-in. */
void day_play_second(day_t *day);
bool day_are_troubles_over(const day_t *day);

#endif
