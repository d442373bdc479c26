/* A fake worker in memory, which executes commands and builds heartbeats according to the protocol.
 * It has no clock, and its attempts change only when the test calls one of the functions below. */
#ifndef PEPPERPULLEY_FAKE_WORKER_H
#define PEPPERPULLEY_FAKE_WORKER_H

#include "core/types.h"

typedef struct fake_worker {
    char id[ID_BYTES];
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
    uint64_t fencing_token;
    GArray *attempts;    /* of reported_attempt_t, owned */
    guint started_count; /* number of attempts started so far */
    GArray *started;     /* of task_ref_t, owned: the attempts started so far, in order */
} fake_worker_t;

fake_worker_t *fake_worker_new(const char *id);
void fake_worker_free(fake_worker_t *worker);
/* Returns the next heartbeat, which the caller clears with worker_heartbeat_clear. */
worker_heartbeat_t fake_worker_heartbeat(fake_worker_t *worker);
/* Executes the commands in the answer to a heartbeat. Returns false and executes none of them if
 * the fencing token is outdated. */
bool fake_worker_handle_answer(fake_worker_t *worker, uint64_t fencing_token,
                               const GArray *commands);
/* Does the same with pushed commands. Also returns false and executes none of them if they are for
 * another worker epoch. */
bool fake_worker_handle_push(fake_worker_t *worker, uint64_t fencing_token, uint64_t worker_epoch,
                             const GArray *commands);
/* Makes all attempts at the task exit with the cause. */
void fake_worker_exit_attempts(fake_worker_t *worker, const char *job, uint32_t task,
                               cause_t cause);
/* Simulates the expiry of the worker's lease: kills and forgets all attempts, and begins a new
 * worker epoch. */
void fake_worker_expire_lease(fake_worker_t *worker);
/* Returns the number of attempts that have not exited. */
guint fake_worker_active_count(const fake_worker_t *worker);

#endif
