/* Messages between controllers. Both directions use the same message. It carries a numbered batch
 * of items, the number of the last batch that the sender received, and changes of the sender's
 * machine summaries. The encoding depends on the order and the types in this file, not on the
 * names. */

const WIRE_NAME_MAX = 63;
const WIRE_ITEMS_MAX = 512;
const WIRE_SUMMARIES_MAX = 4096;

struct wire_task_ref {
    string job<WIRE_NAME_MAX>;
    unsigned int task;
    unsigned hyper attempt;
};

struct wire_resources {
    double cpus;
    double gpus;
    double memory;
};

typedef string wire_name<WIRE_NAME_MAX>;

struct wire_placement_request {
    wire_task_ref ref;
    wire_name team;
    wire_name image;
    wire_name zone;
    wire_name types<64>;
    bool any_type;                  /* true: every machine type is allowed, and types is empty */
    wire_resources need;
    bool spot;
    bool gang;
    unsigned int priority;
    double save_s;
    double checkpoint_s;
    unsigned hyper job_revision;
    bool may_preempt;
    bool claims_guarantee;
    unsigned hyper preemptible_teams; /* one bit for each team */
};

struct wire_attempt_result {
    wire_task_ref ref;
    unsigned int cause; /* a value of cause_t */
    wire_name machine;
};

/* The values equal those of channel_item_kind_t. */
enum wire_item_kind {
    WIRE_PLACEMENT_REQUEST = 0,
    WIRE_ACKNOWLEDGE = 1,
    WIRE_WITHDRAW = 2,
    WIRE_DRAIN = 3,
    WIRE_MACHINE_TERMINATED = 4,
    WIRE_CANCEL_DRAIN = 5,
    WIRE_ATTEMPT_RESULT = 6
};

union wire_item switch (wire_item_kind kind) {
case WIRE_PLACEMENT_REQUEST:
    wire_placement_request request;
case WIRE_ACKNOWLEDGE:
case WIRE_WITHDRAW:
    wire_task_ref ref;
case WIRE_DRAIN:
case WIRE_MACHINE_TERMINATED:
case WIRE_CANCEL_DRAIN:
    wire_name machine;
case WIRE_ATTEMPT_RESULT:
    wire_attempt_result result;
};

struct wire_machine_summary {
    wire_name machine;
    wire_name type;
    wire_name zone;
    bool spot;
    bool open;              /* accepts starts */
    bool draining;
    wire_resources total;
    wire_resources free;
    unsigned int attempts;  /* number of attempts recorded on it */
    hyper silent_ms;        /* ms since it last acknowledged a message that was sent to it */
    hyper idle_ms;          /* ms since it last had work */
    hyper known_ms;         /* ms since the partition first learned of it */
};

struct wire_cancellation_update {
    unsigned hyper after_index;
    unsigned hyper last_index;
    bool is_complete;
    hyper complete_since_age_ms; /* age of the time since which the log has dropped no entry */
    wire_name jobs<WIRE_ITEMS_MAX>;
};

struct wire_job_counts {
    wire_name job;
    unsigned int done;
    unsigned int outstanding;
};

struct wire_message {
    wire_name sender;
    unsigned hyper incarnation;     /* of the sender */
    unsigned hyper view_number;
    unsigned hyper batch_number;
    unsigned hyper acknowledged_batch;
    hyper kv_answer_age_ms;         /* ms since the key-value store last answered the sender */
    hyper answer_delay_ms;          /* in the answer to a heartbeat: how long it was delayed, ms */
    hyper worker_heartbeat_age_ms;  /* ms since any worker that the sender owns last sent it a
                                       heartbeat */
    bool is_heartbeat;              /* a peer heartbeat, from any controller to any other, or the
                                       answer to one */
    unsigned hyper known_log_incarnation; /* in a heartbeat: the incarnation of the receiver's
                                             cancellation log that the sender has a replica of */
    unsigned hyper known_log_index; /* in a heartbeat: the replica has all entries up to this one */
    wire_cancellation_update cancellations; /* in an answer to a heartbeat: the cancellations that
                                               the sender has confirmed to users */
    unsigned hyper job_counts_epoch;   /* the epoch to which job_counts_version belongs */
    unsigned hyper job_counts_version; /* in a heartbeat: the version of the job counts that the
                                          sender has; in an answer: the version that the receiver
                                          has once it has applied job_counts */
    wire_job_counts job_counts<WIRE_ITEMS_MAX>;
    wire_item items<WIRE_ITEMS_MAX>;
    bool has_summaries;
    unsigned hyper summaries_base;    /* the version to which the changes apply; 0: the message has
                                         the summaries of all machines */
    unsigned hyper summaries_version; /* in a call: the version that results from the changes; in
                                         an answer: the version that the leader has applied */
    wire_machine_summary summaries<WIRE_SUMMARIES_MAX>;
    wire_name terminated<WIRE_SUMMARIES_MAX>; /* machines of the base version that no longer
                                                 exist */
    double cpus_being_preempted<64>; /* of each team, in the order of the settings */
};
