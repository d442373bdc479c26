/* The data that a view's records are loaded into: the partition's machines and, at the leader, the
 * jobs and queues. Guarded by the controller's lock. */
#ifndef PEPPERPULLEY_PLACEMENT_STATE_H
#define PEPPERPULLEY_PLACEMENT_STATE_H

#include <pthread.h>

#include "core/leader/leader.h"
#include "core/partition/partition.h"

typedef struct placement_state {
    pthread_cond_t ready; /* signalled when a placement round may find something to do */
    bool is_loaded;       /* partition and leader hold the records of the installed view */
    uint64_t generation;  /* grows with each load and with each view; tells stale data apart */
    msec_t loaded_at;
    partition_t *partition; /* owned; NULL: never loaded */
    leader_t *leader;       /* owned; NULL: this controller did not lead at the last load */
    GArray *machine_types;  /* machine_type_t, owned; empty: not known yet */
} placement_state_t;

#endif
