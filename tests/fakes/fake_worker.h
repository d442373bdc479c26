/* A worker in memory: executes commands and builds heartbeats as the protocol says. It has no
 * clock: tests call what happens. */
#ifndef PEPPERPULLEY_FAKE_WORKER_H
#define PEPPERPULLEY_FAKE_WORKER_H

#include "core/types.h"

typedef struct fake_worker {
    char id[ID_BYTES];
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
    uint64_t fencing_token;
    GArray *attempts; /* reported_attempt_t, owned */
    guint runs;       /* attempts started so far */
} fake_worker_t;

fake_worker_t *fake_worker_new(const char *id);
void fake_worker_free(fake_worker_t *worker);
/* The next heartbeat; the caller clears it by worker_heartbeat_clear. */
worker_heartbeat_t fake_worker_heartbeat(fake_worker_t *worker);
/* Executes the commands of the answer to a heartbeat, unless its fencing token is outdated: then
 * false. */
bool fake_worker_answer(fake_worker_t *worker, uint64_t fencing_token, const GArray *commands);
/* The same of pushed commands, which must be for the worker's epoch. */
bool fake_worker_push(fake_worker_t *worker, uint64_t fencing_token, uint64_t worker_epoch,
                      const GArray *commands);
/* The attempts at the task exit for that cause. */
void fake_worker_exit(fake_worker_t *worker, const char *job, uint32_t task, cause_t cause);
/* Its lease ran out: all attempts are killed and forgotten, and a new epoch begins. */
void fake_worker_lose_lease(fake_worker_t *worker);
/* The attempts that have not exited. */
guint fake_worker_active(const fake_worker_t *worker);

#endif
