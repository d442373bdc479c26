/** @file
 * The demand for machines: the pending tasks, within the limits of their teams and jobs.
 */
#ifndef PEPPERPULLEY_DEMAND_H
#define PEPPERPULLEY_DEMAND_H

#include "core/leader/leader_type.h"

/** The demand of one job. */
typedef struct job_demand {
    job_t *job;     /**< Borrowed from the leader. */
    guint team;     /**< Index of its team in leader_t.teams. */
    uint32_t tasks; /**< Number of pending tasks that may be placed; above 0. */
} job_demand_t;

/** Returns the demand of the live jobs whose tasks may be placed at @p now: an array of
 * job_demand_t, transfer full. Jobs that are backing off after failures are left out. The job
 * pointers in the array are valid until the leader is changed. Called with the controller's lock
 * held. */
GArray *leader_demand(const leader_t *leader, msec_t now);

/** Returns whether the same-zone and spread constraints of the job, given its outstanding attempts,
 * permit one more task in the zone. */
bool leader_job_admits_zone(const job_t *job, const char *zone);

#endif
