/** @file
 * The state of a job: as this controller knows it, and as the key-value store holds it.
 *
 * What one controller tells a user, no controller may contradict: that a job is live is read afresh
 * each time, and only terminal states are kept. All functions are called without the controller's
 * lock.
 */
#ifndef PEPPERPULLEY_API_JOB_STATE_H
#define PEPPERPULLEY_API_JOB_STATE_H

#include "controller/api/request.h"

/** What is known of a job. */
typedef enum {
    JOB_UNKNOWN,   /**< Nothing: this controller doesn't know, or the key-value store gave no
                      answer. */
    JOB_LIVE,      /**< Accepted and not over. */
    JOB_DONE,      /**< Terminal: every task is done. */
    JOB_CANCELLED, /**< Terminal: a user aborted it. */
    JOB_NOT_FOUND  /**< No such job was ever accepted. */
} job_state_t;

/** What this controller knows of a job by itself. */
typedef struct known_job {
    job_state_t state;   /**< A terminal state, JOB_NOT_FOUND where the id is none, or
                            JOB_UNKNOWN. */
    bool is_likely_live; /**< It was live when the watch of jobs/ last brought changes. */
} known_job_t;

/** Returns what this controller knows of the job without a call to the key-value store. */
known_job_t api_known_job(controller_t *controller, const char *id);

/** Records a terminal state, as it must be before any reply names it: for the other threads
 * and, of a cancellation, for the other controllers. Returns JOB_DONE or JOB_CANCELLED. */
job_state_t api_record_terminal_state(controller_t *controller, const char *id, bool is_done);

/** Reads the job's state from the key-value store, on the request's connection. Never returns a
 * terminal state that is not recorded.
 *
 * A job moves from jobs/ to ended/ and never back: one that is in neither, read in that order, had
 * not been accepted when the first was read. @p is_likely_live: jobs/ is read first, which saves a
 * call if it is live. */
job_state_t api_look_up(request_t *request, const char *id, bool is_likely_live);

#endif
