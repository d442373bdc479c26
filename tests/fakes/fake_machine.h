/* A fake machine. Its worker receives pushed commands on a loopback port of its own. The test sends
 * the worker's heartbeats and passes the answers to the worker. Never freed, because its threads do
 * not end. */
#ifndef PEPPERPULLEY_FAKE_MACHINE_H
#define PEPPERPULLEY_FAKE_MACHINE_H

#include <pthread.h>

#include <jansson.h>

#include "fake_worker.h"

typedef struct fake_machine {
    pthread_mutex_t lock;  /* guards the worker */
    fake_worker_t *worker; /* owned */
    GPtrArray *pushes;     /* json_t, owned: the bodies of the pushes that were executed */
    uint16_t port;
} fake_machine_t;

fake_machine_t *fake_machine_new(const char *id);
/* Returns the body of its next heartbeat, which the caller owns. */
json_t *fake_machine_heartbeat(fake_machine_t *machine);
/* Executes the commands in the answer to a heartbeat. */
void fake_machine_handle_answer(fake_machine_t *machine, const json_t *answer);
/* Executes all earlier pushes once more, as late copies of them. */
void fake_machine_repeat_pushes(fake_machine_t *machine);
/* Returns the number of pushes executed so far, without the repeated ones. */
guint fake_machine_push_count(fake_machine_t *machine);
/* Returns the number of attempts that it lists, including those that have exited. */
guint fake_machine_listed_count(fake_machine_t *machine);
/* Returns the number of attempts that have not exited. */
guint fake_machine_active_count(fake_machine_t *machine);
/* Returns the number of attempts started so far. */
guint fake_machine_started_count(fake_machine_t *machine);
/* Lets every attempt that has not exited complete successfully. */
void fake_machine_complete_attempts(fake_machine_t *machine);
/* Lets every attempt that has not exited end with the cause. */
void fake_machine_exit_attempts(fake_machine_t *machine, cause_t cause);

#endif
