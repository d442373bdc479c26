/* A machine over a loopback socket: its worker takes pushed commands on a port of its own and sends
 * heartbeats when the test says so. Never freed: its threads do not end. */
#ifndef PEPPERPULLEY_FAKE_MACHINE_H
#define PEPPERPULLEY_FAKE_MACHINE_H

#include <pthread.h>

#include <jansson.h>

#include "fake_worker.h"

typedef struct fake_machine {
    pthread_mutex_t lock;  /* guards the worker */
    fake_worker_t *worker; /* owned */
    uint16_t port;
} fake_machine_t;

fake_machine_t *fake_machine_new(const char *id);
/* The body of its next heartbeat; the caller's. */
json_t *fake_machine_heartbeat(fake_machine_t *machine);
/* Executes the commands of the answer to a heartbeat. */
void fake_machine_handle_answer(fake_machine_t *machine, const json_t *answer);
/* The attempts that have not exited. */
guint fake_machine_active(fake_machine_t *machine);
/* The attempts started so far. */
guint fake_machine_runs(fake_machine_t *machine);
/* Every attempt that has not exited completes. */
void fake_machine_complete(fake_machine_t *machine);

#endif
