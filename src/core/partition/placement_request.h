/** @file
 * A placement request: what the leader asks a partition to place.
 */
#ifndef PEPPERPULLEY_PLACEMENT_REQUEST_H
#define PEPPERPULLEY_PLACEMENT_REQUEST_H

#include "core/types.h"

/** One attempt at one task, with the machines on which it may start. */
typedef struct placement_request {
    char job[ID_BYTES];      /**< Id of the job. */
    char team[LABEL_BYTES];  /**< The job's team. */
    char image[LABEL_BYTES]; /**< Container image that the task runs. */
    char zone[LABEL_BYTES];  /**< The zone to place in; empty: any. */
    char **types;            /**< Names of the machine types that will do, null-terminated; NULL:
                                any. Borrowed for the call. */
    resources_t need;        /**< Resources that the task takes. */
    bool may_use_spot;       /**< Whether a spot machine will do. */
    bool is_gang;            /**< Whether the job is a gang: its tasks start together or not at
                             all. */
    priority_t priority;     /**< Priority of the job. */
    double save_s;           /**< Time that the task takes to save a checkpoint, in seconds. */
    double checkpoint_s;     /**< Interval between its checkpoints, in seconds; 0: it has none. */
    uint64_t job_revision;   /**< Revision of the key jobs/ID. The transaction that records the
                                start requires it unchanged. */
    bool may_preempt;        /**< Where no resources are free, work of lower priority may be
                                preempted. */
    bool claims_guarantee;   /**< The team claims its guarantee: work of any priority of the
                                preemptible teams may be preempted. */
    uint64_t preemptible_teams; /**< The other teams whose work may be preempted: a bit for each
                                   team, in the order of the settings. */
    uint32_t task;              /**< Index of the task in its job. */
    uint64_t attempt;           /**< Number of the attempt. */
} placement_request_t;

#endif
