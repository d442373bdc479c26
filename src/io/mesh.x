/* What controllers say to each other. One message serves both directions: a batch of items under a
 * number, the number of the last batch received, and the sender's rows when they changed. */

const MESH_NAME = 63;
const MESH_ITEMS = 512;
const MESH_ROWS = 4096;

struct mesh_ref {
    string job<MESH_NAME>;
    unsigned int task;
    unsigned hyper attempt;
};

struct mesh_room {
    double cpus;
    double gpus;
    double memory;
};

typedef string mesh_name<MESH_NAME>;

struct mesh_offer {
    mesh_ref ref;
    mesh_name team;
    mesh_name image;
    mesh_name zone;
    mesh_name types<64>;
    bool any_type;
    mesh_room need;
    bool spot;
    bool gang;
    unsigned int urgency;
    double save_s;
    double checkpoint_s;
    unsigned hyper job_stamp;
    bool preempt;
    bool claim;
    unsigned hyper victims;
};

struct mesh_outcome {
    mesh_ref ref;
    unsigned int cause;
    mesh_name machine;
};

enum mesh_kind {
    MESH_OFFER = 0,
    MESH_SETTLE = 1,
    MESH_WITHDRAW = 2,
    MESH_DRAIN = 3,
    MESH_GONE = 4,
    MESH_KEEP = 5,
    MESH_OUTCOME = 6
};

union mesh_item switch (mesh_kind kind) {
case MESH_OFFER:
    mesh_offer offer;
case MESH_SETTLE:
case MESH_WITHDRAW:
    mesh_ref ref;
case MESH_DRAIN:
case MESH_GONE:
case MESH_KEEP:
    mesh_name machine;
case MESH_OUTCOME:
    mesh_outcome outcome;
};

struct mesh_row {
    mesh_name machine;
    mesh_name type;
    mesh_name zone;
    bool spot;
    bool open;
    bool draining;
    mesh_room total;
    mesh_room free;
    unsigned int attempts;
    hyper silent_ms;
    hyper idle_ms;
    hyper known_ms;
};

struct mesh_notice {
    unsigned hyper after;
    unsigned hyper through;
    bool whole;
    hyper base_age; /* ms */
    mesh_name jobs<MESH_ITEMS>;
};

struct mesh_message {
    mesh_name sender;
    unsigned hyper incarnation;
    unsigned hyper view;
    unsigned hyper number;
    unsigned hyper ack;
    hyper contact_age; /* ms since the state service last answered the sender */
    bool greeting;     /* a call, or the answer to one, from any controller to any other */
    unsigned hyper known_incarnation; /* a call: of whose notices the caller has ... */
    unsigned hyper known_through;     /* ... all up to this number */
    mesh_notice notice;               /* an answer: what the sender told users */
    mesh_item items<MESH_ITEMS>;
    bool has_rows;
    mesh_row rows<MESH_ROWS>;
    double yielding<64>;
};
