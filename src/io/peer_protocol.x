/* What controllers say to each other. One message serves both directions: a batch of items under a
 * number, the number of the last batch received, and the dispatcher's machine summaries when they changed. */

const PEER_NAME_MAX = 63;
const PEER_ITEMS_MAX = 512;
const PEER_SUMMARIES_MAX = 4096;

struct peer_task_ref {
    string job<PEER_NAME_MAX>;
    unsigned int task;
    unsigned hyper attempt;
};

struct peer_resources {
    double cpus;
    double gpus;
    double memory;
};

typedef string peer_name<PEER_NAME_MAX>;

struct peer_placement_request {
    peer_task_ref ref;
    peer_name team;
    peer_name image;
    peer_name zone;
    peer_name types<64>;
    bool any_type;
    peer_resources need;
    bool spot;
    bool gang;
    unsigned int priority;
    double save_s;
    double checkpoint_s;
    unsigned hyper job_revision;
    bool preempt;
    bool claims_guarantee;
    unsigned hyper preemptible_teams;
};

struct peer_attempt_result {
    peer_task_ref ref;
    unsigned int cause;
    peer_name machine;
};

enum peer_kind {
    PEER_PLACEMENT_REQUEST = 0,
    PEER_ACKNOWLEDGE = 1,
    PEER_WITHDRAW = 2,
    PEER_DRAIN = 3,
    PEER_MACHINE_TERMINATED = 4,
    PEER_CANCEL_DRAIN = 5,
    PEER_ATTEMPT_RESULT = 6
};

union peer_item switch (peer_kind kind) {
case PEER_PLACEMENT_REQUEST:
    peer_placement_request request;
case PEER_ACKNOWLEDGE:
case PEER_WITHDRAW:
    peer_task_ref ref;
case PEER_DRAIN:
case PEER_MACHINE_TERMINATED:
case PEER_CANCEL_DRAIN:
    peer_name machine;
case PEER_ATTEMPT_RESULT:
    peer_attempt_result result;
};

struct peer_machine_summary {
    peer_name machine;
    peer_name type;
    peer_name zone;
    bool spot;
    bool open;
    bool draining;
    peer_resources total;
    peer_resources free;
    unsigned int attempts;
    hyper silent_ms;
    hyper idle_ms;
    hyper known_ms;
};

struct peer_cancellation_update {
    unsigned hyper after_index;
    unsigned hyper last_index;
    bool whole;
    hyper base_age; /* ms */
    peer_name jobs<PEER_ITEMS_MAX>;
};

struct peer_job_counts {
    peer_name job;
    unsigned int done;
    unsigned int outstanding;
};

struct peer_message {
    peer_name sender;
    unsigned hyper incarnation;
    unsigned hyper view;
    unsigned hyper number;
    unsigned hyper ack;
    hyper kv_answer_age_ms; /* ms since the key-value store last answered the dispatcher */
    hyper hold_ms;            /* an answer to a heartbeat: how long it was delayed for news */
    hyper worker_heartbeat_age_ms;  /* ms since a worker that the dispatcher owns last reported to it */
    bool is_heartbeat;     /* a call, or the answer to one, from any controller to any other */
    unsigned hyper acknowledged_incarnation; /* a call: of whose cancellation log the caller has ... */
    unsigned hyper acknowledged_index;     /* ... all up to this number */
    peer_cancellation_update update;               /* an answer: what the dispatcher told users */
    unsigned hyper counts_epoch;   /* a call: of whose counts of jobs the caller has ... */
    unsigned hyper counts_version; /* ... all up to this; an answer: has with this answer */
    peer_job_counts counts<PEER_ITEMS_MAX>;
    peer_item items<PEER_ITEMS_MAX>;
    bool has_summaries;
    unsigned hyper summaries_base;    /* what follows are changes to this version; 0: all there is */
    unsigned hyper summaries_version; /* a call: of what follows; an answer: of what was taken */
    peer_machine_summary summaries<PEER_SUMMARIES_MAX>;
    peer_name terminated<PEER_SUMMARIES_MAX>; /* machines of the base that are not there any more */
    double cpus_being_preempted<64>;
};
