/** @file
 * The demand for machines: tasks that wait, within the limits of their teams and jobs.
 */
#ifndef PEPPERPULLEY_DEMAND_H
#define PEPPERPULLEY_DEMAND_H

#include "core/leader/leader_type.h"

/** The demand of one job. */
typedef struct demand {
    job_t *job;     /**< Borrowed from the leader. */
    guint team;     /**< Index of its team in leader_t.teams. */
    uint32_t tasks; /**< Tasks that have no machine and may get one; above 0. */
} demand_t;

/** Returns the demand of all live jobs that are not backed off at @p now: an array of demand_t,
 * valid until the leader is changed. Transfer full. Called with the controller's lock held. */
GArray *leader_demand(const leader_t *leader, msec_t now);

#endif
