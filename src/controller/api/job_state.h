/** @file
 * The state of a job, as this controller knows it and as the key-value store has it.
 *
 * Replies about a job must be consistent across all controllers: no controller may return an older
 * state than any controller has returned before. Only terminal states are cached, because they
 * never change. Whether a job is live is read from the key-value store for each request. All
 * functions are called without the controller's lock.
 */
#ifndef PEPPERPULLEY_API_JOB_STATE_H
#define PEPPERPULLEY_API_JOB_STATE_H

#include "controller/api/request.h"

/** The state of a job. */
typedef enum {
    JOB_UNKNOWN,   /**< The state is not in this controller's memory, or the key-value store did not
                      answer. */
    JOB_LIVE,      /**< Accepted, and neither done nor cancelled. */
    JOB_DONE,      /**< Terminal: every task is done. */
    JOB_CANCELLED, /**< Terminal: a user aborted it. */
    JOB_NOT_FOUND  /**< No such job has been accepted. */
} job_state_t;

/** What this controller knows of a job without asking the key-value store. */
typedef struct known_job {
    job_state_t state;   /**< A terminal state; JOB_NOT_FOUND if the id is malformed; otherwise
                            JOB_UNKNOWN. */
    bool is_likely_live; /**< The job is live according to the changes of jobs/ that the watch has
                            received so far. */
} known_job_t;

/** Returns what this controller knows of the job, without calling the key-value store. */
known_job_t api_get_known_job(controller_t *controller, const char *id);

/** Records a job's terminal state for the other threads and, if the job was cancelled, for the
 * other controllers. Must be called before any reply contains that state. @p is_done: true if the
 * job is done, false if it was cancelled. Returns JOB_DONE or JOB_CANCELLED. */
job_state_t api_record_terminal_state(controller_t *controller, const char *id, bool is_done);

/** Reads the job's state from the key-value store, on the request's connection to it. Records a
 * terminal state before returning it. Returns JOB_UNKNOWN if the key-value store does not answer
 * before the request's deadline.
 *
 * A job moves from jobs/ to ended/ and never back. A job that is found in neither, read in that
 * order, had therefore not been accepted when jobs/ was read. If @p is_likely_live is true, ended/
 * is read only after jobs/, which saves a call if the job is live. */
job_state_t api_read_job_state(request_t *request, const char *id, bool is_likely_live);

#endif
