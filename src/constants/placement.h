/** @file
 * Pauses, placement, failure records and preemption. Included through constants.h.
 */
#ifndef PEPPERPULLEY_CONSTANTS_PLACEMENT_H
#define PEPPERPULLEY_CONSTANTS_PLACEMENT_H

/* On a small share of a processor, the pauses between rounds are lengthened where that affects only
 * the quality of the result. What safety depends on is not slowed down: leases, known
 * cancellations, proof that attempts have ended, and deadlines after a stall. */

/** Share of a core at or above which no pause is lengthened. */
static const double FULL_SPEED_CORE_FRACTION = 0.09;
/** Highest factor of the pauses. With it, starts are still sent within a quarter of a second. */
static const double PAUSE_FACTOR_MAX = 2;

/** Placement. */
enum {
    JOB_ERRORS_BACKOFF_COUNT = 4, /**< Consecutive failures after which a job backs off. */
    /** Failures without a success in between after which a machine is quarantined, unless they
     * all concern one job that has finished no task. */
    MACHINE_ERRORS_QUARANTINE_COUNT = 3,
    /** Longest quarantine. A machine that still exists then is kept by tasks that run well there,
     * and work that can run only there must not wait 90 s. */
    QUARANTINE_MAX_MS = 60000,
    JOB_BACKOFF_MS = 5000,      /**< First back-off of a job; doubles with each further failure. */
    JOB_BACKOFF_MAX_MS = 60000, /**< Longest back-off of a job: one start per minute. */
    JOB_REFUSED_BACKOFF_MS = 500, /**< Back-off after a start refused for lack of resources. */
    /** A job of this age that has finished no task has one task placed first (the starvation
     * minimum), because the largest job must start within four minutes. */
    STARVATION_AGE_MS = 120000,
    /** From this age on, some of the job's remaining tasks at a time are placed first. */
    LONG_STARVATION_AGE_MS = 240000,
    STARVING_TASKS_DIVISOR = 16, /**< Divides the job's tasks; the result plus 1 is placed first. */
    /** Longest claim of a machine for large work. Other work that fits on it must not wait 90 s. */
    CLAIM_MAX_MS = 60000,
    CLAIM_COOLDOWN_MS = 10000,    /**< After a claim, a machine accepts all work for this long. */
    CLAIMED_MACHINES_DIVISOR = 8, /**< Divides the machines; the result limits the claims. */
    CLAIMED_MACHINES_PER_JOB_COUNT = 16, /**< Most machines claimed for one job. */
    TEAMS_MASK_BITS = 64,     /**< Teams that a placement request may preempt, one bit each. */
    PREEMPT_MIN_RUN_MS = 2000 /**< A task is not preempted within this time after its start. */
};

/** Lowest fair-share weight of any team, as a fraction of the sum of all guarantees. */
static const double UNGUARANTEED_TEAM_FRACTION = 0.1;
/** Factor on the weight of a team without a guarantee while its next job has neither a deadline nor
 * an SLO. */
static const double BEST_EFFORT_WEIGHT_FRACTION = 0.5;
/** Cost of preempting a task, added to its lost run time: it waits and fetches its image again. */
static const double PREEMPT_RESTART_COST_S = 5.0;
/** Additional cost if the machine has not cached the image of the task to be placed. */
static const double PREEMPT_IMAGE_FETCH_COST_S = 30.0;

#endif
