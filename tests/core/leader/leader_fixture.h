/* A leader without machines and jobs, and helpers that add machines, jobs and attempts to it. */
#ifndef PEPPERPULLEY_LEADER_FIXTURE_H
#define PEPPERPULLEY_LEADER_FIXTURE_H

#include "core/leader/leader.h"

/* The state that cmocka passes to a test. */
typedef struct leader_fixture {
    GArray *teams;    /* team_t, owned: team-a has 8 cpus guaranteed and 24 at most; team-b has 24
                         guaranteed and no limit */
    GHashTable *slos; /* class name -> slo_t; empty */
    policy_t *policy; /* the defaults */
    leader_t *leader; /* of two partitions, in view 3 */
} leader_fixture_t;

/* Setup and teardown functions for cmocka. */
int set_up_leader(void **state);
int tear_down_leader(void **state);

/* Replaces the leader by a new one for the fixture's teams, as after a change of leader. */
void replace_leader(leader_fixture_t *fixture, guint partitions, uint64_t view);
/* Adds a team to the fixture. The leader knows it only after replace_leader. */
void add_team(leader_fixture_t *fixture, const char *name, double guaranteed_cpus, double max_cpus);

/* Returns a job of normal priority, submitted at 1000 ms, whose tasks need 2 cpus for 10 s. */
job_spec_t make_job(const char *id, const char *team, uint32_t tasks);
void add_job(leader_fixture_t *fixture, const job_spec_t *spec);

/* Gives the partition a single machine, in this zone and with all of its cpus free. */
void set_idle_machine(leader_fixture_t *fixture, guint partition, const char *zone, double cpus);
/* Gives the partition a single machine, in this zone and with only free_cpus of its cpus free. */
void set_machine(leader_fixture_t *fixture, guint partition, const char *zone, double cpus,
                 double free_cpus);

/* Returns the entry of an attempt of 2 cpus in a machine's record. */
record_entry_t make_record_entry(const char *job, const char *team, uint32_t task,
                                 uint64_t attempt);
void load_attempt(leader_fixture_t *fixture, const record_entry_t *entry, const char *zone,
                  guint partition);

/* Runs a placement round at 1000 ms on the steady clock and 2000 ms on the wall clock. Returns an
 * array of leader_request_t. */
GArray *schedule(leader_fixture_t *fixture);
/* Runs such a round and returns its number of requests. */
guint schedule_and_count(leader_fixture_t *fixture);
/* Returns how many of the requests are for the job. */
guint count_requests(const GArray *requests, const char *job);
const leader_request_t *request_at(const GArray *requests, guint index);

/* Passes a result to the leader at 1000 ms. */
void handle_result(leader_fixture_t *fixture, guint partition, task_ref_t ref, cause_t cause);
/* Reports to the leader that the requested task is done. */
void finish_task(leader_fixture_t *fixture, const leader_request_t *leader_request);

#endif
