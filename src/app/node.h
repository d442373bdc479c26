/* One controller: what its threads share.
 *
 * `lock` guards everything below it in the struct; it is never held across input or output. The
 * loops (one thread each) look at what is wanted and what is, and work out the difference:
 *   view    what view/ in the state service says
 *   member  our grant; leadership; the leader's view of who is live
 *   follow  the live jobs, on every node
 *   placer  our part: places and commits; the leader also offers and settles
 *   mesh    the exchange between the leader and the parts
 *   sender  direct commands to workers
 *   cloud   types everywhere; leader: renting, returning, proof that machines are gone
 *   front   users and workers: the HTTP server's threads, and those that serve the queue of
 *           requests that may have to wait */
#ifndef PEPPERPULLEY_NODE_H
#define PEPPERPULLEY_NODE_H

#include <pthread.h>
#include <stdatomic.h>

#include "app/metrics.h"
#include "app/settings.h"
#include "core/cancelled.h"
#include "core/contact.h"
#include "core/election.h"
#include "core/guest.h"
#include "core/leader.h"
#include "core/link.h"
#include "core/owner.h"
#include "core/part.h"
#include "core/rental.h"
#include "core/request_queue.h"
#include "io/budget.h"
#include "io/http.h"
#include "io/state.h"

typedef struct {
    job_spec_t spec;
    uint64_t stamp;
} known_job_t;

/* Status reads of live jobs that are asked together. Owned by those who wait for it. */
typedef struct {
    GHashTable *asked; /* id -> stamp of jobs/<id> (pointer-sized) */
    GHashTable *live;  /* ids found unchanged, so live; set when done */
    bool done;         /* what is still in `asked` got no answer */
    guint waiting;
} inquiry_t;

/* A final state. */
typedef enum { ENDED_UNKNOWN, ENDED_DONE, ENDED_CANCELLED } ended_t;

typedef struct {
    const settings_t *settings;
    const policy_t *policy;
    metrics_t *metrics;
    uint64_t incarnation;
    state_t state;
    budget_t core_rps, core_write; /* member, follow, placer, cloud */
    budget_t front_rps, front_write;
    http_client_t *front_clients[FRONT_CLIENTS];

    pthread_mutex_t lock;
    pthread_cond_t work;    /* for the placer */
    pthread_cond_t direct;  /* for the senders */
    pthread_cond_t clients; /* for the front's clients */
    pthread_cond_t inquiries;
    inquiry_t *inquiry;     /* still taking questions; NULL: none */
    pthread_cond_t members; /* for the member loop */
    pthread_cond_t mesh;    /* something to say to a part */
    guint front_free;       /* clients [0, front_free) are free */
    view_t view;
    bool view_synced;
    msec_t view_proof;     /* every view made before it is known here */
    msec_t others_contact; /* when the state service last answered a sibling, as it said */
    msec_t others_heard;   /* when a sibling was last heard */
    uint64_t superseded;   /* the highest view number that another node spoke of */
    election_t election;
    bool leading;     /* the view is ours */
    msec_t led_since; /* without a break, over however many views */
    bool loaded;      /* the part (and the leader's data) of this view stand */
    guint own;        /* our index among the members; G_MAXUINT: not a member */
    guint leader_index;
    uint64_t generation; /* of part and leader: grows with each load */
    msec_t loaded_at;
    GHashTable *jobs; /* live jobs: id -> known_job_t, owned */
    bool jobs_synced;
    GHashTable *gone;      /* ids of jobs that are over, owned; bounded */
    GQueue *gone_order;    /* the same, borrowed; oldest first */
    msec_t jobs_proof;     /* every abort accepted before it is known here */
    cancelled_t cancelled; /* what this node and its siblings told users */
    GArray *flavors;       /* flavor_t; empty: not known yet */
    part_t *part;
    leader_t *leader;
    rental_t *rental;
    link_t *uplink;            /* our part's end, towards the leader */
    GPtrArray *links;          /* the leader's ends, a member each; NULL for its own */
    msec_t heard[MEMBERS_MAX]; /* when each member last called by socket */
    GHashTable *ended;         /* id -> ended_t; a bounded cache */
    guests_t *guests;
    pthread_mutex_t requests_lock; /* of the next four only; never with `lock` */
    pthread_cond_t requests_come;
    pthread_cond_t requests_stay; /* more of them than threads that are free */
    request_queue_t requests;     /* request_t: those that may have to wait */
    guint answerers_free;
    atomic_uint connections; /* of users and workers, open now */
} node_t;

/* Both are borrowed for the life of the process. */
node_t *node_new(const settings_t *settings, const policy_t *policy);
/* Starts every loop and the HTTP server; false with a message logged. */
bool node_start(node_t *node);

/* All with the lock held. */
void node_wake(node_t *node);
void node_job_set(node_t *node, const job_spec_t *spec, uint64_t stamp);
/* The job is over for good: no older list of jobs brings it back. */
void node_job_gone(node_t *node, const char *id);
/* A user is about to be told that the job is done or cancelled, or a sibling told one. */
void node_remember(node_t *node, const char *id, bool done);
/* Takes over a newer view; everything of the older one is void. */
void node_adopt(node_t *node, const view_t *view);
/* Index of the machine's owner in the view; the view must have members. */
guint node_owner(const node_t *node, const char *machine, const char *zone);
/* What a part sums up: of ours, now. */
GArray *node_rows(const node_t *node, msec_t now);
GArray *node_yielding(const node_t *node);
/* The leader's side: an outcome that a part told; an item for a part (taken over). */
void node_outcome(node_t *node, guint part, const outcome_t *outcome, msec_t now);
void node_tell(node_t *node, guint part, link_item_t item);
/* The part's side: carries out what the leader said. */
void node_obey(node_t *node, const link_item_t *item, msec_t now);
contact_t node_contact(const node_t *node);
/* Whether reports may still be answered: what cancellations there are is known well enough. */
bool node_may_renew(const node_t *node, msec_t now);
/* Whether starts may still be sent. */
bool node_may_start(const node_t *node, msec_t now);
void node_wait(node_t *node, pthread_cond_t *cond, msec_t ms);

void node_sleep(msec_t ms);
pthread_t node_thread(void *(*run)(void *), void *data);

/* Follows a prefix for ever: reads it whole, then its changes, and whole again when they are gone.
 */
void node_follow(node_t *node, bool (*read)(node_t *, http_client_t *, uint64_t *revision),
                 state_result_t (*follow)(node_t *, http_client_t *, uint64_t *revision));

/* The loops. */
void *view_run(void *node);
void *member_run(void *node);
void *mesh_run(void *node);
void *mesh_serve_run(void *node);
void *mail_run(void *node);
/* Starts the threads that greet the siblings. */
void mesh_greet(node_t *node);
void *follow_run(void *node);
void *placer_run(void *node);
void *sender_run(void *node);
void *cloud_run(void *node);
bool front_start(node_t *node);

#endif
