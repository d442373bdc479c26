/** @file
 * The data loaded from a view's records: the partition's machines and, at the leader, the jobs and
 * queues.
 */
#ifndef PEPPERPULLEY_PLACEMENT_STATE_H
#define PEPPERPULLEY_PLACEMENT_STATE_H

#include <pthread.h>

#include "core/leader/leader.h"
#include "core/partition/partition.h"

/** The loaded data. Guarded by the controller's lock. */
typedef struct placement_state {
    pthread_cond_t ready; /**< Signalled when there may be something to do in a placement round. */
    bool is_loaded;       /**< Whether the records of the installed view are loaded. */
    uint64_t generation;  /**< Increases with each load, each discard and each view. Data that
                             were read at another generation have been replaced since. */
    msec_t loaded_at;     /**< When the data were last loaded. */
    partition_t *partition; /**< Owned; NULL if never loaded. */
    leader_t *leader; /**< Owned; NULL if this controller was not the leader at the last load. */
    GArray *machine_types; /**< Array of machine_type_t, owned; empty until they are known. */
} placement_state_t;

#endif
