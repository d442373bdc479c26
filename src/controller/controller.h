/* One controller: what its threads share.
 *
 * `lock` guards everything below it in the struct; it is never held across input or output. The
 * loops (one thread each) look at what is wanted and what is, and work out the difference:
 *
 * - view: what view/ in the key-value store says;
 * - member: our lease in the key-value store; leadership; the leader's view of who is live;
 * - follow: the live jobs, on every controller;
 * - placement loop: our partition: places and commits; the leader also sends placement requests and
 *   acknowledges results;
 * - peer client, peer server, relay: the exchange between the leader and the partitions;
 * - heartbeats: what the siblings told users, one thread for each sibling;
 * - sender: pushed commands to workers;
 * - pulse: notices when the process stood still;
 * - cloud: types everywhere; leader: scaling out, returning, proof that machines are gone;
 * - api: users and workers: the HTTP server's threads, and those that serve the queue of requests
 *   that may have to wait. */
#ifndef PEPPERPULLEY_CONTROLLER_H
#define PEPPERPULLEY_CONTROLLER_H

#include <pthread.h>
#include <stdatomic.h>

#include "controller/metrics.h"
#include "core/autoscaler/autoscaler.h"
#include "core/leader/leader.h"
#include "core/membership/connectivity.h"
#include "core/membership/election.h"
#include "core/membership/ownership.h"
#include "core/membership/redirection.h"
#include "core/partition/partition.h"
#include "core/replication/cancellation_log.h"
#include "core/replication/channel.h"
#include "core/replication/summary_update.h"
#include "core/request_queue.h"
#include "io/http_client.h"
#include "io/kv_store.h"
#include "io/rate_limiter.h"
#include "io/settings.h"

typedef struct live_job {
    job_spec_t spec;
    uint64_t revision;
} live_job_t;

/* Status reads of live jobs that are asked together. Owned by those who wait for it. */
typedef struct status_batch {
    GHashTable *unanswered; /* id -> revision of jobs/<id> (pointer-sized) */
    GHashTable *live;       /* ids found unchanged, so live; set when done */
    bool is_done;           /* what is still in `asked` got no answer */
    guint waiter_count;
} status_batch_t;

/* A final state. */
typedef enum { TERMINAL_UNKNOWN, TERMINAL_DONE, TERMINAL_CANCELLED } terminal_state_t;

typedef struct controller {
    const settings_t *settings;
    const policy_t *policy;
    metrics_t *metrics;
    uint64_t incarnation;
    kv_store_t kv_store;
    rate_limiter_t core_request_limiter,
        core_write_limiter; /* member, follow, placement loop, cloud */
    rate_limiter_t api_request_limiter, api_write_limiter;
    http_client_t *api_kv_clients[API_KV_CLIENTS_COUNT];

    pthread_mutex_t lock;
    pthread_cond_t placement_ready;                     /* for the placement loop */
    pthread_cond_t dispatcher_ready[DISPATCHERS_COUNT]; /* for each dispatcher */
    uint32_t idle_dispatchers;              /* a bit each: those that wait, or have no thread yet */
    uint32_t started_dispatchers;           /* a bit each: those that have a thread */
    bool has_polling_dispatcher;            /* one that waits with a time limit, for all of them */
    pthread_cond_t api_kv_client_available; /* for the API's clients */
    pthread_cond_t status_batch_done;
    status_batch_t *status_batch;         /* still taking questions; NULL: none */
    pthread_cond_t membership_changed;    /* for the member loop */
    pthread_cond_t peer_item_available;   /* something to say to a partition */
    pthread_cond_t cancellation_appended; /* for answers to heartbeats: a user was told of one */
    pthread_cond_t autoscaler_ready;      /* for the cloud loop: the leader's data were loaded */
    pthread_cond_t relay_ready;           /* for the relay loop: the data of a view were loaded */
    guint free_api_kv_clients;            /* clients [0, api_clients_free) are free */
    view_t view;
    bool is_view_synced;
    msec_t views_complete_until; /* every view made before it is known here */
    msec_t
        siblings_kv_answered_at; /* when the key-value store last answered a sibling, as it said */
    msec_t sibling_message_at;   /* when a sibling's last message came */
    uint64_t highest_view_seen;  /* the highest view number that another controller spoke of */
    election_t election;
    bool is_leader;         /* the view is ours */
    msec_t leader_since_at; /* without a break, over however many views */
    bool is_loaded;         /* the partition (and the leader's data) of this view stand */
    guint own_index;        /* our index among the members; G_MAXUINT: not a member */
    guint leader_index;
    uint64_t data_generation; /* of partition and leader: grows with each load */
    msec_t loaded_at;
    GHashTable *live_jobs;           /* live jobs: id -> live_job_t, owned */
    job_counts_replica_t job_counts; /* of another leader, or as it was when we last led */
    bool is_jobs_synced;
    GHashTable *terminal_jobs;           /* ids of jobs that are over, owned; bounded */
    GQueue *terminal_job_order;          /* the same, borrowed; oldest first */
    msec_t jobs_complete_until;          /* every abort accepted before it is known here */
    msec_t last_observed_at;             /* when the time was noticed last */
    msec_t last_stall_at;                /* when the process was last found to have stood still */
    cancellation_log_t cancellation_log; /* what this controller and its siblings told users */
    GArray *machine_types;               /* machine_type_t; empty: not known yet */
    partition_t *partition;
    leader_t *leader;
    autoscaler_t *autoscaler;
    channel_t *leader_channel; /* our partition's end, towards the leader */
    GPtrArray *channels;       /* the leader's ends, a member each; NULL for its own */
    summary_replica_t summary_replicas[MEMBERS_MAX_COUNT]; /* the leader's, a member each */
    bool are_summaries_pending[MEMBERS_MAX_COUNT]; /* changes of a replica that the leader has not
                                                      got */
    msec_t member_received_at[MEMBERS_MAX_COUNT];  /* when each member last called by socket */
    GHashTable *terminal_states;                   /* id -> terminal_state_t; a bounded cache */
    redirection_t *redirection;
    owner_health_t sibling_health[MEMBERS_MAX_COUNT]; /* as the settings list the siblings */
    msec_t worker_heartbeat_at;   /* when a worker of ours last reported to us */
    pthread_mutex_t request_lock; /* of the next four only; never with `lock` */
    pthread_cond_t request_available;
    pthread_cond_t request_workers_busy; /* more of them than threads that are free */
    request_queue_t request_queue;       /* request_t: those that may have to wait */
    guint request_worker_count;          /* threads that answer, started as they are needed */
    guint idle_request_worker_count;     /* of them, those that wait */
    atomic_uint open_connections;        /* of users and workers, open now */
} controller_t;

/* Both are borrowed for the life of the process. */
controller_t *controller_new(const settings_t *settings, const policy_t *policy);
/* Starts every loop and the HTTP server; false with a message logged. */
bool controller_start(controller_t *controller);

/* All with the lock held. */
void controller_notify_placement(controller_t *controller);
/* Wakes the dispatchers of machines that want commands; for one that is busy, another. */
void controller_notify_dispatchers(controller_t *controller);
void job_directory_add(controller_t *controller, const job_spec_t *spec, uint64_t revision);
/* The job is over for good: no older list of jobs brings it back. */
void job_directory_remove(controller_t *controller, const char *id);
/* A user is about to be told that the job is done or cancelled, or a sibling told one. */
void job_directory_record_terminal(controller_t *controller, const char *id, bool done);
/* Takes over a newer view; everything of the older one is void. */
void controller_install_view(controller_t *controller, const view_t *view);
/* Index of the machine's owner in the view; the view must have members. */
guint controller_owner_index(const controller_t *controller, const char *machine, const char *zone);
/* What a partition sums up: of ours, now. */
GArray *controller_machine_summaries(const controller_t *controller, msec_t now);
GArray *controller_cpus_being_preempted(const controller_t *controller);
/* The leader's side: an attempt's result that a partition sent; an item for a partition (taken
 * over). */
void controller_handle_result(controller_t *controller, guint partition,
                              const attempt_result_t *result, msec_t now);
void controller_send_item(controller_t *controller, guint partition, channel_item_t item);
/* The partition's side: carries out what the leader said. */
void controller_handle_item(controller_t *controller, const channel_item_t *item, msec_t now);
connectivity_t controller_connectivity(const controller_t *controller);
/* Whether reports may still be answered: what cancellations there are is known well enough. */
bool controller_may_renew_leases(const controller_t *controller, msec_t now);
/* Whether starts may still be sent. After the process stood still, what it knows is as old as that:
 * none is sent until it is known what was cancelled up to its waking. */
bool controller_may_start(controller_t *controller, msec_t now);
/* Takes notice of the time. */
void controller_observe_time(controller_t *controller, msec_t now);
/* Commands that were taken at `taken` are about to leave. False: their sender has stood still
 * since, and what they say may be out of date (a cancelled job's start among them); they are given
 * back to be judged anew. */
bool controller_may_push(controller_t *controller, const char *machine, uint64_t generation,
                         const GArray *commands, msec_t taken, msec_t now);
void controller_wait(controller_t *controller, pthread_cond_t *cond, msec_t ms);
/* The pause as it is on the share of a processor that the settings grant. */
msec_t controller_paced(const controller_t *controller, msec_t ms);

void controller_sleep(msec_t ms);

/* Follows a prefix for ever: reads it whole, then its changes, and whole again when they are gone.
 */
void controller_watch(controller_t *controller,
                      bool (*read)(controller_t *, http_client_t *, uint64_t *revision),
                      kv_result_t (*watch_changes)(controller_t *, http_client_t *,
                                                   uint64_t *revision));

/* The loops; data is the controller. */
void *view_run(void *data);
void *member_run(void *data);
void *peer_client_run(void *data);
void *peer_server_run(void *data);
void *relay_run(void *data);
/* Starts the threads that send heartbeats to the siblings. */
void peer_heartbeat_start(controller_t *controller);
void *job_watch_run(void *data);
void *placement_loop_run(void *data);
/* With the lock held: notifies the dispatcher of that dispatcher, whose thread starts when it is
 * first needed.
 */
void dispatcher_notify(controller_t *controller, guint dispatcher_index);
void *stall_detector_run(void *data);
void *cloud_run(void *data);
bool api_start(controller_t *controller);

#endif
