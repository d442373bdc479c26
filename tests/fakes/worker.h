/* A worker in memory: executes commands as the protocol says and reports. Tests drive its clock by
 * calling what happens. Owns its attempts. */
#ifndef PEPPERPULLEY_FAKE_WORKER_H
#define PEPPERPULLEY_FAKE_WORKER_H

#include "core/types.h"

typedef struct fake_worker {
    char id[ID_BYTES];
    uint64_t worker_epoch;
    uint64_t heartbeat_sequence;
    uint64_t fencing_token;
    GArray *attempts; /* reported_attempt_t */
    guint runs;       /* tasks that began, refused ones aside */
} fake_worker_t;

fake_worker_t *fake_worker_new(const char *id);
void fake_worker_free(fake_worker_t *worker);
/* The next heartbeat; worker_heartbeat_clear it. */
worker_heartbeat_t fake_worker_heartbeat(fake_worker_t *worker);
/* An answer to a heartbeat, or a pushed command (session checked): true if executed. */
bool fake_worker_answer(fake_worker_t *worker, uint64_t fencing_token, const GArray *commands);
bool fake_worker_push(fake_worker_t *worker, uint64_t fencing_token, uint64_t worker_epoch,
                      const GArray *commands);
void fake_worker_exit(fake_worker_t *worker, const char *job, uint32_t task, cause_t cause);
/* Its lease ran out: everything is killed and forgotten. */
void fake_worker_lose_lease(fake_worker_t *worker);
guint fake_worker_active(const fake_worker_t *worker);

#endif
