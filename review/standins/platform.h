/* Stand-ins of the cloud, the machines with their workers, and the controllers' processes, with
 * the settings of a small deployment. Follow PROTOCOL. */
#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

#include "common.h"
#include "state.h"

enum { MACHINES_MAX = 16, JOBS_MAX = 64, TASKS_MAX = 64 };

/* A deployment, in the values of its site file. All machines are of one type. */
typedef struct deployment {
    int nodes;
    const char *zones[4];
    int zone_count;
    int report_ms, lease_ms, cancel_ms;
    double list_lag_s;
    double state_rps, state_write_rps;
    state_limits_t limits;
    const char *type;
    double type_cpus, type_memory_gb, price, spot_price, boot_s;
    const char *teams[2]; /* the first one submits the jobs of the cases */
    double team_cpus[2], team_cpus_max;
    const char *class_name; /* of the jobs of the cases */
    int fd_limit;
    double clock_off_ms;
} deployment_t;

extern const deployment_t ondapartilhada_grown;
extern const deployment_t fotominoseg_grown;
/* The deployment of this test, set by fleet_init. */
extern const deployment_t *deployment;

/* A job, as its user uploaded it for the workers. */
typedef struct job {
    char id[24];
    json_t *spec;  /* body of the submission */
    double run_s;  /* how long each task runs */
    bool is_mistaken; /* submitted with a mistake: its tasks fail on every machine */
} job_t;

/* Registers the job for the workers, so that they can fetch it. Does not submit it. */
job_t *job_describe(const char *id, const char *kind, const char *zone, int tasks, double cpus,
                    double run_s);

/* A task of which a machine knows. */
typedef struct task {
    char piece[48];
    char job[24];
    uint64_t heave;
    char trim[12]; /* pulling, running, saving, exited */
    const char *cause;
    double cpus;
    int64_t pulled_at;
    int64_t ends_at;
} task_t;

typedef struct machine {
    char id[16];
    const char *zone;
    int port;
    bool is_spot;
    bool is_booting;
    int64_t rented_at;
    int64_t image_ready_at; /* when it has the image, which all jobs share; 0: not fetched */
    bool is_gone;
    uint64_t watch, tally, helm;
    int64_t renewed_at, sent_at;
    bool is_changed;
    int64_t token_change_at;
    int node; /* to which it reports */
    task_t tasks[TASKS_MAX];
    int task_count;
    uint64_t answered; /* reports that got a 200 */
} machine_t;

/* Starts a machine that is up, with its worker. */
machine_t *machine_start(const char *zone, bool is_spot);
/* The cloud takes the machine back without notice. */
void machine_take(machine_t *machine);
/* How many machines the cloud rents out in all; at first none. They boot for the usual time. */
extern int cloud_capacity;
/* How many requests for machines the cloud has got. */
extern int cloud_asked_count;
void cloud_start(void);
int cloud_port(void);

/* What is on the machines now: counts the tasks of the job that have their image and have not
 * exited. Writes their names to the text if it is not NULL. */
int tasks_on_machines(const char *job, char *text, size_t size);
/* Ends one running task of the job, which then reports that it failed. Returns false if none runs. */
bool end_task(const char *job);
/* Returns of how many tasks of the job the machine knows, in any state. */
int tasks_known(const machine_t *machine, const char *job);
/* Returns how many times tasks of the job got their image (started). */
int tasks_started(const char *job);
/* Returns how many tasks of the job exited with the cause. */
int tasks_exited(const char *job, const char *cause);
/* Returns the free cpus of the machine with the most. */
double largest_room(const char *zone);
extern machine_t machines[MACHINES_MAX];
extern int machine_count;

/* Prepares the controllers and starts the state service and the cloud. command: that of the deploy
 * file. */
void fleet_init(const deployment_t *chosen, char **command, int words, const char *folder);
/* Starts all controllers. */
void fleet_start(void);
void fleet_start_node(int node);
void fleet_kill_node(int node);
/* Waits until all controllers are ready and every machine's reports get a 200; ends the test with
 * 2 if that takes too long. */
void fleet_wait_ready(int64_t timeout_ms);
/* Refuses new connections between controllers until called with false. Open ones stay. */
void fleet_refuse_peers(bool is_refused);
int fleet_port(int node);
const char *fleet_name(int node);
/* The node with that name, or -1. */
int fleet_node(const char *name);
int fleet_size(void);

/* A user's request, recorded. Returns the status; trim receives `Trim`. */
int user_submit(int node, const job_t *job, char *trim, size_t size);
int user_abort(int node, const char *job, char *trim, size_t size);
int user_poll(int node, const char *job, char *trim, size_t size);
/* Submits until it is accepted, for 20 s; ends the test with 2 if it is not. */
void user_submit_until_accepted(int node, const job_t *job);

/* Reads TROUBLE from the environment: false if it is 0. */
bool has_trouble(void);

#endif
