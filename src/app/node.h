/* One controller: what its threads share.
 *
 * `lock` guards everything below it in the struct; it is never held across input or output. The
 * loops (one thread each) look at what is wanted and what is, and work out the difference:
 *   member  the view: leadership by a grant, its number the token
 *   follow  the live jobs, on every node
 *   placer  leader: offers, commits, settling
 *   sender  direct commands to workers
 *   cloud   types everywhere; leader: renting, returning, proof that machines are gone
 *   front   users and workers (one thread a connection, made by the HTTP server) */
#ifndef PEPPERPULLEY_NODE_H
#define PEPPERPULLEY_NODE_H

#include <pthread.h>

#include "app/settings.h"
#include "core/leader.h"
#include "core/part.h"
#include "core/rental.h"
#include "io/budget.h"
#include "io/http.h"
#include "io/state.h"

/* The view as this node last read it. */
typedef struct {
    uint64_t number; /* 0: none known */
    uint64_t stamp;  /* of view/number */
    char leader[ID_SIZE];
    uint64_t incarnation; /* of the leader */
} view_t;

typedef struct {
    job_spec_t spec;
    uint64_t stamp;
} known_job_t;

/* A worker that this node, not its owner, keeps alive because it can't reach the owner. */
typedef struct {
    msec_t sent_home;
    msec_t kept_until;
    msec_t seen;
} guest_t;

typedef struct {
    const settings_t *settings;
    uint64_t incarnation;
    state_t state;
    budget_t core_rps, core_write; /* member, follow, placer, cloud */
    budget_t front_rps, front_write;
    http_client_t *front_clients[FRONT_CLIENTS];

    pthread_mutex_t lock;
    pthread_cond_t work;   /* for the placer */
    pthread_cond_t direct; /* for the senders */
    pthread_cond_t clients; /* for the front's clients */
    guint front_free;      /* clients [0, front_free) are free */
    view_t view;
    bool leading;   /* the view is ours */
    bool loaded;    /* the part and the leader's data stand */
    uint64_t grant; /* of the leadership */
    uint64_t generation; /* of part and leader: grows with each load */
    msec_t loaded_at;
    GHashTable *jobs; /* live jobs: id -> known_job_t, owned */
    bool jobs_synced;
    msec_t jobs_proof; /* every abort accepted before it is known here */
    GArray *flavors;   /* flavor_t; empty: not known yet */
    part_t *part;
    leader_t *leader;
    rental_t *rental;
    GHashTable *ended;  /* id -> final state (static string); a bounded cache */
    GHashTable *guests; /* machine -> guest_t, owned */
} node_t;

node_t *node_new(const settings_t *settings);
/* Starts every loop and the HTTP server; false with a message logged. */
bool node_start(node_t *node);

/* All with the lock held. */
void node_wake(node_t *node);
void node_job_set(node_t *node, const job_spec_t *spec, uint64_t stamp);
void node_job_gone(node_t *node, const char *id);
void node_step_down(node_t *node, const char *why);
/* Whether reports may still be answered: what aborts there are is known well enough. */
bool node_may_renew(const node_t *node, msec_t now);
void node_wait(node_t *node, pthread_cond_t *cond, msec_t ms);

void node_sleep(msec_t ms);
pthread_t node_thread(void *(*run)(void *), node_t *node);

/* The loops. */
void *member_run(void *node);
void *follow_run(void *node);
void *placer_run(void *node);
void *sender_run(void *node);
void *cloud_run(void *node);
bool front_start(node_t *node);

#endif
