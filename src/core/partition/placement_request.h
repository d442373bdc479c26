/** @file
 * Placement requests, with which the leader asks a partition to place an attempt.
 */
#ifndef PEPPERPULLEY_PLACEMENT_REQUEST_H
#define PEPPERPULLEY_PLACEMENT_REQUEST_H

#include "core/types.h"

/** A request to place one attempt of a task, with the constraints on the machine. */
typedef struct placement_request {
    char job[ID_BYTES];      /**< Id of the job. */
    char team[LABEL_BYTES];  /**< The job's team. */
    char image[LABEL_BYTES]; /**< Container image that the task runs. */
    char zone[LABEL_BYTES];  /**< The zone in which to place it; empty: any zone. */
    char **types; /**< Names of the machine types allowed, null-terminated; NULL: any type. Borrowed
                     for the call. */
    resources_t need;  /**< Resources that the task takes. */
    bool may_use_spot; /**< Whether it may be placed on a spot machine. */
    bool is_gang; /**< Whether the job is a gang, whose tasks all start together or not at all. */
    priority_t priority;   /**< Priority of the job. */
    double save_s;         /**< Time that the task takes to save a checkpoint, in seconds. */
    double checkpoint_s;   /**< Interval between its checkpoints, in seconds; 0: it has none. */
    uint64_t job_revision; /**< Revision of the key jobs/ID. The transaction that records the start
                              requires it unchanged. */
    bool may_preempt; /**< Whether attempts of lower priority may be preempted if no machine has
                         enough free resources. */
    bool claims_guarantee; /**< Whether the task is within its team's guarantee, so that attempts of
                              any priority of the preemptible teams may be preempted. */
    uint64_t preemptible_teams; /**< The other teams whose attempts may be preempted: one bit per
                                   team, in the order of the settings. */
    uint32_t task;              /**< Index of the task in its job. */
    uint64_t attempt;           /**< Number of the attempt. */
} placement_request_t;

#endif
