/* A leader without machines and jobs, and builders for what its tests put into it. */
#ifndef PEPPERPULLEY_LEADER_FIXTURE_H
#define PEPPERPULLEY_LEADER_FIXTURE_H

#include "core/leader/leader.h"

/* What cmocka hands to a test as its state. */
typedef struct leader_fixture {
    GArray *teams;    /* team_t, owned: team-a has 8 cpus guaranteed and 24 at most; team-b has 24
                         guaranteed and no limit */
    GHashTable *slos; /* class name -> slo_t; empty */
    policy_t *policy; /* the defaults */
    leader_t *leader; /* of two partitions, in view 3 */
} leader_fixture_t;

/* cmocka's setup and teardown. */
int set_up_leader(void **state);
int tear_down_leader(void **state);

/* Makes a new leader of the fixture's teams, as after a change of leader. */
void replace_leader(leader_fixture_t *fixture, guint partitions, uint64_t view);
/* For replace_leader. */
void add_team(leader_fixture_t *fixture, const char *name, double guaranteed_cpus, double max_cpus);

/* A job of 2 cpus a task, ten seconds each, submitted at 1000 ms with normal priority. */
job_spec_t make_job(const char *id, const char *team, uint32_t tasks);
void add_job(leader_fixture_t *fixture, const job_spec_t *spec);

/* The partition's only machine is in the zone and has so many cpus, all of them free. */
void set_idle_machine(leader_fixture_t *fixture, guint partition, const char *zone, double cpus);
/* The same with some cpus in use. */
void set_machine(leader_fixture_t *fixture, guint partition, const char *zone, double cpus,
                 double free_cpus);

/* An attempt of 2 cpus as a machine's record has it. */
record_entry_t make_record_entry(const char *job, const char *team, uint32_t task,
                                 uint64_t attempt);
void load_attempt(leader_fixture_t *fixture, const record_entry_t *entry, const char *zone,
                  guint partition);

/* A placement round at 1000 ms, 2000 ms by the time of day: array of leader_request_t. */
GArray *schedule(leader_fixture_t *fixture);
/* The number of requests of such a round. */
guint schedule_count(leader_fixture_t *fixture);
/* How many of the requests are for the job. */
guint count_requests(const GArray *requests, const char *job);
const leader_request_t *request_at(const GArray *requests, guint index);

/* A result arrives at 1000 ms. */
void handle_result(leader_fixture_t *fixture, guint partition, task_ref_t ref, cause_t cause);
/* The requested task is done. */
void finish(leader_fixture_t *fixture, const leader_request_t *made);

#endif
