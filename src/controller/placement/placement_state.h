/** @file
 * The data that a view's records are loaded into: the partition's machines and, at the leader, the
 * jobs and queues.
 */
#ifndef PEPPERPULLEY_PLACEMENT_STATE_H
#define PEPPERPULLEY_PLACEMENT_STATE_H

#include <pthread.h>

#include "core/leader/leader.h"
#include "core/partition/partition.h"

/** The loaded data. Guarded by the controller's lock. */
typedef struct placement_state {
    pthread_cond_t ready;   /**< Signalled when a placement round may find something to do. */
    bool is_loaded;         /**< Partition and leader hold the records of the installed view. */
    uint64_t generation;    /**< Grows with each load and each view: tells apart what was read from
                               data that are void now. */
    msec_t loaded_at;       /**< When the data were loaded last. */
    partition_t *partition; /**< Owned; NULL: never loaded. */
    leader_t *leader;       /**< Owned; NULL: this controller did not lead at the last load. */
    GArray *machine_types;  /**< Of machine_type_t, owned; empty: not known yet. */
} placement_state_t;

#endif
