/* A small deployment on loopback: the project's controllers as processes, and stand-ins of the
 * state service, the cloud, the workers and the users, in this process. The stand-ins follow
 * PROTOCOL-pepperpulley.md; where it is silent they behave like sound servers. */
#ifndef REVIEW_STAGE_H
#define REVIEW_STAGE_H

#include <stdio.h>

#include "net.h"

enum { NODES = 3, WORKERS_MAX = 64, ZONES_MAX = 4, TASKS_MAX = 400, JOBS_MAX = 4000, TYPES_MAX = 4 };

/* How the state service treats a node. */
typedef enum {
    STATE_OK,
    STATE_REFUSE, /* answers 503; open watches wait */
    STATE_SILENT  /* nothing arrives there and nothing comes back */
} state_mode_t;

typedef struct node {
    char name[32];
    char zone[32];
    int port;       /* users and workers */
    int peer_port;
    int state_port; /* of the state service, for this node alone */
    int cloud_port; /* of the cloud, for this node alone */
    bool is_cut_from_cloud;
    relay_t *peers[NODES]; /* for calls of this node to another */
    relay_t *fronts[ZONES_MAX]; /* for connections of the workers of a zone to this node */
    int pid;               /* 0: not running */
    state_mode_t state;
    ms_t state_delay;      /* of each answer of the state service */
    char settings[256];
    char log[256];
} node_t;

typedef struct team {
    const char *name;
    double cpus, cpus_max;
} team_t;

typedef struct type {
    const char *name;
    double cpus, memory, price, spot_price, boot_s;
    int capacity[ZONES_MAX][2]; /* machines that the cloud has, by zone; [1]: spot */
} type_t;

/* The deployment. Set it before stage_start(). */
typedef struct site {
    const char *zones[ZONES_MAX];
    const char *node_zones[NODES];
    team_t teams[4];
    type_t types[TYPES_MAX];
    double report_s, lease_s, cancel_s;
    double rps, write_rps;
    int txn_ops;
    double value_kb;
    double list_lag_s;
    double core_share, ram_mb;
    int fd_limit;
    double fetch_s; /* of an image that a machine does not have */
} site_t;

extern site_t site;
extern node_t nodes[NODES];

typedef enum { PULLING, RUNNING, SAVING, EXITED } task_state_t;

typedef struct task {
    char job[40];
    int piece;
    uint64_t heave;
    task_state_t state;
    const char *cause;
    bool stored;
    ms_t since;    /* when the state began */
    ms_t ends_at;  /* when the state ends by itself */
    ms_t saved_ms; /* progress saved before this start */
} task_t;

typedef struct worker {
    char name[32];
    int type, zone;
    bool is_spot;
    bool is_up, is_gone, is_hung, is_faulty;
    bool is_deaf;  /* its reports arrive; answers and commands to it are lost */
    bool is_mute;  /* its reports reach no node */
    bool is_silent;/* its network is gone */
    bool is_cut_from[NODES]; /* direct commands of the node do not arrive */
    ms_t late_commands; /* direct commands are held up for this long; 0: not */
    int port;
    char address[40];
    ms_t rented_at, up_at, down_at;
    uint64_t session, tally, helm;
    ms_t lease_from;
    int node;      /* reports to it */
    bool is_waiting, has_changed;
    uint64_t report_number;
    ms_t next_report_at, last_report_at;
    task_t tasks[TASKS_MAX];
    int task_count;
    char images[64][64];
    int image_count;
} worker_t;

extern worker_t workers[WORKERS_MAX];
extern int worker_count;

typedef struct job {
    char id[40];
    char team[32], image[64], zone[32];
    const char *urgency;
    int pieces;
    double cpus, memory;
    bool spot, same_place, apart;
    double run_s, checkpoint_s, save_s;
    ms_t submitted_at, accepted_at, cancel_asked_at, cancelled_at, done_at;
    bool fails; /* submitted with a mistake */
    bool *piece_done;
    ms_t *piece_saved;
    int done_count, starts;
    ms_t last_answer_at, first_start_at, waits_since;
} job_t;

extern job_t jobs[JOBS_MAX];
extern int job_count;

/* Counts of broken rules, and of what happened. */
typedef struct counts {
    int ran_twice, quota, wrong_place, ran_cancelled, started_cancelled, forgotten, invented,
        not_done, went_back;
    int starts, completed, lease_losses, ended_processes;
} counts_t;

extern counts_t counts;
extern ms_t stage_began_at;

/* Writes a line with the time to record.txt. */
void stage_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Sets the site to a small one of two zones, like the first of the brief. */
void site_default(void);
/* Starts the stand-ins and the nodes. folder: for record.txt. Exits with 2 if that fails. */
void stage_start(const char *program, const char *folder);
/* Ends all processes. */
void stage_end(void);

void node_start(int node);
void node_kill(int node);
void node_stop(int node);     /* SIGSTOP */
void node_continue(int node); /* SIGCONT */
/* Cuts the node from the other nodes, both ways, or joins it again. */
void node_cut_from_peers(int node, relay_mode_t mode);
/* Cuts the zone, with its nodes and workers, from everything outside, in silence; or joins it. */
void zone_cut(int zone, bool is_cut);
/* Waits until GET /ready of all nodes returned 200. Returns false after the time limit. */
bool nodes_wait_ready(ms_t limit);
/* The name of the leader in the state service; -1: none. */
int state_leader(void);
/* Whether a value under the prefix contains the text. */
bool state_contains(const char *prefix, const char *text);
/* Takes the state service down or up for everybody. */
void state_outage(bool is_down);
/* The share of transactions that get no answer: executed at once, or delay ms later. */
extern double state_late_share;
extern ms_t state_late_ms, state_late_max_ms;
extern ms_t state_slow_ms;
extern bool state_loses_answers_only;
extern bool cloud_is_down;

/* Adds a machine that is up at once (boot 0) or after the time. */
worker_t *worker_add(int type, int zone, bool is_spot, ms_t boot);
void worker_die(worker_t *worker);
task_t *worker_find(worker_t *worker, const char *job, int piece);

/* Adds a job with defaults: 1 piece of 2 CPUs and 4 GB, 5 s, of the first team. */
job_t *job_add(void);
job_t *job_find(const char *id);
json_t *job_body(const job_t *job);
/* Requests of users. They serve events until the answer is there, 5 s at most. Return the status,
 * and copy Trim. */
int stage_submit(int node, job_t *job);
int stage_abort(int node, job_t *job);
int stage_poll(int node, job_t *job);
/* The same without waiting. */
void user_submit_later(int node, job_t *job);
void user_abort_later(int node, job_t *job);
void user_poll_later(int node, job_t *job);
/* Returns the number of the job's pieces that are on machines now. */
int job_on_machines(const job_t *job);

/* Returns for how long the job has waited now: it is accepted and not over, none of its pieces has
 * run to its end, none is on a machine, and all that time an idle or partly idle machine had room
 * for a piece and the team was under its limit. A faulty machine does not count. */
ms_t job_waits_ms(const job_t *job);
/* Whether this run is without the disruption. */
bool is_without_trouble(void);

double random_unit(void);
#endif
